/** One job as its record and the jobs that depend on it have it, and the order in which jobs are served. */
import { type AssignedRange, type JobSpec, PRIORITIES } from '@gingerlock/wire';
import { unassignedRanges } from './assigned-ranges';
import type { FinishedPage } from './finished-pages';

/**
 * A job that is neither done nor wholly cancelled, as the key-value store has it. `JobTable` keeps its fields up to
 * date; of these `ready`, `cancelled`, `effectivePriority` and `startBy` depend on other jobs, too, and are derived by
 * `DependencyGraph`.
 */
export class Job {
  /** What the user submitted. */
  spec!: JobSpec;
  /** Time of day (ms) at which the job was accepted. */
  acceptedAt = 0;
  /** Cancelled itself, or with a job that it needs. */
  isCancelled = false;
  /** A peer has reported it as cancelled: true for ever, though the record in our watch cache may not say so yet. */
  isCancelledElsewhere = false;
  /** Marked in its record: it failed on several machines and was not seen to run. */
  isMarkedCrashLooping = false;
  /** Its tasks are the members of a replica group: they run all together or not at all. */
  isGroup = false;
  /** Whether all jobs that it needs are done; until then it waits and nothing of it is assigned. */
  isReady = true;
  /** Which of its tasks are assigned to which partitions. */
  assignedRanges: readonly AssignedRange[] = [];
  /** Version of its record. */
  version = 0;
  /** Priority class as a number, 0 goes first: its own or that of the most urgent job that needs it. */
  effectivePriority = Infinity;
  /** Latest start (time of day, ms) by which the pipeline that it is part of keeps its deadline; Infinity: none. */
  startBy = Infinity;
  /** By key: the stored pages of its finished tasks. */
  readonly pages = new Map<string, FinishedPage>();
  readonly #finishedTasks = new Set<number>();

  constructor(readonly id: string) {}

  /** Priority class of its own, whatever needs it: by it alone it may preempt others. */
  get ownPriority(): number {
    return PRIORITIES.indexOf(this.spec.priority);
  }

  /** Whether at most one task at a time is started as a probe, because the job failed wherever it was started. */
  get isCrashLooping(): boolean {
    // A group is tried again as a whole, on a schedule of its own.
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

  /** Takes over a stored page; tasks only ever become finished. */
  setPage(page: FinishedPage): void {
    this.pages.set(page.key, page);
    const { bits, first } = page;
    for (let bit = 0; bit < bits.bytes.length * 8; bit++) if (bits.has(bit)) this.#finishedTasks.add(first + bit);
  }

  /** Ranges of tasks that are assigned to no partition, as [from, count]. */
  unassigned(): [number, number][] {
    return unassignedRanges(this.assignedRanges, this.spec.tasks);
  }
}

/**
 * Order for sorting: the most urgent first; of these pipelines by the time that is left to them, all others as they
 * came.
 */
export function jobOrder(a: Job, b: Job): number {
  return a.effectivePriority - b.effectivePriority || orderTime(a) - orderTime(b) || (a.id < b.id ? -1 : 1);
}

/** The time of day (ms) by which a job is ordered within its priority class. */
function orderTime(job: Job): number {
  return job.startBy === Infinity ? job.acceptedAt : job.startBy;
}
