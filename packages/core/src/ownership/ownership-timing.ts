/**
 * How long leases in the key-value store and acquisitions last, and how long controllers leave a resource to those
 * before them. All are ratios to the settings.
 */
import type { ClusterConfig } from '../cluster/cluster-config';

/**
 * How long a controller's lease in the key-value store lasts without renewal. Its workers have to find the next owner
 * within their own lease, several attempts included, and tasks that wait in its partitions wait for that long.
 */
export function stateLeaseMs(clusterConfig: ClusterConfig): number {
  return Math.min(clusterConfig.heartbeatIntervalMs * 2.5, clusterConfig.workerLeaseMs / 4);
}

/**
 * How long an acquisition may be under way for the time written with it to bound when it was carried out. Rather longer
 * than need be: a zone that was cut off may be connected again by the time the fencing period ends, and its tasks then
 * go on where their images are.
 */
export function acquisitionBoundMs(clusterConfig: ClusterConfig): number {
  return Math.max(stateLeaseMs(clusterConfig), clusterConfig.heartbeatIntervalMs);
}

/**
 * For how many heartbeat intervals to leave a resource to each controller that comes before this one, by what is known
 * of it.
 */
export const ACQUISITION_DELAY = {
  /** It answers, and will see within one read that the resource is free. */
  alive: 1 / 3,
  /** It answered once and has fallen silent. */
  silent: 0,
  /** It has not answered since our start: it may be starting, too. */
  unknown: 1,
  /** Added for this controller itself if the workers of the partition could not reach it. */
  cutOff: 4,
} as const;
