// Room that is kept for reclaims and for replica groups, as one.
import { type Resources, NO_RESOURCES, addResources, type Reservations } from '@gingerlock/core';

export class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  reservedOn(machine: string): Resources {
    // Where nothing is kept, granting does not look at tasks one by one.
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
