// What an optional feature of the deployment (borrowing, replica groups) adds to the leader's transactions. A feature
// that is off has no object in the leader's list.
import type { AssignmentInput, AssignmentResult, PartitionStatus, UnschedulableDemand } from '@gingerlock/core';
import type { JobBatch } from './job-batch';
import type { PlannedUse } from './pending-assignments';

/** Rules of the assignment that features change. */
export type AssignmentRules = Pick<AssignmentInput, 'preempts' | 'heldBack' | 'groups'>;

/** The rules while all features are off. */
export const DEFAULT_ASSIGNMENT_RULES: AssignmentRules = { preempts: true, heldBack: null, groups: null };

/** What a transaction is made from, once tasks have been assigned. */
export interface AssignmentOutcome {
  readonly result: AssignmentResult;
  readonly statuses: readonly PartitionStatus[];
  readonly now: number;
}

/** What a feature has added to a transaction beside the ordinary assignments. */
export interface AddedPlacements {
  readonly uses: readonly PlannedUse[];
  /** By job: tasks that the assignment found unschedulable and that the feature has placed. */
  readonly placedCountByJob: ReadonlyMap<string, number>;
}

/**
 * The hooks, in the order in which the leader calls them for one transaction. A feature that adds nothing at a hook
 * does nothing.
 */
export interface LeaderFeature {
  /** A transaction begins; the one before was committed or dropped. */
  begin(): void;
  /** Adds changes that come before all assignments. */
  addChanges(batch: JobBatch): void;
  /** The rules of the assignment that the feature changes. */
  assignmentRules(statuses: readonly PartitionStatus[]): Partial<AssignmentRules>;
  /** Adds placements of its own, after the ordinary assignments. */
  addPlacements(batch: JobBatch, outcome: AssignmentOutcome): AddedPlacements;
  /** Demand for machines beside that of tasks that are unschedulable. */
  extraDemand(): readonly UnschedulableDemand[];
  /** Adds the removal of records that nobody needs any more, after everything else. */
  addRemovals(batch: JobBatch): void;
  /** The transaction was committed. */
  committed(): void;
  /**
   * Machines that are neither drained for consolidation nor scaled in while idle; asked for outside of transactions
   * too.
   */
  pinnedMachines(): Iterable<string>;
}
