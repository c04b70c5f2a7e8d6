// The cluster's configuration from the platform's settings, and the bounds derived from it.

/** A team with its guarantees and limits. */
export interface Team {
  readonly name: string;
  /** Guaranteed CPUs; 0 if none. */
  readonly cpus: number;
  /** Guaranteed GPUs; 0 if none. */
  readonly gpus: number;
  /** Maximum CPUs that its tasks may use; 0 if unlimited. */
  readonly cpusMax: number;
  /** Maximum GPUs that its tasks may use; 0 if unlimited. */
  readonly gpusMax: number;
}

/** The cluster's settings, with times in milliseconds. Every bound in the code is derived from one of these. */
export interface ClusterConfig {
  readonly controllerCount: number;
  readonly zones: readonly string[];
  /** Teams by name. */
  readonly teams: ReadonlyMap<string, Team>;
  /** How often a worker sends a heartbeat. */
  readonly heartbeatIntervalMs: number;
  /** A worker kills its tasks if it sent the last answered heartbeat longer ago than this. */
  readonly workerLeaseMs: number;
  /** The tasks of a cancelled job have to end within this time. */
  readonly cancellationBoundMs: number;
  /** Maximum difference between the wall clocks of two hosts. */
  readonly maxClockSkewMs: number;
  /** Usual lag of the cloud's list of machines; sometimes it lags by up to twice this. */
  readonly cloudListLagMs: number;
  /**
   * Maximum number of unfinished tasks that are assigned at a time, since any one controller may have to keep all of
   * them in memory; see `TaskBudget`. Infinity if the memory of controllers is not known.
   */
  readonly maxAssignedTasks: number;
}

/** A machine that has been silent for this many heartbeat intervals is suspect (the grant lease in DESIGN). */
export const SUSPECT_INTERVALS = 3;

/** Maximum drift between two steady clocks, as a share of the time: twice PROTOCOL's bound per clock, rounded up. */
export const MAX_CLOCK_DRIFT = 0.001;

/** Margin for timers and for answers in flight, in addition to clock drift, in milliseconds. */
export function timerMarginMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.heartbeatIntervalMs / 5;
}

/** Time after the answer to its last heartbeat by which a worker has certainly killed its tasks, in milliseconds. */
export function workerLeaseBoundMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

/**
 * How long after its last contact with the key-value store an owner may still answer workers, in milliseconds. The
 * worker lease starts when the worker sends the heartbeat, which is before the answer, so only clock drift and a timer
 * margin are deducted.
 */
export function maxAnswerContactAgeMs(clusterConfig: ClusterConfig): number {
  return (
    (clusterConfig.cancellationBoundMs - clusterConfig.workerLeaseMs) * (1 - MAX_CLOCK_DRIFT) -
    timerMarginMs(clusterConfig)
  );
}

/** Maximum age of a controller's view of the jobs at which it may still start tasks, in milliseconds. */
export function maxGrantContactAgeMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.cancellationBoundMs / 10;
}
