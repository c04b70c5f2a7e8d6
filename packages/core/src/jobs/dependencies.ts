/**
 * Which jobs depend on which others: what the end or the cancellation of one means for those after it, and what the
 * deadline at the end of a pipeline means for those before it. Pure: kept up to date by each job that comes, changes or
 * ends.
 */
import type { Job } from './jobs';

/** How a job has ended, by its final record. */
export type JobOutcome = 'done' | 'cancelled';

/** The jobs that the graph reads; `JobTable` keeps them. */
export interface JobIndex {
  /** By id: jobs that are not over. */
  readonly live: ReadonlyMap<string, Job>;
  /** By id: how the jobs that are over have ended. */
  readonly finals: ReadonlyMap<string, JobOutcome>;
}

const NO_DEPENDENTS: ReadonlySet<string> = new Set();

/**
 * The dependencies between live jobs, as a DAG. Derives `ready`, `cancelled`, `effectivePriority` and `startBy` of each
 * job from those it depends on or is needed by.
 */
export class DependencyGraph {
  /** By job: the live jobs that name it as a dependency. */
  readonly #dependents = new Map<string, Set<string>>();

  /**
   * `onDerived` is called with each job whose readiness, cancellation or urgency has changed because of another job.
   */
  constructor(
    readonly jobs: JobIndex,
    readonly onDerived: (id: string) => void,
  ) {}

  /** The live jobs that name the job as a dependency. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.#dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** Takes in a job that is new, or of which the record has changed. */
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
    this.#passUrgencyOn(job.spec.awaits);
  }

  /** Takes out a job that is over; `outcome` null: its record was removed without one. */
  remove(job: Job, outcome: JobOutcome | null): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      dependents?.delete(job.id);
      if (dependents?.size === 0) this.#dependents.delete(dependency);
    }
    this.#passUrgencyOn(job.spec.awaits);
    if (outcome !== null) this.ended(job.id, outcome);
  }

  /** Passes the end of a job on to its dependents. */
  ended(id: string, outcome: JobOutcome): void {
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

  /** Cancels every job that needs this one, directly or through others. Iterative, for chains of jobs can be long. */
  cancelDependents(id: string): void {
    const cancelledIds = [id];
    for (let nextId = cancelledIds.pop(); nextId !== undefined; nextId = cancelledIds.pop()) {
      for (const dependentId of this.dependentsOf(nextId)) {
        const job = this.jobs.live.get(dependentId);
        if (job === undefined || job.isCancelled) continue;
        job.isCancelled = true;
        cancelledIds.push(dependentId);
        this.#passUrgencyOn(job.spec.awaits);
        this.onDerived(dependentId);
      }
    }
  }

  /**
   * Whether all dependencies are done. Only a final record shows that: counts of finished tasks may be ahead of a
   * cancellation.
   */
  #isReady(job: Job): boolean {
    return job.spec.awaits.every((id) => this.jobs.finals.get(id) === 'done');
  }

  /** Whether the job is cancelled, be it over or not. */
  #isCancelled(id: string): boolean {
    return this.jobs.finals.get(id) === 'cancelled' || this.jobs.live.get(id)?.isCancelled === true;
  }

  /** Derives the urgency of the dependencies anew and, where it has changed, of what they depend on in turn. */
  #passUrgencyOn(dependencyIds: readonly string[]): void {
    const pendingIds = [...dependencyIds];
    for (let id = pendingIds.pop(); id !== undefined; id = pendingIds.pop()) {
      const job = this.jobs.live.get(id);
      if (job === undefined || !this.#deriveUrgency(job)) continue;
      this.onDerived(id);
      pendingIds.push(...job.spec.awaits);
    }
  }

  /**
   * Derives priority and latest start from the job itself and from what needs it; returns whether they have changed.
   */
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
    // Outside pipelines jobs of one priority keep their order of arrival.
    const startBy = isInPipeline ? endBy - estimateMs : Infinity;
    if (priority === job.effectivePriority && startBy === job.startBy) return false;
    job.effectivePriority = priority;
    job.startBy = startBy;
    return true;
  }
}
