// Combines the reservations of several features: resources kept on machines for certain tasks.
import { addResources, NO_RESERVATIONS, NO_RESOURCES, type Reservations, type Resources } from '@gingerlock/core';

/** Several reservations combined. The first one that names a task decides its machine. */
class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  reservedOn(machine: string): Resources {
    // Granting compares with NO_RESOURCES by identity, to skip the check of each task where nothing is reserved.
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

/** Combines the reservations into one; a single one is returned unchanged. */
export function combineReservations(all: readonly Reservations[]): Reservations {
  if (all.length === 0) return NO_RESERVATIONS;
  return all.length === 1 ? all[0]! : new CombinedReservations(all);
}
