// The room of a machine that reports, while tasks are bound to it.
import { type Resources, fitsIn, NO_RESOURCES, subtractResources } from './facts';
import type { Reservations } from './reservations';
import type { Slot } from './slots';

/** What a machine that reports has for tasks: for most of them without the room that is kept there for others. */
export class GrantCapacity {
  /** Whether room is kept here for any task. */
  readonly hasReservations: boolean;
  #free: Resources;
  #open: Resources;

  constructor(
    free: Resources,
    readonly reservations: Reservations,
    readonly machine: string,
  ) {
    const reserved = reservations.reservedOn(machine);
    this.hasReservations = reserved !== NO_RESOURCES;
    this.#free = free;
    this.#open = this.hasReservations ? subtractResources(free, reserved) : free;
  }

  fits(slot: Slot): boolean {
    return fitsIn(slot.job.spec, this.#isReservedFor(slot) ? this.#free : this.#open);
  }

  /** Counts a task in that is claimed here now; what was kept for it is kept no more. */
  take(slot: Slot): void {
    this.#free = subtractResources(this.#free, slot.job.spec);
    if (!this.#isReservedFor(slot)) this.#open = subtractResources(this.#open, slot.job.spec);
  }

  #isReservedFor(slot: Slot): boolean {
    return this.hasReservations && this.reservations.reservedMachineFor(slot.name) === this.machine;
  }
}
