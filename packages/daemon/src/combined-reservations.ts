// Room that is kept for reclaims and for replica groups, as one.
import { type Amounts, plus, type Reservations } from '@gingerlock/core';

export class CombinedReservations implements Reservations {
  constructor(readonly all: readonly Reservations[]) {}

  keptOn(machine: string): Amounts {
    return this.all.map((reservations) => reservations.keptOn(machine)).reduce((sum, kept) => plus(sum, kept));
  }

  machineFor(task: string): string | null {
    for (const reservations of this.all) {
      const machine = reservations.machineFor(task);
      if (machine !== null) return machine;
    }
    return null;
  }
}
