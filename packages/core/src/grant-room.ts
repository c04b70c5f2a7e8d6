// The room of a machine that reports, while tasks are bound to it.
import { type Amounts, fits, NOTHING, plus } from './facts';
import type { Reservations } from './reservations';
import type { Slot } from './slots';

/** What a machine that reports has for tasks: for most of them without the room that is kept there for others. */
export class GrantRoom {
  /** Whether room is kept here for any task. */
  readonly keepsAny: boolean;
  #free: Amounts;
  #open: Amounts;

  constructor(
    free: Amounts,
    readonly reservations: Reservations,
    readonly machine: string,
  ) {
    const kept = reservations.keptOn(machine);
    this.keepsAny = kept !== NOTHING;
    this.#free = free;
    this.#open = this.keepsAny ? plus(free, kept, -1) : free;
  }

  hasFor(slot: Slot): boolean {
    return fits(slot.job.spec, this.#isKeptFor(slot) ? this.#free : this.#open);
  }

  /** Counts a task in that is claimed here now; what was kept for it is kept no more. */
  take(slot: Slot): void {
    this.#free = plus(this.#free, slot.job.spec, -1);
    if (!this.#isKeptFor(slot)) this.#open = plus(this.#open, slot.job.spec, -1);
  }

  #isKeptFor(slot: Slot): boolean {
    return this.keepsAny && this.reservations.machineFor(slot.name) === this.machine;
  }
}
