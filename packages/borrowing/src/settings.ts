// The operators' settings of borrowing, and the times that follow from the platform's settings.
import type { ClusterConfig } from '@gingerlock/core';

/** What operators set for borrowing. */
export interface BorrowingSettings {
  /** The share of the machines that may have a reclaim in progress at once; one machine always may. */
  readonly maxShare: number;
}

/** What holds for settings that are left out. */
export const BORROWING_DEFAULTS: BorrowingSettings = { maxShare: 0.25 };

/** A stopped task gets this many times what it says it needs for saving. */
const SAVE_GRACE_FACTOR = 1.25;

/** How long a task that a reclaim stops gets to save, in seconds; 0: it never saves. */
export function saveGraceS(spec: { readonly checkpointS: number; readonly saveS: number }): number {
  return spec.checkpointS > 0 ? spec.saveS * SAVE_GRACE_FACTOR : 0;
}

/**
 * The longest that a reclaim may take, in milliseconds; then it is withdrawn, whatever its state, so that no capacity
 * is reserved for ever. It covers the saving of the victims and, after a failover of the partition, the first
 * heartbeats of its machines.
 */
export function reclaimBoundMs(clusterConfig: ClusterConfig, longestGraceS: number): number {
  return clusterConfig.cancellationBoundMs + longestGraceS * 1000;
}

/** The leader withdraws a reclaim that its owner has left in progress for this many times `reclaimBoundMs`. */
export const ABANDONED_BOUNDS = 2;
