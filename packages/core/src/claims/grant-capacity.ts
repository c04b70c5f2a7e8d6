// The room of a machine that reports, while tasks are bound to it.
import { type Resources, fitsIn, NO_RESOURCES, subtractResources } from '../cluster/resources';
import type { Reservations } from './reservations';
import type { TaskEntry } from './task-entry';

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

  fits(task: TaskEntry): boolean {
    return fitsIn(task.job.spec, this.#isReservedFor(task) ? this.#free : this.#open);
  }

  /** Counts a task in that is claimed here now; what was kept for it is kept no more. */
  take(task: TaskEntry): void {
    this.#free = subtractResources(this.#free, task.job.spec);
    if (!this.#isReservedFor(task)) this.#open = subtractResources(this.#open, task.job.spec);
  }

  #isReservedFor(task: TaskEntry): boolean {
    return this.hasReservations && this.reservations.reservedMachineFor(task.name) === this.machine;
  }
}
