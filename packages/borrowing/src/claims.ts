// What owners report to the leader of the tasks that machines hold: enough to choose the victims of reclaims.
import type { Claim } from '@gingerlock/core';

/** One task that a machine holds. */
export interface HeldTask {
  readonly task: string;
  readonly attempt: number;
  readonly stage: Claim['stage'];
  /** How long it has run, in milliseconds; 0 while it does not. */
  readonly runMs: number;
  /** A stop command has been issued. */
  readonly stopping: boolean;
}

/** The tasks that one machine holds. */
export interface MachineClaims {
  readonly machine: string;
  readonly held: readonly HeldTask[];
}

/** The tasks that the machines of one partition hold, as its owner reported them. */
export interface PartitionClaims {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /**
   * Revision of the owner's watch cache: tasks that were stopped by reclaims that ended by then are not in the list.
   */
  readonly revision: number;
  readonly machines: readonly MachineClaims[];
}

/** One attempt to run a task. */
export interface TaskAttempt {
  readonly task: string;
  readonly attempt: number;
}
