// The hooks by which optional features of the deployment (borrowing, replica groups) extend the leader's transactions.
// The leader has no object for a feature that is off.
import type { AssignmentInput, AssignmentResult, PartitionStatus, UnschedulableDemand } from '@gingerlock/core';
import type { JobBatch } from './job-batch';
import type { PlannedUse } from './pending-assignments';

/** The assignment rules that features may change. */
export type AssignmentRules = Pick<AssignmentInput, 'preempts' | 'heldBack' | 'groups'>;

/** The rules while all features are off. */
export const DEFAULT_ASSIGNMENT_RULES: AssignmentRules = { preempts: true, heldBack: null, groups: null };

/** The outcome of an assignment, from which a feature adds its placements to the transaction. */
export interface AssignmentOutcome {
  readonly result: AssignmentResult;
  readonly statuses: readonly PartitionStatus[];
  readonly now: number;
}

/** The placements that a feature has added to a transaction besides the ordinary assignments. */
export interface AddedPlacements {
  readonly uses: readonly PlannedUse[];
  /** By job id: number of tasks that the assignment found unschedulable and that the feature has placed. */
  readonly placedCountByJob: ReadonlyMap<string, number>;
}

/**
 * The hooks of a feature, in the order in which the leader calls them for one transaction.
 */
export interface LeaderFeature {
  /** Called when a transaction begins; the previous one was committed or dropped. */
  begin(): void;
  /** Adds changes that come before all assignments. */
  addChanges(batch: JobBatch): void;
  /** The assignment rules that the feature changes. */
  assignmentRules(statuses: readonly PartitionStatus[]): Partial<AssignmentRules>;
  /** Adds placements of its own, after the ordinary assignments. */
  addPlacements(batch: JobBatch, outcome: AssignmentOutcome): AddedPlacements;
  /** Demand for machines besides that of unschedulable tasks. */
  extraDemand(): readonly UnschedulableDemand[];
  /** Adds the removal of obsolete records, after all other changes. */
  addRemovals(batch: JobBatch): void;
  /** Called when the transaction has been committed. */
  committed(): void;
  /**
   * Names of machines that must not be drained for consolidation or scaled in while idle; also called outside of
   * transactions.
   */
  pinnedMachines(): Iterable<string>;
}
