/**
 * Dependencies between jobs. Ends and cancellations are propagated to dependents; priorities and deadlines are
 * propagated to dependencies. The caller reports each job that is added, changes or ends; there is no I/O.
 */
import type { Job } from './jobs';
import { UrgencyPropagation } from './urgency';

/** How a job has ended, according to its final record. */
export type JobOutcome = 'done' | 'cancelled';

/** The jobs that the graph reads; `JobTable` provides them. */
export interface JobIndex {
  /** Jobs that have not ended, by id. */
  readonly live: ReadonlyMap<string, Job>;
  /** Outcomes of the jobs that have ended, by id. */
  readonly outcomes: ReadonlyMap<string, JobOutcome>;
}

const NO_DEPENDENTS: ReadonlySet<string> = new Set();

/**
 * The dependencies between live jobs, as a DAG. Derives `isReady`, `isCancelled`, `effectivePriority` and `startBy` of
 * each job from its dependencies and dependents. The urgency is derived at the end of each change, or of a batch.
 */
export class DependencyGraph {
  /** The live jobs that name a job as a dependency, by that job's id. */
  readonly #dependents = new Map<string, Set<string>>();
  /** By job id: how many of its dependencies, in the order of `awaits`, are known to be done. */
  readonly #doneDependencies = new Map<string, number>();
  readonly #urgencyPropagation: UrgencyPropagation;
  #isBatch = false;

  /** `onDerived` is called with each job whose readiness, cancellation or urgency changed because of another job. */
  constructor(
    readonly jobs: JobIndex,
    readonly onDerived: (id: string) => void,
  ) {
    this.#urgencyPropagation = new UrgencyPropagation({
      jobOf: (id) => jobs.live.get(id),
      dependentsOf: (id) => this.dependentsOf(id),
    });
  }

  /**
   * Makes several changes, and derives the urgency of the affected jobs once at the end. Until then, the urgency of
   * jobs with changed dependents is out of date.
   */
  batch(changes: () => void): void {
    if (this.#isBatch) {
      changes();
      return;
    }
    this.#isBatch = true;
    try {
      changes();
    } finally {
      this.#isBatch = false;
      for (const id of this.#urgencyPropagation.settle()) this.onDerived(id);
    }
  }

  /** The live jobs that name the job as a dependency. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.#dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** Adds a new job, or applies a change of a job's record. */
  update(job: Job): void {
    this.batch(() => this.#update(job));
  }

  #update(job: Job): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      if (dependents === undefined) this.#dependents.set(dependency, new Set([job.id]));
      else dependents.add(job.id);
    }
    this.#doneDependencies.delete(job.id);
    job.isReady = this.#isReady(job);
    if (!job.isCancelled && job.spec.awaits.some((id) => this.#isCancelled(id))) job.isCancelled = true;
    this.#urgencyPropagation.deriveUrgency(job);
    if (job.isCancelled) this.cancelDependents(job.id);
    this.#urgencyPropagation.markStale(job.spec.awaits);
  }

  /** Removes a job that has ended; `outcome` is null if its record was removed without a final record. */
  remove(job: Job, outcome: JobOutcome | null): void {
    this.batch(() => this.#remove(job, outcome));
  }

  #remove(job: Job, outcome: JobOutcome | null): void {
    this.#doneDependencies.delete(job.id);
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      dependents?.delete(job.id);
      if (dependents?.size === 0) this.#dependents.delete(dependency);
    }
    this.#urgencyPropagation.markStale(job.spec.awaits);
    if (outcome !== null) this.propagateOutcome(job.id, outcome);
  }

  /** Propagates the outcome of a job to its dependents. */
  propagateOutcome(id: string, outcome: JobOutcome): void {
    if (outcome === 'cancelled') {
      this.batch(() => this.cancelDependents(id));
      return;
    }
    for (const dependentId of this.dependentsOf(id)) {
      const job = this.jobs.live.get(dependentId);
      if (job === undefined || job.isReady || !this.#isReady(job)) continue;
      job.isReady = true;
      this.onDerived(dependentId);
    }
  }

  /** Cancels all direct and indirect dependents of the job. Not recursive, because chains of jobs can be long. */
  cancelDependents(id: string): void {
    const cancelledIds = [id];
    for (let nextId = cancelledIds.pop(); nextId !== undefined; nextId = cancelledIds.pop()) {
      for (const dependentId of this.dependentsOf(nextId)) {
        const job = this.jobs.live.get(dependentId);
        if (job === undefined || job.isCancelled) continue;
        job.isCancelled = true;
        cancelledIds.push(dependentId);
        this.#urgencyPropagation.markStale(job.spec.awaits);
        this.onDerived(dependentId);
      }
    }
  }

  /**
   * Whether all dependencies are done. Only final records count: a job whose tasks have all finished may still end as
   * cancelled. Dependencies that were done at the last call are not looked at again: a job may have thousands.
   */
  #isReady({ id, spec }: Job): boolean {
    if (spec.awaits.length === 0) return true;
    let done = this.#doneDependencies.get(id) ?? 0;
    while (done < spec.awaits.length && this.jobs.outcomes.get(spec.awaits[done]!) === 'done') done++;
    this.#doneDependencies.set(id, done);
    return done === spec.awaits.length;
  }

  /** Whether the job is cancelled, whether or not it has ended. */
  #isCancelled(id: string): boolean {
    return this.jobs.outcomes.get(id) === 'cancelled' || this.jobs.live.get(id)?.isCancelled === true;
  }
}
