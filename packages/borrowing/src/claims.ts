// What the leader is told of the tasks that machines hold: enough to choose which of them a reclaim stops.
import type { Claim } from '@gingerlock/core';

/** One task that a machine holds. */
export interface HeldTask {
  readonly task: string;
  readonly attempt: number;
  readonly stage: Claim['stage'];
  /** For how long it has run; 0 while it does not. */
  readonly runMs: number;
  /** It has been told to stop. */
  readonly stopping: boolean;
}

/** What one machine holds. */
export interface MachineClaims {
  readonly machine: string;
  readonly held: readonly HeldTask[];
}

/** What the machines of one partition hold, as its owner told it. */
export interface PartitionClaims {
  readonly partitionId: number;
  readonly term: number;
  /** The owner's replica stood at this revision: what reclaims that ended by then have stopped is not in the list. */
  readonly revision: number;
  readonly machines: readonly MachineClaims[];
}

/** A task under one attempt: a later attempt of the same task is another one. */
export interface TaskAttempt {
  readonly task: string;
  readonly attempt: number;
}
