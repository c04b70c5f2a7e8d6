// How many tasks may be assigned before controllers run short of memory, and how many of them one job may have.

/**
 * The budget of assigned tasks in one assignment. It is shared by a dynamic threshold: a job gets more tasks only while
 * it has fewer than the budget has left, so that no job uses it up, however many tasks it has and for however long
 * they run. Demand for machines is bounded by the same budget, but uses none of it up: tasks that have no machine keep
 * no other job waiting.
 */
export class TaskBudget {
  readonly #assignedByJob: Map<string, number>;
  /** How many more tasks may be assigned; may be negative. */
  #left: number;
  /** How many more tasks there may be with those that machines are rented for; may be negative. */
  #leftForDemand: number;

  /** `maxTasks`: Infinity if there is no limit. `assignedByJob`: the assigned tasks by job id. */
  constructor(maxTasks: number, assignedByJob: ReadonlyMap<string, number>) {
    this.#assignedByJob = new Map(assignedByJob);
    let assigned = 0;
    for (const count of assignedByJob.values()) assigned += count;
    this.#left = maxTasks - assigned;
    this.#leftForDemand = this.#left;
  }

  /** How many more tasks of the job may be assigned: as many as leave the budget at least what the job then has. */
  countAllowed(jobId: string): number {
    if (this.#left === Infinity) return Infinity;
    const assigned = this.#assignedByJob.get(jobId) ?? 0;
    return Math.max(0, Math.ceil((this.#left - assigned) / 2));
  }

  /** Counts more tasks of the job as assigned. */
  assign(jobId: string, count: number): void {
    this.#assignedByJob.set(jobId, (this.#assignedByJob.get(jobId) ?? 0) + count);
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
