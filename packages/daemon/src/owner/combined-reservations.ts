// Resources that several features keep on machines for certain tasks, as one view.
import { addResources, NO_RESERVATIONS, NO_RESOURCES, type Reservations, type Resources } from '@gingerlock/core';

/** Several reservations as one: of a task that more than one of them names, the first decides. */
class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  reservedOn(machine: string): Resources {
    // Granting compares with NO_RESOURCES by identity: where nothing is reserved it does not look at tasks one by one.
    const reserved = this.all
      .map((reservations) => reservations.reservedOn(machine))
      .filter((resources) => resources !== NO_RESOURCES);
    return reserved.length === 0 ? NO_RESOURCES : reserved.reduce((sum, resources) => addResources(sum, resources));
  }

  reservedMachineFor(taskName: string): string | null {
    for (const reservations of this.all) {
      const machine = reservations.reservedMachineFor(taskName);
      if (machine !== null) return machine;
    }
    return null;
  }
}

/** The reservations as one; a single one is returned as it is. */
export function combineReservations(all: readonly Reservations[]): Reservations {
  if (all.length === 0) return NO_RESERVATIONS;
  return all.length === 1 ? all[0]! : new CombinedReservations(all);
}
