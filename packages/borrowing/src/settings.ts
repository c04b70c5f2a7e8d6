// The operators' settings for borrowing, and the times derived from the platform's settings.
import type { ClusterConfig } from '@gingerlock/core';

/** Settings of borrowing that operators may change. */
export interface BorrowingSettings {
  /** The largest share of the machines with a reclaim in progress at once; one machine is always allowed. */
  readonly maxShare: number;
}

/** The values of settings that are not set. */
export const BORROWING_DEFAULTS: BorrowingSettings = { maxShare: 0.25 };

/** A stopped task gets the save time that its job states, multiplied by this factor. */
const SAVE_GRACE_FACTOR = 1.25;

/** How long a task that a reclaim stops gets to save, in seconds; 0 if the task has no checkpoints. */
export function saveGraceS(spec: { readonly checkpointS: number; readonly saveS: number }): number {
  return spec.checkpointS > 0 ? spec.saveS * SAVE_GRACE_FACTOR : 0;
}

/**
 * Time limit of a reclaim, in milliseconds. After it the reclaim is withdrawn in any state, so that it does not reserve
 * capacity indefinitely. The limit allows for the victims to save and, after a failover of the partition, for the first
 * heartbeats of its machines.
 */
export function reclaimBoundMs(clusterConfig: ClusterConfig, longestGraceS: number): number {
  return clusterConfig.cancellationBoundMs + longestGraceS * 1000;
}

/** The leader removes a reclaim that is still in progress after this many times `reclaimBoundMs`. */
export const ABANDONED_BOUND_FACTOR = 2;
