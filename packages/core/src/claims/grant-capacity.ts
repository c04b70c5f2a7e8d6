/** The free resources of a machine while tasks are granted to it. */
import { type Resources, fitsIn, NO_RESOURCES, subtractResources } from '../cluster/resources';
import type { Reservations } from './reservations';
import type { TaskEntry } from './task-entry';

/** The resources that one machine can still grant; only a task with a reservation there may use reserved ones. */
export class GrantCapacity {
  /** Whether resources of the machine are reserved for any task. */
  readonly hasReservations: boolean;
  /** All free resources, including reserved ones. */
  #free: Resources;
  /** The free resources that are not reserved. */
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

  /** Whether the task fits into the free resources that it may use. */
  fits(task: TaskEntry): boolean {
    return fitsIn(task.job.need, this.#isReservedFor(task) ? this.#free : this.#unreserved);
  }

  /** Subtracts a task that the machine now holds; a task with a reservation uses up its reserved resources. */
  take(task: TaskEntry): void {
    this.#free = subtractResources(this.#free, task.job.need);
    if (!this.#isReservedFor(task)) this.#unreserved = subtractResources(this.#unreserved, task.job.need);
  }

  #isReservedFor(task: TaskEntry): boolean {
    return this.hasReservations && this.reservations.reservedMachineFor(task.name) === this.machine;
  }
}
