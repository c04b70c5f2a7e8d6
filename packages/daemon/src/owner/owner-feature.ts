// What an optional feature of the deployment (borrowing, replica groups) adds to the owner of a partition. A feature
// that is off has no object in the owner's list.
import type { ClaimTable, ClaimTableOptions, Reservations, TaskEntry } from '@gingerlock/core';
import type { Write } from './write';

/** The owner's hooks. A feature that adds nothing at a hook does nothing. */
export interface OwnerFeature {
  /** Resources of machines that are kept for certain tasks. */
  readonly reservations: Reservations;
  /** What the feature changes of the claim table's rules. */
  readonly claimTableOptions: Pick<ClaimTableOptions, 'members' | 'preempts'>;
  /** The claim table has been made, and knows all jobs. */
  attach(table: ClaimTable): void;
  /** The job's record, or one that belongs to it, has changed. */
  jobChanged(id: string): void;
  /** Looks at the partition once; returns the tasks whose workers have to be sent a stop now. */
  step(table: ClaimTable, now: number): readonly TaskEntry[];
  /** The removals of records that nobody needs any more. */
  removals(): readonly Write[];
}
