// The reports of owners to the leader on the tasks that machines hold, from which victims of reclaims are chosen.
import type { Claim } from '@gingerlock/core';

/** One task that a machine holds. */
export interface HeldTask {
  readonly task: string;
  readonly attempt: number;
  readonly stage: Claim['stage'];
  /** How long it has run, in milliseconds; 0 if it does not run. */
  readonly runMs: number;
  /** Whether a stop command has been issued. */
  readonly stopping: boolean;
}

/** The tasks that one machine holds. */
export interface MachineClaims {
  readonly machine: string;
  readonly held: readonly HeldTask[];
}

/** The tasks that the machines of one partition hold, as reported by its owner. */
export interface PartitionClaims {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /** Revision of the owner's watch cache. The list has no tasks stopped by reclaims that were over at this revision. */
  readonly revision: number;
  readonly machines: readonly MachineClaims[];
}

/** One attempt to run a task. */
export interface TaskAttempt {
  readonly task: string;
  readonly attempt: number;
}
