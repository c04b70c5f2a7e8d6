// How many tasks may be assigned before controllers run short of memory, and how many of them one job may have.
import { countAssignedUnfinished } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';

/**
 * The budget of assigned tasks in one assignment. It is shared by a dynamic threshold: a job gets more tasks only while
 * it has fewer than the budget has left, so that no job uses it up, however many tasks it has and for however long
 * they run. Demand for machines is bounded by the same budget, but uses none of it up: tasks that have no machine keep
 * no other job waiting.
 */
export class TaskBudget {
  /** How many more tasks may be assigned; may be negative. */
  #left: number;
  /** How many more tasks there may be with those that machines are rented for; may be negative. */
  #leftForDemand: number;
  /** The tasks of this assignment. */
  readonly #addedByJob = new Map<Job, number>();

  /** `left`: how many more tasks may be assigned; may be negative, Infinity if there is no limit. */
  constructor(left: number) {
    this.#left = left;
    this.#leftForDemand = left;
  }

  /** How many more tasks of the job may be assigned: as many as leave the budget at least what the job then has. */
  countAllowed(job: Job): number {
    if (this.#left === Infinity) return Infinity;
    const assigned = countAssignedUnfinished(job) + (this.#addedByJob.get(job) ?? 0);
    return Math.max(0, Math.ceil((this.#left - assigned) / 2));
  }

  /** Counts more tasks of the job as assigned. */
  assign(job: Job, count: number): void {
    this.#addedByJob.set(job, (this.#addedByJob.get(job) ?? 0) + count);
    this.#left -= count;
    this.#leftForDemand -= count;
  }

  /** Counts up to `count` tasks that machines are rented for; returns how many these are. */
  demand(count: number): number {
    const allowed = Math.min(count, Math.max(0, this.#leftForDemand));
    this.#leftForDemand -= allowed;
    return allowed;
  }
}
