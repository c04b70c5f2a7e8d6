// Hooks by which an optional feature of the deployment (borrowing, replica groups) extends the owner of a partition. A
// feature that is off has no object in the owner's list.
import type { ClaimTable, ClaimTableOptions, Reservations, TaskEntry } from '@gingerlock/core';
import type { Write } from './write';

/** Hooks that the owner calls. A feature that adds nothing at a hook does nothing. */
export interface OwnerFeature {
  /** Resources of machines that are reserved for certain tasks. */
  readonly reservations: Reservations;
  /** The options of the claim table that the feature sets. */
  readonly claimTableOptions: Pick<ClaimTableOptions, 'members' | 'preempts'>;
  /** Called once the claim table has been created and knows all jobs. */
  attach(table: ClaimTable): void;
  /** Called when the job's record, or one that belongs to it, has changed. */
  jobChanged(id: string): void;
  /** Called at each tick. Returns the tasks that have to be sent a stop now. */
  step(table: ClaimTable, now: number): readonly TaskEntry[];
  /** Plans the removals of records that are no longer needed. */
  removals(): readonly Write[];
}
