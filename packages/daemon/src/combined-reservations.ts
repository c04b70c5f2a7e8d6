// Room that is kept for reclaims and for replica groups, as one.
import { type Resources, NO_RESOURCES, addResources, type Reservations } from '@gingerlock/core';

export class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  keptOn(machine: string): Resources {
    // Where nothing is kept, granting does not look at tasks one by one.
    const kept = this.all
      .map((reservations) => reservations.keptOn(machine))
      .filter((resources) => resources !== NO_RESOURCES);
    return kept.length === 0 ? NO_RESOURCES : kept.reduce((sum, resources) => addResources(sum, resources));
  }

  machineFor(task: string): string | null {
    for (const reservations of this.all) {
      const machine = reservations.machineFor(task);
      if (machine !== null) return machine;
    }
    return null;
  }
}
