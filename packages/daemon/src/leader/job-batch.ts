// Changes of job records that the leader writes together.
import { assignedUnfinished, type Job, mergeRanges } from '@gingerlock/core';
import { type Change, type Condition, jobRecord, KEYS, type AssignedRange } from '@gingerlock/wire';
import type { TransactionSizeLimit } from '../state/transaction-size-limit';

/** The record of a job with rounds added to it. */
export function recordWith(job: Job, isCrashLooping: boolean, added: readonly AssignedRange[]): unknown {
  return recordOf(job, isCrashLooping, [...job.assignedRanges, ...added]);
}

/** The record of a job with these rounds in place of its own. */
export function recordOf(job: Job, isCrashLooping: boolean, assignedRanges: readonly AssignedRange[]): unknown {
  return jobRecord.write({
    final: null,
    spec: job.spec,
    acceptedAt: job.acceptedAt,
    cancelled: false,
    isCrashLooping,
    assignedRanges: mergeRanges(assignedRanges, (taskIndex) => job.isFinished(taskIndex)),
  });
}

/** How the job's record is to end now: all tasks are finished or, of a job that is cancelled, gone; null: not yet. */
export function finalOf(job: Job): 'done' | 'cancelled' | null {
  if (job.cancelled) return assignedUnfinished(job) === 0 ? 'cancelled' : null;
  return job.spec.kind === 'array' && job.complete ? 'done' : null;
}

/** Changes of job records in one transaction, each against the version that was read. */
export class JobBatch {
  readonly conditions: Condition[] = [];
  readonly changes: Change[] = [];
  readonly jobs = new Set<string>();
  readonly #owners = new Set<string>();

  constructor(
    entitlement: Condition,
    readonly sizeLimit: TransactionSizeLimit,
  ) {
    this.#add([entitlement], []);
  }

  #add(conditions: readonly Condition[], changes: readonly Change[]): boolean {
    if (!this.sizeLimit.add(conditions, changes)) return false;
    this.conditions.push(...conditions);
    this.changes.push(...changes);
    return true;
  }

  /** Writes the record of a job, and other changes that belong to it; false: the transaction has no room for them. */
  put(job: Job, record: unknown, ...others: readonly Change[]): boolean {
    const key = KEYS.job(job.id);
    if (!this.#add([{ key, version: job.version }], [{ put: key, value: record }, ...others])) return false;
    this.jobs.add(job.id);
    return true;
  }

  /** Writes another record if it has that version, resting on one more condition; false: the transaction has no room for it. */
  putIf(change: { readonly put: string; readonly value: unknown }, version: number, other: Condition): boolean {
    return this.#add([{ key: change.put, version }, other], [change]);
  }

  /** Makes the transaction rest on the version of a key; false: it has no room for that. */
  requireVersion(condition: Condition): boolean {
    return this.#add([condition], []);
  }

  /** False: the transaction has no room for it. */
  remove(key: string): boolean {
    return this.#add([], [{ remove: key }]);
  }

  /** Removes the key if it still has that version; false: the transaction has no room for it. */
  removeIf(key: string, version: number): boolean {
    return this.#add([{ key, version }], [{ remove: key }]);
  }

  /** Makes the transaction rest on the partition's owner; false: it has no room for that. */
  requireOwner(condition: Condition): boolean {
    if (this.#owners.has(condition.key)) return true;
    if (!this.#add([condition], [])) return false;
    this.#owners.add(condition.key);
    return true;
  }
}
