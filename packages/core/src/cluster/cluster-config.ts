// What the platform's settings say of the cluster, and the bounds that follow from it. Every constant is a ratio to one of these.

export interface Team {
  readonly name: string;
  /** What is guaranteed; 0: no guarantee is counted in this kind. */
  readonly cpus: number;
  readonly gpus: number;
  /** What its tasks may use at most; 0: no limit is set on this kind. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** What the platform's settings say, in milliseconds wherever it is a time. Every constant is a ratio to one of these. */
export interface ClusterConfig {
  readonly controllerCount: number;
  readonly zones: readonly string[];
  readonly teams: ReadonlyMap<string, Team>;
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly cancellationBoundMs: number;
  readonly maxClockSkewMs: number;
  readonly cloudListLagMs: number;
}

/** DESIGN's grant lease: a machine silent for three report intervals is suspect. */
export const SUSPECT_INTERVALS = 3;

/** The protocol's bound on how far two steady clocks drift apart, for both of two clocks and rounded up. */
export const MAX_CLOCK_DRIFT = 0.001;

/** Slack for timers and for answers under way, on top of drift: a small part of a report interval. */
export function timerMarginMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.heartbeatIntervalMs / 5;
}

/** A worker whose report was answered at T has surely killed its tasks by T plus this. */
export function workerLeaseBoundMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

/**
 * How long after its last contact with the state service an owner may still answer workers. The worker's lease counts from
 * when it sent the report, before the answer: a margin for its timer is all that is left to allow for.
 */
export function maxAnswerContactAgeMs(clusterConfig: ClusterConfig): number {
  return (
    (clusterConfig.cancellationBoundMs - clusterConfig.workerLeaseMs) * (1 - MAX_CLOCK_DRIFT) -
    timerMarginMs(clusterConfig)
  );
}

/** How old a controller's view of the jobs may be for it to start tasks. */
export function maxGrantContactAgeMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.cancellationBoundMs / 10;
}
