// The jobs of this controller's replica of the state service: what their records say, and what follows from them.
import {
  finishedRecord,
  jobRecord,
  type JobRecord,
  type JobSpec,
  KEYS,
  PRIORITIES,
  type ParsedKey,
  type AssignedRange,
} from '@gingerlock/wire';
import { DependencyGraph, type Outcome } from './dependencies';
import { unassignedRanges } from './assigned-ranges';

/** A set of tasks as the state service keeps it: a bit for each, the lowest bit of a byte first. */
export class BitSet {
  constructor(public bytes: Uint8Array = new Uint8Array(0)) {}

  has(bit: number): boolean {
    return (((this.bytes[bit >> 3] ?? 0) >> (bit & 7)) & 1) === 1;
  }

  /** A copy with one more bit. */
  with(bit: number): BitSet {
    const bytes = new Uint8Array(Math.max(this.bytes.length, (bit >> 3) + 1));
    bytes.set(this.bytes);
    bytes[bit >> 3]! |= 1 << (bit & 7);
    return new BitSet(bytes);
  }
}

/** One stored value of finished tasks of one job at one partition. */
export interface FinishedPage {
  readonly key: string;
  /** The task of the first bit. */
  readonly first: number;
  readonly bits: BitSet;
  readonly version: number;
}

/** A job that is neither done nor wholly cancelled, as the state service has it. */
export class Job {
  spec!: JobSpec;
  acceptedAt = 0;
  /** Cancelled itself, or with a job that it needs. */
  cancelled = false;
  /** Another controller has told us that it is cancelled: true for ever, though our copy of its record may not say so yet. */
  cancelledElsewhere = false;
  /** Marked in its record: it failed on several machines and was not seen to run. */
  isMarkedCrashLooping = false;
  /** Its tasks are the members of a replica group: they run all together or not at all. */
  isGroup = false;
  /** Whether all jobs that it needs are done; until then it waits and nothing of it is assigned. */
  ready = true;
  assignedRanges: readonly AssignedRange[] = [];
  version = 0;
  /** Urgency as a number, 0 goes first: its own or that of the most urgent job that needs it. */
  effectivePriority = Infinity;
  /** Latest start (time of day, ms) by which the pipeline that it is part of keeps its deadline; Infinity: none. */
  startBy = Infinity;
  /** By key. */
  readonly pages = new Map<string, FinishedPage>();
  readonly #finished = new Set<number>();

  constructor(readonly id: string) {}

  /** Urgency by its own priority alone: what it may stop others for. */
  get ownPriority(): number {
    return PRIORITIES.indexOf(this.spec.priority);
  }

  /** Whether at most one task at a time is tried, for it failed wherever it was started. */
  get isCrashLooping(): boolean {
    // A group is tried again as a whole, in its own time.
    return this.isMarkedCrashLooping && this.finishedCount === 0 && !this.isGroup;
  }

  isFinished(taskIndex: number): boolean {
    return this.#finished.has(taskIndex);
  }

  get finishedCount(): number {
    return this.#finished.size;
  }

  get complete(): boolean {
    return this.#finished.size >= this.spec.tasks;
  }

  setPage(page: FinishedPage): void {
    this.pages.set(page.key, page);
    const { bits, first } = page;
    for (let i = 0; i < bits.bytes.length * 8; i++) if (bits.has(i)) this.#finished.add(first + i);
  }

  /** Ranges of tasks that are in no round, as [from, count]. */
  unassigned(): [number, number][] {
    return unassignedRanges(this.assignedRanges, this.spec.tasks);
  }
}

/** The most urgent first; of these the ones of pipelines by the time that is left to them, all others as they came. */
export function jobOrder(a: Job, b: Job): number {
  return a.effectivePriority - b.effectivePriority || orderTime(a) - orderTime(b) || (a.id < b.id ? -1 : 1);
}

function orderTime(job: Job): number {
  return job.startBy === Infinity ? job.acceptedAt : job.startBy;
}

/** The jobs of this controller's replica of the state service. */
export class JobTable {
  readonly live = new Map<string, Job>();
  readonly finals = new Map<string, Outcome>();
  readonly dependencies: DependencyGraph;
  /** Hears of each job for which something has changed because of another job. */
  onDerived: (id: string) => void = () => undefined;
  /** Finished pages that were seen before their job. */
  readonly #early = new Map<string, FinishedPage[]>();

