/**
 * Dependencies between jobs. Ends and cancellations are propagated to dependents; priorities and deadlines are
 * propagated to dependencies. The caller reports each job that is added, changes or ends; there is no I/O.
 */
import type { Job } from './jobs';

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
 * each job from its dependencies and dependents.
 */
export class DependencyGraph {
  /** The live jobs that name a job as a dependency, by that job's id. */
  readonly #dependents = new Map<string, Set<string>>();

  /** `onDerived` is called with each job whose readiness, cancellation or urgency changed because of another job. */
  constructor(
    readonly jobs: JobIndex,
    readonly onDerived: (id: string) => void,
  ) {}

  /** The live jobs that name the job as a dependency. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.#dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** Adds a new job, or applies a change of a job's record. */
  update(job: Job): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      if (dependents === undefined) this.#dependents.set(dependency, new Set([job.id]));
      else dependents.add(job.id);
    }
    job.isReady = this.#isReady(job);
    if (!job.isCancelled && job.spec.awaits.some((id) => this.#isCancelled(id))) job.isCancelled = true;
    this.#deriveUrgency(job);
    if (job.isCancelled) this.cancelDependents(job.id);
    this.#propagateUrgency(job.spec.awaits);
  }

  /** Removes a job that has ended; `outcome` is null if its record was removed without a final record. */
  remove(job: Job, outcome: JobOutcome | null): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      dependents?.delete(job.id);
      if (dependents?.size === 0) this.#dependents.delete(dependency);
    }
    this.#propagateUrgency(job.spec.awaits);
    if (outcome !== null) this.propagateOutcome(job.id, outcome);
  }

  /** Propagates the outcome of a job to its dependents. */
  propagateOutcome(id: string, outcome: JobOutcome): void {
    if (outcome === 'cancelled') {
      this.cancelDependents(id);
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
        this.#propagateUrgency(job.spec.awaits);
        this.onDerived(dependentId);
      }
    }
  }

  /**
   * Whether all dependencies are done. Only final records count: a job whose tasks have all finished may still end as
   * cancelled.
   */
  #isReady(job: Job): boolean {
    return job.spec.awaits.every((id) => this.jobs.outcomes.get(id) === 'done');
  }

  /** Whether the job is cancelled, whether or not it has ended. */
  #isCancelled(id: string): boolean {
    return this.jobs.outcomes.get(id) === 'cancelled' || this.jobs.live.get(id)?.isCancelled === true;
  }

  /** Recomputes the urgency of the given jobs and, where it has changed, of their dependencies in turn. */
  #propagateUrgency(dependencyIds: readonly string[]): void {
    const pendingIds = [...dependencyIds];
    for (let id = pendingIds.pop(); id !== undefined; id = pendingIds.pop()) {
      const job = this.jobs.live.get(id);
      if (job === undefined || !this.#deriveUrgency(job)) continue;
      this.onDerived(id);
      pendingIds.push(...job.spec.awaits);
    }
  }

  /** Derives priority and latest start from the job and its dependents; returns whether they have changed. */
  #deriveUrgency(job: Job): boolean {
    const { spec } = job;
    const estimateMs = spec.estimateS * 1000;
    let priority = job.ownPriority;
    let endBy = spec.deadlineS === null ? Infinity : job.acceptedAt + spec.deadlineS * 1000;
    let isInPipeline = spec.awaits.length > 0;
    for (const dependentId of this.dependentsOf(job.id)) {
      const dependent = this.jobs.live.get(dependentId);
      if (dependent === undefined || dependent.isCancelled) continue;
      isInPipeline = true;
      priority = Math.min(priority, dependent.effectivePriority);
      endBy = Math.min(endBy, dependent.startBy);
    }
    // Jobs outside pipelines have no latest start, so that those of one priority keep their order of arrival.
    const startBy = isInPipeline ? endBy - estimateMs : Infinity;
    if (priority === job.effectivePriority && startBy === job.startBy) return false;
    job.effectivePriority = priority;
    job.startBy = startBy;
    return true;
  }
}
