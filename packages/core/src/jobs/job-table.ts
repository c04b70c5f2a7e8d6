/** The jobs in this controller's watch cache, with the data of their records and the state derived from them. */
import { finishedRecord, jobRecord, type JobRecord, type JobSpec, KEYS, type ParsedKey } from '@gingerlock/wire';
import { BitSet } from './bit-set';
import { DependencyGraph, type JobOutcome } from './dependencies';
import type { FinishedPage } from './finished-pages';
import { Job } from './jobs';

/** The record of a job that has not ended. */
type LiveJobRecord = Extract<JobRecord, { readonly final: null }>;

/** Key of a stored page of finished tasks: a regular page, or an overflow page. */
type FinishedKey = Extract<ParsedKey, { kind: 'finished' | 'finishedFrom' }>;

/** The jobs in this controller's watch cache, updated with each change of a key. */
export class JobTable {
  /** Jobs that have not ended, by id. */
  readonly live = new Map<string, Job>();
  /** Outcomes of the jobs that have ended, by id. */
  readonly outcomes = new Map<string, JobOutcome>();
  readonly dependencies: DependencyGraph;
  /** Called with each job whose derived state has changed because of another job. */
  onDerived: (id: string) => void = () => undefined;
  /** Pages of finished tasks that were read before the record of their job, by job id. */
  readonly #earlyPagesByJob = new Map<string, FinishedPage[]>();

  constructor(
    /** Number of tasks in a regular page of finished tasks, as stored for the deployment. */
    readonly pageTasks: () => number,
    /** Whether the tasks of a job are the members of a replica group. */
    readonly isGroup: (spec: JobSpec) => boolean = () => false,
  ) {
    this.dependencies = new DependencyGraph(this, (id) => this.onDerived(id));
  }

  /** Applies several changes; see `DependencyGraph.batch`. */
  batch(changes: () => void): void {
    this.dependencies.batch(changes);
  }

  isKnown(id: string): boolean {
    return this.live.has(id) || this.outcomes.has(id);
  }

  /**
   * Applies a change of a job's key; `value` is undefined if the key was removed. Returns the record, or null if the
   * key was removed. Throws if the value is not a job record.
   */
  applyJob(id: string, value: unknown, version: number): JobRecord | null {
    if (value === undefined) {
      this.#drop(id, null);
      this.outcomes.delete(id);
      return null;
    }
    const record = jobRecord.read(value);
    if (record.final !== null) {
      this.#earlyPagesByJob.delete(id);
      this.outcomes.set(id, record.final);
      this.#drop(id, record.final);
      return record;
    }
    this.#applyLive(id, record, version);
    return record;
  }

  #applyLive(id: string, record: LiveJobRecord, version: number): void {
    let job = this.live.get(id);
    if (job === undefined) {
      job = new Job(id);
      this.live.set(id, job);
    }
    job.spec = record.spec;
    job.isGroup = this.isGroup(record.spec);
    job.acceptedAt = record.acceptedAt;
    job.isCancelled = record.cancelled || job.isCancelledElsewhere;
    job.isMarkedCrashLooping = record.isCrashLooping;
    job.assignedRanges = record.assignedRanges;
    job.version = version;
    this.dependencies.update(job);
    for (const page of this.#earlyPagesByJob.get(id) ?? []) job.setPage(page);
    this.#earlyPagesByJob.delete(id);
  }

  #drop(id: string, outcome: JobOutcome | null): void {
    const job = this.live.get(id);
    this.live.delete(id);
    if (job !== undefined) this.dependencies.remove(job, outcome);
    else if (outcome !== null) this.dependencies.propagateOutcome(id, outcome);
  }

  /**
   * Marks a job as cancelled after a peer has reported that it confirmed the cancellation to a user. The watch cache
   * may not contain the cancellation yet.
   */
  markCancelled(id: string): void {
    const job = this.live.get(id);
    if (job === undefined) return;
    job.isCancelledElsewhere = true;
    job.isCancelled = true;
    this.dependencies.update(job);
  }

  /**
   * Applies a change of a page of finished tasks; `value` is undefined if the key was removed. Throws if the value is
   * not a page of finished tasks.
   */
  applyFinished(key: FinishedKey, value: unknown, version: number): void {
    // Pages are removed only together with their job, and the change of the job's own key removes the rest.
    if (value === undefined) {
      this.#earlyPagesByJob.delete(key.id);
      return;
    }
    const page = this.#readPage(key, value, version);
    const job = this.live.get(key.id);
    if (job !== undefined) {
      job.setPage(page);
    } else if (!this.outcomes.has(key.id)) {
      const pages = this.#earlyPagesByJob.get(key.id) ?? [];
      pages.push(page);
      this.#earlyPagesByJob.set(key.id, pages);
    }
  }

  #readPage(key: FinishedKey, value: unknown, version: number): FinishedPage {
    return {
      key:
        key.kind === 'finished'
          ? KEYS.finished(key.id, key.partitionId, key.page)
          : KEYS.finishedFrom(key.id, key.partitionId, key.first),
      first: key.kind === 'finished' ? key.page * this.pageTasks() : key.first,
      bits: new BitSet(finishedRecord.read(value)),
      version,
    };
  }
}
