/**
 * Propagates the urgency of jobs (effective priority and latest start) to the jobs that they depend on. A change is
 * propagated in topological order, dependents first, so that each job is derived once however many paths lead to it.
 */
import type { Job } from './jobs';

/** The jobs and dependents that urgency is derived from. */
export interface UrgencySource {
  /** The job; undefined if it has ended or is not known. */
  jobOf(id: string): Job | undefined;
  /** Ids of the live jobs that name the job as a dependency. */
  dependentsOf(id: string): Iterable<string>;
}

/** A job on the path of a depth-first search, and the index of the dependency to visit next. */
interface PathEntry {
  readonly id: string;
  readonly dependencies: readonly string[];
  next: number;
}

/** The jobs whose urgency may be out of date. Nothing is derived before `settle` is called. */
export class UrgencyPropagation {
  readonly #staleIds = new Set<string>();

  constructor(readonly source: UrgencySource) {}

  /** Records that the urgency of these jobs may be out of date, because a dependent was added, changed or removed. */
  markStale(ids: Iterable<string>): void {
    for (const id of ids) this.#staleIds.add(id);
  }

  /** Derives the urgency of all stale jobs and of their dependencies. Returns the ids of the jobs that have changed. */
  settle(): ReadonlySet<string> {
    const changedIds = new Set([...this.#staleIds].filter((id) => this.#derive(id)));
    this.#staleIds.clear();
    // Most changes end here: the job changes no other, so no pipeline is searched.
    if (changedIds.size === 0) return changedIds;
    const staleIds = new Set([...changedIds].flatMap((id) => this.#dependenciesOf(id)));
    for (const id of this.#upstreamOf(changedIds)) {
      if (!staleIds.has(id) || !this.#derive(id)) continue;
      changedIds.add(id);
      for (const dependency of this.#dependenciesOf(id)) staleIds.add(dependency);
    }
    return changedIds;
  }

  #derive(id: string): boolean {
    const job = this.source.jobOf(id);
    return job !== undefined && this.deriveUrgency(job);
  }

  #dependenciesOf(id: string): readonly string[] {
    return this.source.jobOf(id)?.spec.awaits ?? [];
  }

  /** The jobs and all their live direct and indirect dependencies, each job before its dependencies. Not recursive. */
  #upstreamOf(ids: Iterable<string>): string[] {
    const visited = new Set<string>();
    const finished: string[] = [];
    for (const root of ids) {
      const path: PathEntry[] = [];
      const enter = (id: string): void => {
        const job = this.source.jobOf(id);
        if (job === undefined || visited.has(id)) return;
        visited.add(id);
        path.push({ id, dependencies: job.spec.awaits, next: 0 });
      };
      enter(root);
      for (let entry = path.at(-1); entry !== undefined; entry = path.at(-1)) {
        const dependency = entry.dependencies[entry.next++];
        if (dependency !== undefined) enter(dependency);
        else finished.push(path.pop()!.id);
      }
    }
    return finished.reverse();
  }

  /** Derives priority and latest start of one job from itself and its dependents; returns whether they have changed. */
  deriveUrgency(job: Job): boolean {
    const { spec } = job;
    const estimateMs = spec.estimateS * 1000;
    let priority = job.ownPriority;
    let endBy = spec.deadlineS === null ? Infinity : job.acceptedAt + spec.deadlineS * 1000;
    let isInPipeline = spec.awaits.length > 0;
    for (const dependentId of this.source.dependentsOf(job.id)) {
      const dependent = this.source.jobOf(dependentId);
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
