/** A job with its stored and derived state, and the order in which jobs are scheduled. */
import { type AssignedRange, type JobSpec, PRIORITIES } from '@gingerlock/wire';
import { needOf, type Resources } from '../cluster/resources';
import { unassignedRanges } from './assigned-ranges';
import { BitSet } from './bit-set';
import type { FinishedPage } from './finished-pages';

/**
 * A job in the key-value store without a final record. `JobTable` keeps its fields up to date; `DependencyGraph`
 * derives `isReady`, `isCancelled`, `effectivePriority` and `startBy`, which also depend on other jobs.
 */
export class Job {
  #spec!: JobSpec;
  #need!: Resources;
  /** Time of day (ms) at which the job was accepted. */
  acceptedAt = 0;
  /** Whether the job is cancelled, either itself or because a dependency is. */
  isCancelled = false;
  /** Whether a peer has reported it as cancelled. Never reset; the record in the watch cache may lag behind. */
  isCancelledElsewhere = false;
  /** Whether its record marks it as crash-looping: it failed on several machines and was never seen running. */
  isMarkedCrashLooping = false;
  /** Whether its tasks are the members of a replica group, which run all together or not at all. */
  isGroup = false;
  /** Whether all its dependencies are done; until then none of its tasks are assigned. */
  isReady = true;
  /** The ranges of its tasks that are assigned to partitions. */
  assignedRanges: readonly AssignedRange[] = [];
  /** Version of its record. */
  version = 0;
  /** Priority class as a number, 0 being the most urgent: its own or that of its most urgent dependent. */
  effectivePriority = Infinity;
  /** Latest start (time of day, ms) at which its pipeline can meet its deadline; Infinity if there is no deadline. */
  startBy = Infinity;
  /** The stored pages of its finished tasks, by key. */
  readonly pages = new Map<string, FinishedPage>();
  readonly #finishedTasks = new Set<number>();

  constructor(readonly id: string) {}

  /** What the user submitted. */
  get spec(): JobSpec {
    return this.#spec;
  }

  set spec(spec: JobSpec) {
    this.#spec = spec;
    this.#need = needOf(spec);
  }

  /** What each of its tasks takes of its machine. */
  get need(): Resources {
    return this.#need;
  }

  /** Its own priority class, regardless of its dependents; only this one allows it to preempt other jobs. */
  get ownPriority(): number {
    return PRIORITIES.indexOf(this.spec.priority);
  }

  /** Whether at most one task at a time is started, as a probe, because the job failed wherever it was started. */
  get isCrashLooping(): boolean {
    // A replica group is retried as a whole, with its own backoff.
    return this.isMarkedCrashLooping && this.finishedCount === 0 && !this.isGroup;
  }

  isFinished(taskIndex: number): boolean {
    return this.#finishedTasks.has(taskIndex);
  }

  get finishedCount(): number {
    return this.#finishedTasks.size;
  }

  /** Whether all of its tasks are finished. */
  get isComplete(): boolean {
    return this.#finishedTasks.size >= this.spec.tasks;
  }

  /** Sets a stored page and adds its finished tasks; a finished task never becomes unfinished. */
  setPage(page: FinishedPage): void {
    const known = this.pages.get(page.key);
    this.pages.set(page.key, page);
    const { bits, first } = page;
    for (const bit of bits.bitsBeyond(known?.bits ?? new BitSet())) this.#finishedTasks.add(first + bit);
  }

  /** Ranges of tasks that are not assigned to a partition, as [from, count] pairs. */
  unassigned(): [number, number][] {
    return unassignedRanges(this.assignedRanges, this.spec.tasks);
  }
}

/**
 * Compares jobs for sorting: by priority, the most urgent first, then by latest start for jobs in pipelines with a
 * deadline and by time of acceptance for all others.
 */
export function jobOrder(a: Job, b: Job): number {
  return a.effectivePriority - b.effectivePriority || orderTime(a) - orderTime(b) || (a.id < b.id ? -1 : 1);
}

/** The time of day (ms) by which a job is ordered within its priority class. */
function orderTime(job: Job): number {
  return job.startBy === Infinity ? job.acceptedAt : job.startBy;
}
