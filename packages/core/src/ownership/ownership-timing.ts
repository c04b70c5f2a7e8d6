// How long leases in the state service, takeovers and the order of those who take over last. All are ratios to the settings.
import type { ClusterConfig } from '../cluster/cluster-config';

/**
 * How long a state lease of a controller lasts without renewal. Its workers have to find the next owner within their own
 * lease, several tries included, and what waits in its partitions waits for that long.
 */
export function stateLeaseMs(clusterConfig: ClusterConfig): number {
  return Math.min(clusterConfig.heartbeatIntervalMs * 2.5, clusterConfig.workerLeaseMs / 4);
}

/**
 * How long a takeover may be under way for the time written with it to bound when it happened. Rather longer than need be: a
 * zone that was cut off may be heard by the time its fencing period ends, and its tasks begin again where their images are.
 */
export function acquisitionBoundMs(clusterConfig: ClusterConfig): number {
  return Math.max(stateLeaseMs(clusterConfig), clusterConfig.heartbeatIntervalMs);
}

/** Report intervals to leave to each controller that comes before this one, by what is known of it. */
export const ACQUISITION_DELAY = {
  /** It will see the resource free within a read. */
  alive: 1 / 3,
  /** It was there and has fallen silent. */
  silent: 0,
  /** Not heard of since our start: it may be starting, too. */
  unknown: 1,
  /** Added for a controller that the workers of the partition could not reach. */
  cutOff: 4,
} as const;
