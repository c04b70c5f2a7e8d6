// What operators set for borrowing, and the times that follow from the platform's settings.
import type { ClusterConfig } from '@gingerlock/core';

export interface BorrowingSettings {
  /** At most this share of the machines that are heard may have a reclaim under way at once; always one. */
  readonly maxShare: number;
}

export const BORROWING_DEFAULTS: BorrowingSettings = { maxShare: 0.25 };

/** A task that is stopped gets a little more than it says it needs for saving. */
const SAVE_SLACK = 1.25;

/** How long a task that is stopped by a reclaim gets to save; 0: it never saves. */
export function saveGraceS(spec: { readonly checkpointS: number; readonly saveS: number }): number {
  return spec.checkpointS > 0 ? spec.saveS * SAVE_SLACK : 0;
}

/**
 * After this time a reclaim is withdrawn, whatever has become of it: no room is kept for ever. Time for the victims to save, and for a
 * partition that changes hands to be heard anew.
 */
export function reclaimBoundMs(clusterConfig: ClusterConfig, longestGraceS: number): number {
  return clusterConfig.cancellationBoundMs + longestGraceS * 1000;
}

/** The leader withdraws a reclaim that its owner has left standing for so many times its bound. */
export const ABANDONED_BOUNDS = 2;
