// What the platform's settings say of the cluster, and the bounds that follow from them.

/** A team with its guarantee and its limit. */
export interface Team {
  readonly name: string;
  /** CPUs that are guaranteed; 0: none are. */
  readonly cpus: number;
  /** GPUs that are guaranteed; 0: none are. */
  readonly gpus: number;
  /** CPUs that its tasks may use at most; 0: there is no limit. */
  readonly cpusMax: number;
  /** GPUs that its tasks may use at most; 0: there is no limit. */
  readonly gpusMax: number;
}

/** What the platform's settings say, times in milliseconds. Every bound in the code is a ratio to one of these. */
export interface ClusterConfig {
  readonly controllerCount: number;
  readonly zones: readonly string[];
  /** By name. */
  readonly teams: ReadonlyMap<string, Team>;
  /** How often a worker sends a heartbeat. */
  readonly heartbeatIntervalMs: number;
  /** A worker kills its tasks once the last heartbeat that was answered was sent longer ago than this. */
  readonly workerLeaseMs: number;
  /** The tasks of a cancelled job have to be gone within this time. */
  readonly cancellationBoundMs: number;
  /** How far the wall clocks of two hosts may differ. */
  readonly maxClockSkewMs: number;
  /** How far the cloud's list of machines usually lags behind; at times it is up to twice this. */
  readonly cloudListLagMs: number;
}

/** A machine that has been silent for so many heartbeat intervals is suspect: DESIGN's grant lease. */
export const SUSPECT_INTERVALS = 3;

/**
 * How far two steady clocks drift apart at most, as a share of the time: PROTOCOL's bound for each of both, rounded
 * up.
 */
export const MAX_CLOCK_DRIFT = 0.001;

/**
 * Slack for timers and for answers under way, on top of drift, in milliseconds: a small part of a heartbeat interval.
 */
export function timerMarginMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.heartbeatIntervalMs / 5;
}

/** How long after the answer to its last heartbeat a worker has certainly killed its tasks, in milliseconds. */
export function workerLeaseBoundMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

/**
 * How long after its last contact with the key-value store an owner may still answer workers, in milliseconds. The
 * worker's lease counts from when it sent the heartbeat, before the answer: a margin for its timer is all that is
 * left to allow for.
 */
export function maxAnswerContactAgeMs(clusterConfig: ClusterConfig): number {
  return (
    (clusterConfig.cancellationBoundMs - clusterConfig.workerLeaseMs) * (1 - MAX_CLOCK_DRIFT) -
    timerMarginMs(clusterConfig)
  );
}

/** How old a controller's view of the jobs may be for it to start tasks, in milliseconds. */
export function maxGrantContactAgeMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.cancellationBoundMs / 10;
}
