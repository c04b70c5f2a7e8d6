/**
 * Durations of store leases and acquisitions, and how long a controller leaves a resource to those before it in the
 * acquisition order. All are proportional to the settings.
 */
import type { ClusterConfig } from '../cluster/cluster-config';

/**
 * Returns how long a store lease lasts without renewal, in milliseconds. It is short because the workers of a failed
 * controller have to find the next owner within their own lease, several attempts included, and because tasks that wait
 * in its partitions are delayed that long.
 */
export function storeLeaseMs(clusterConfig: ClusterConfig): number {
  return Math.min(clusterConfig.heartbeatIntervalMs * 2.5, clusterConfig.workerLeaseMs / 4);
}

/**
 * Returns how long an acquisition may take for the time written with it to bound when it was carried out, in
 * milliseconds. The bound is longer than necessary, which extends the fencing period: a zone that was cut off may be
 * connected again by its end, and its tasks then continue where their images are.
 */
export function acquisitionBoundMs(clusterConfig: ClusterConfig): number {
  return Math.max(storeLeaseMs(clusterConfig), clusterConfig.heartbeatIntervalMs);
}

/**
 * Heartbeat intervals for which this controller leaves a resource to each controller before it in the acquisition
 * order, by what is known of that controller.
 */
export const ACQUISITION_DELAY = {
  /** The controller answers, and will see within one read that the resource is free. */
  alive: 1 / 3,
  /** The controller has answered before but is silent now. */
  silent: 0,
  /** The controller has not answered since this process started: it may be starting, too. */
  unknown: 1,
  /** Added once if the workers of the partition could not reach this controller. */
  cutOff: 4,
} as const;
