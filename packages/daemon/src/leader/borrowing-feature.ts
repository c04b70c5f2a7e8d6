// Borrowing as a feature of the leader: adds the reclaims that `LeaderBorrowing` decides to the leader's transactions.
import type { Decision } from '@gingerlock/borrowing';
import { assignedRangesOf, type Job, type PartitionStatus, type UnschedulableDemand } from '@gingerlock/core';
import { reclaimRecord } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import { partitionIdsOf } from './assignment-changes';
import { type JobBatch, recordWith } from './job-batch';
import type { LeaderBorrowing } from './leader-borrowing';
import {
  type AddedPlacements,
  type AssignmentOutcome,
  type AssignmentRules,
  type LeaderFeature,
} from './leader-feature';
import type { PlannedUse } from './pending-assignments';

/** Changes that a reclaim adds to a transaction: it updates the record of its job and creates its own. */
const CHANGES_PER_RECLAIM = 2;

/** A reclaim that the current transaction contains, with the key of its record. */
interface AddedReclaim {
  readonly decision: Decision;
  readonly key: string;
}

/** The leader's hooks while borrowing is on. */
export class BorrowingFeature implements LeaderFeature {
  #added: AddedReclaim[] = [];

  constructor(
    readonly context: ControllerContext,
    readonly borrowing: LeaderBorrowing,
    /** Time until a machine that is scaled out now could run a task of the job, in milliseconds; Infinity: never. */
    readonly scaleOutMs: (job: Job) => number,
  ) {}

  begin(): void {
    this.#added = [];
  }

  addChanges(): void {
    return;
  }

  assignmentRules(statuses: readonly PartitionStatus[]): Partial<AssignmentRules> {
    return { preempts: false, heldBack: this.borrowing.heldBack(statuses) };
  }

  /** Adds each reclaim's record and the assigned ranges that get its resources to the same transaction. */
  addPlacements(batch: JobBatch, { result, statuses }: AssignmentOutcome): AddedPlacements {
    const freeChanges = this.context.settings.maxTransactionOps - batch.changes.length;
    const decisions = this.borrowing.plan({
      result: { ...result, unschedulable: result.unschedulable.filter(({ job }) => !job.isGroup) },
      statuses,
      changedJobs: batch.jobs,
      maxReclaims: Math.floor(freeChanges / CHANGES_PER_RECLAIM),
      scaleOutMs: this.scaleOutMs,
    });
    for (const decision of decisions) this.#addReclaim(batch, decision);
    const decided = this.#added.map(({ decision }) => decision);
    return { uses: decided.flatMap(plannedUses), placedCountByJob: taskCountByJob(decided) };
  }

  /**
   * Adds a reclaim. Skips it if the transaction or a record has no space for it, or if the transaction already changes
   * its job.
   */
  #addReclaim(batch: JobBatch, decision: Decision): void {
    const { job, tasks, placements } = decision;
    if (batch.jobs.has(job.id)) return;
    const assignedRanges = assignedRangesOf(tasks, placements);
    const record = recordWith(job, false, assignedRanges);
    const reclaim = this.borrowing.recordOf(decision);
    const value = reclaimRecord.write(reclaim.record);
    if (!this.context.fitsValue(record) || !this.context.fitsValue(value)) return;
    if (!batch.requireOwners(this.context.clusterState.owners, partitionIdsOf(assignedRanges))) return;
    if (!batch.put(job, record, { put: reclaim.key, value })) return;
    this.#added.push({ decision, key: reclaim.key });
  }

  extraDemand(): readonly UnschedulableDemand[] {
    return [];
  }

  /** Removes the reclaims that their owners have abandoned. */
  addRemovals(batch: JobBatch): void {
    for (const { key, version } of this.borrowing.abandoned()) {
      if (!batch.removeIf(key, version)) return;
      this.context.log.info({ reclaim: key }, 'reclaim abandoned');
    }
  }

  committed(): void {
    for (const { decision, key } of this.#added) this.borrowing.decided(decision, key);
  }

  pinnedMachines(): Iterable<string> {
    return [];
  }
}

function plannedUses({ job, tasks, placements, machine }: Decision): PlannedUse[] {
  return tasks.map(() => ({ partitionId: placements[0]!.partitionId, machine, need: job.need }));
}

function taskCountByJob(decisions: readonly Decision[]): Map<string, number> {
  const countByJob = new Map<string, number>();
  for (const { job, tasks } of decisions) countByJob.set(job.id, (countByJob.get(job.id) ?? 0) + tasks.length);
  return countByJob;
}
