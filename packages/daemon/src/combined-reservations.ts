// Room that is kept for reclaims and for replica groups, as one.
import { type Amounts, NOTHING, plus, type Reservations } from '@gingerlock/core';

export class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  keptOn(machine: string): Amounts {
    // Where nothing is kept, granting does not look at tasks one by one.
    const kept = this.all.map((reservations) => reservations.keptOn(machine)).filter((amounts) => amounts !== NOTHING);
    return kept.length === 0 ? NOTHING : kept.reduce((sum, amounts) => plus(sum, amounts));
  }

  machineFor(task: string): string | null {
    for (const reservations of this.all) {
      const machine = reservations.machineFor(task);
      if (machine !== null) return machine;
    }
    return null;
  }
}