  constructor(
    readonly pageTasks: () => number,
    /** Whether the tasks of a job are the members of a replica group. */
    readonly isGroup: (spec: JobSpec) => boolean = () => false,
  ) {
    this.dependencies = new DependencyGraph(this, (id) => this.onDerived(id));
  }

  isKnown(id: string): boolean {
    return this.live.has(id) || this.finals.has(id);
  }

  /** Takes one change of a job's key; returns the record, or null if the key was removed. */
  applyJob(id: string, value: unknown, version: number): JobRecord | null {
    if (value === undefined) {
      this.#drop(id, null);
      this.finals.delete(id);
      return null;
    }
    const record = jobRecord.read(value);
    if (record.final !== null) {
      this.#early.delete(id);
      this.finals.set(id, record.final);
      this.#drop(id, record.final);
      return record;
    }
    let job = this.live.get(id);
    if (job === undefined) {
      job = new Job(id);
      this.live.set(id, job);
    }
    job.spec = record.spec;
    job.isGroup = this.isGroup(record.spec);
    job.acceptedAt = record.acceptedAt;
    job.cancelled = record.cancelled || job.cancelledElsewhere;
    job.isMarkedCrashLooping = record.isCrashLooping;
    job.assignedRanges = record.assignedRanges;
    job.version = version;
    this.dependencies.update(job);
    for (const page of this.#early.get(id) ?? []) job.setPage(page);
    this.#early.delete(id);
    return record;
  }

  #drop(id: string, outcome: Outcome | null): void {
    const job = this.live.get(id);
    this.live.delete(id);
    if (job !== undefined) this.dependencies.remove(job, outcome);
    else if (outcome !== null) this.dependencies.ended(id, outcome);
  }

  /** A controller that has told a user so says that the job is cancelled. */
  markCancelled(id: string): void {
    const job = this.live.get(id);
    if (job === undefined) return;
    job.cancelledElsewhere = true;
    job.cancelled = true;
    this.dependencies.update(job);
  }

  applyFinished(key: Extract<ParsedKey, { kind: 'finished' | 'finishedFrom' }>, value: unknown, version: number): void {
    // A page goes only together with its whole job, whose own change says the rest.
    if (value === undefined) {
      this.#early.delete(key.id);
      return;
    }
    const page: FinishedPage = {
      key:
        key.kind === 'finished'
          ? KEYS.finished(key.id, key.partitionId, key.page)
          : KEYS.finishedFrom(key.id, key.partitionId, key.first),
      first: key.kind === 'finished' ? key.page * this.pageTasks() : key.first,
      bits: new BitSet(finishedRecord.read(value)),
      version,
    };
    const job = this.live.get(key.id);
    if (job !== undefined) {
      job.setPage(page);
    } else if (!this.finals.has(key.id)) {
      const list = this.#early.get(key.id) ?? [];
      list.push(page);
      this.#early.set(key.id, list);
    }
  }
}

/** What a page's value takes beside its base64 text. */
const PAGE_OVERHEAD_BYTES = 16;

/** How many tasks fit into one page of at most `valueBytes`: six bits in each character of base64. */
export function pageCapacity(valueBytes: number): number {
  const tasks = Math.max(64, Math.floor(valueBytes - PAGE_OVERHEAD_BYTES - 4) * 6);
  return tasks - (tasks % 8);
}

/**
 * The page into which a finished task is written. Pages are as long as the first controller of the deployment fixed
 * them in `meta`, maybe by a larger limit on values than there is now. Tasks of a page that lie beyond what fits now,
 * and all further tasks of a page that was stored larger, go into pages that begin at any task.
 */
export function finishedPageFor(
  job: Job,
  partitionId: number,
  taskIndex: number,
  limits: { readonly pageTasks: number; readonly valueBytes: number },
): { readonly key: string; readonly first: number; readonly bits: BitSet } {
  const capacity = pageCapacity(limits.valueBytes);
  const page = Math.floor(taskIndex / limits.pageTasks);
  const key = KEYS.finished(job.id, partitionId, page);
  const stored = job.pages.get(key)?.bits ?? new BitSet();
  const first = page * limits.pageTasks;
  if (taskIndex - first < capacity && stored.bytes.length * 8 <= capacity) return { key, first, bits: stored };
  const start = taskIndex - (taskIndex % capacity);
  const overflowKey = KEYS.finishedFrom(job.id, partitionId, start);
  return { key: overflowKey, first: start, bits: job.pages.get(overflowKey)?.bits ?? new BitSet() };
}
