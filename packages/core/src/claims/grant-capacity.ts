/** The free resources of a machine while tasks are granted to it. */
import { type Resources, fitsIn, NO_RESOURCES, subtractResources } from '../cluster/resources';
import type { Reservations } from './reservations';
import type { TaskEntry } from './task-entry';

/** What one machine can still take: most tasks get what is not reserved, a task with a reservation there gets all. */
export class GrantCapacity {
  /** Whether resources are reserved here for any task. */
  readonly hasReservations: boolean;
  /** What is free, reserved or not. */
  #free: Resources;
  /** What is free and not reserved. */
  #unreserved: Resources;

  constructor(
    free: Resources,
    readonly reservations: Reservations,
    /** Name of the machine. */
    readonly machine: string,
  ) {
    const reserved = reservations.reservedOn(machine);
    this.hasReservations = reserved !== NO_RESOURCES;
    this.#free = free;
    this.#unreserved = this.hasReservations ? subtractResources(free, reserved) : free;
  }

  /** Whether the task fits into what it may use. */
  fits(task: TaskEntry): boolean {
    return fitsIn(task.job.spec, this.#isReservedFor(task) ? this.#free : this.#unreserved);
  }

  /** Takes out a task that is claimed here now; what was reserved for it is reserved no longer. */
  take(task: TaskEntry): void {
    this.#free = subtractResources(this.#free, task.job.spec);
    if (!this.#isReservedFor(task)) this.#unreserved = subtractResources(this.#unreserved, task.job.spec);
  }

  #isReservedFor(task: TaskEntry): boolean {
    return this.hasReservations && this.reservations.reservedMachineFor(task.name) === this.machine;
  }
}
