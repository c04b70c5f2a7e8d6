// Which jobs wait for which others, what follows from the end or the cancellation of one for those after it, and what the
// deadline at the end of a pipeline means for those before it. Pure: kept up by each job that comes, changes or ends.
import type { Job } from './jobs';

export type Outcome = 'done' | 'cancelled';

/** What the graph reads of the jobs. */
export interface JobIndex {
  /** Jobs that are not over. */
  readonly live: ReadonlyMap<string, Job>;
  /** Jobs that are over. */
  readonly finals: ReadonlyMap<string, Outcome>;
}

const NO_DEPENDENTS: ReadonlySet<string> = new Set();

export class DependencyGraph {
  /** By job: the live jobs that name it as a dependency. */
  readonly #dependents = new Map<string, Set<string>>();

  /** `onDerived` hears of each job whose readiness, cancellation or urgency has changed because of another job. */
  constructor(
    readonly jobs: JobIndex,
    readonly onDerived: (id: string) => void,
  ) {}

  dependentsOf(id: string): ReadonlySet<string> {
    return this.#dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** A job is new, or its record has changed. */
  update(job: Job): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      if (dependents === undefined) this.#dependents.set(dependency, new Set([job.id]));
      else dependents.add(job.id);
    }
    job.ready = this.#isReady(job);
    if (!job.cancelled && job.spec.awaits.some((id) => this.#isCancelled(id))) job.cancelled = true;
    this.#deriveUrgency(job);
    if (job.cancelled) this.cancelDependents(job.id);
    this.#passUrgencyOn(job.spec.awaits);
  }

  /** A job is over, or its record is gone. */
  remove(job: Job, outcome: Outcome | null): void {
    for (const dependency of job.spec.awaits) {
      const dependents = this.#dependents.get(dependency);
      dependents?.delete(job.id);
      if (dependents?.size === 0) this.#dependents.delete(dependency);
    }
    this.#passUrgencyOn(job.spec.awaits);
    if (outcome !== null) this.ended(job.id, outcome);
  }

  /** The final record of a job has been read. */
  ended(id: string, outcome: Outcome): void {
    if (outcome === 'cancelled') {
      this.cancelDependents(id);
      return;
    }
    for (const dependent of this.dependentsOf(id)) {
      const job = this.jobs.live.get(dependent);
      if (job === undefined || job.ready || !this.#isReady(job)) continue;
      job.ready = true;
      this.onDerived(dependent);
    }
  }

  /** Cancels every job that needs this one, directly or through others. */
  cancelDependents(id: string): void {
    const cancelled = [id];
    for (let next = cancelled.pop(); next !== undefined; next = cancelled.pop()) {
      for (const dependent of this.dependentsOf(next)) {
        const job = this.jobs.live.get(dependent);
        if (job === undefined || job.cancelled) continue;
        job.cancelled = true;
        cancelled.push(dependent);
        this.#passUrgencyOn(job.spec.awaits);
        this.onDerived(dependent);
      }
    }
  }

  /** Only a final record shows that a job is done: counts of finished tasks may be ahead of a cancellation. */
  #isReady(job: Job): boolean {
    return job.spec.awaits.every((id) => this.jobs.finals.get(id) === 'done');
  }

  #isCancelled(id: string): boolean {
    return this.jobs.finals.get(id) === 'cancelled' || this.jobs.live.get(id)?.cancelled === true;
  }

  /** Urgency of the dependencies may have changed, and so that of what they need. */
  #passUrgencyOn(dependencies: readonly string[]): void {
    const pending = [...dependencies];
    for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
      const job = this.jobs.live.get(id);
      if (job === undefined || !this.#deriveUrgency(job)) continue;
      this.onDerived(id);
      pending.push(...job.spec.awaits);
    }
  }

  /** Derives rank and latest start from the job itself and from what needs it; returns whether they have changed. */
  #deriveUrgency(job: Job): boolean {
    const { spec } = job;
    const estimateMs = spec.estimateS * 1000;
    let priority = job.ownPriority;
    let endBy = spec.deadlineS === null ? Infinity : job.acceptedAt + spec.deadlineS * 1000;
    let inPipeline = spec.awaits.length > 0;
    for (const id of this.dependentsOf(job.id)) {
      const dependent = this.jobs.live.get(id);
      if (dependent === undefined || dependent.cancelled) continue;
      inPipeline = true;
      priority = Math.min(priority, dependent.effectivePriority);
      endBy = Math.min(endBy, dependent.startBy);
    }
    // Outside of pipelines the order of arrival stands.
    const startBy = inPipeline ? endBy - estimateMs : Infinity;
    if (priority === job.effectivePriority && startBy === job.startBy) return false;
    job.effectivePriority = priority;
    job.startBy = startBy;
    return true;
  }
}
