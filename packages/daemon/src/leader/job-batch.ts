// Changes of job records that the leader commits in one transaction.
import { type Job, mergeRanges, type Versioned } from '@gingerlock/core';
import { type AssignedRange, type Change, type Condition, jobRecord, KEYS, type OwnerRecord } from '@gingerlock/wire';
import type { TransactionSizeLimit } from '../state/transaction-size-limit';

/** The record of a job with ranges added to its assigned ranges. */
export function recordWith(job: Job, isCrashLooping: boolean, added: readonly AssignedRange[]): unknown {
  return recordOf(job, isCrashLooping, [...job.assignedRanges, ...added]);
}

/** The record of a job with its assigned ranges replaced by the given ones. */
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

/** Changes of job records in one transaction, each conditional on the version that was read. */
export class JobBatch {
  readonly conditions: Condition[] = [];
  readonly changes: Change[] = [];
  /** Ids of the jobs whose records the transaction changes. */
  readonly jobs = new Set<string>();
  /** Ids of the partitions whose owners are already conditions of the transaction. */
  readonly #requiredOwners = new Set<number>();

  constructor(
    /** The condition that this controller is still the leader. */
    leadership: Condition,
    readonly sizeLimit: TransactionSizeLimit,
  ) {
    this.#add([leadership], []);
  }

  /** Adds all conditions and changes, or none. Returns false if the transaction has no space for them. */
  #add(conditions: readonly Condition[], changes: readonly Change[]): boolean {
    if (!this.sizeLimit.add(conditions, changes)) return false;
    this.conditions.push(...conditions);
    this.changes.push(...changes);
    return true;
  }

  /** Writes a job's record along with other changes. Returns false if the transaction has no space for them. */
  put(job: Job, record: unknown, ...others: readonly Change[]): boolean {
    const key = KEYS.job(job.id);
    if (!this.#add([{ key, version: job.version }], [{ put: key, value: record }, ...others])) return false;
    this.jobs.add(job.id);
    return true;
  }

  /**
   * Writes a record other than a job's, if it has the given version and the other condition holds. Returns false if the
   * transaction has no space for it.
   */
  putIf(change: { readonly put: string; readonly value: unknown }, version: number, other: Condition): boolean {
    return this.#add([{ key: change.put, version }, other], [change]);
  }

  /** Makes the transaction conditional on the version of a key. Returns false if it has no space for the condition. */
  requireVersion(condition: Condition): boolean {
    return this.#add([condition], []);
  }

  /** Removes the key, whatever its version. Returns false if the transaction has no space for the removal. */
  remove(key: string): boolean {
    return this.#add([], [{ remove: key }]);
  }

  /** Removes the key if it still has that version. Returns false if the transaction has no space for the removal. */
  removeIf(key: string, version: number): boolean {
    return this.#add([{ key, version }], [{ remove: key }]);
  }

  /**
   * Makes the transaction conditional on the current owners of the partitions; skips partitions without one. Returns
   * false if it has no space for the conditions.
   */
  requireOwners(owners: ReadonlyMap<string, Versioned<OwnerRecord>>, partitionIds: Iterable<number>): boolean {
    for (const partitionId of partitionIds) {
      const owner = owners.get(String(partitionId));
      if (owner === undefined || this.#requiredOwners.has(partitionId)) continue;
      if (!this.#add([{ key: KEYS.owner(String(partitionId)), version: owner.version }], [])) return false;
      this.#requiredOwners.add(partitionId);
    }
    return true;
  }
}
