// The operators' settings for replica groups, and the times derived from the platform's settings. All times are in
// milliseconds.
import { bootMsOf, MAX_CLOCK_DRIFT, type ClusterConfig, hashName, timerMarginMs } from '@gingerlock/core';
import type { JobSpec, MachineType } from '@gingerlock/wire';

/** Settings of replica groups that operators may change. */
export interface ReplicaGroupSettings {
  /** Services of these classes are replica groups: their tasks run all together or not at all. */
  readonly classes: ReadonlySet<string>;
  /**
   * Time limit for reserving resources for all members, in heartbeat intervals, in addition to the time that preempted
   * tasks need to save.
   */
  readonly holdIntervals: number;
  /** Time limit for starting all members, in fetches of their image, in addition to `holdIntervals`. */
  readonly startFetches: number;
  /** Longest backoff after one failed generation, in heartbeat intervals; it doubles with each further failure. */
  readonly backoffIntervals: number;
  /** Length of a serve lease, which a member has to renew, as a share of a worker lease. */
  readonly serveLeaseShare: number;
}

/** The values of settings that are not set. */
export const REPLICA_GROUP_DEFAULTS: Omit<ReplicaGroupSettings, 'classes'> = {
  holdIntervals: 8,
  startFetches: 4,
  backoffIntervals: 4,
  serveLeaseShare: 0.5,
};

/** How often the backoff can double. */
const MAX_DOUBLINGS = 4;

/** A generation that has served for this many worker leases does not count as failed when it ends. */
const STABLE_LEASES = 3;

/** A silent machine counts as hung after this share of a worker lease, but not before `HUNG_HEARTBEATS`. */
const HUNG_LEASES = 0.5;

/** A silent machine does not count as hung within this many heartbeat intervals. */
const HUNG_HEARTBEATS = 3;

/**
 * A group that waits for capacity holds back what it finds from the jobs after it in windows of this many boots of the
 * slowest machine type, with pauses of the same length before each.
 */
const HOLD_WINDOW_BOOTS = 2;

/** The assumed time of a fetch on a machine type whose fetch rate is unknown. */
const UNKNOWN_FETCH_MS = 60_000;

/** Whether the tasks of the job are the members of a replica group. */
export function isGroupSpec(settings: ReplicaGroupSettings | null, spec: JobSpec): boolean {
  return settings !== null && spec.kind === 'service' && settings.classes.has(spec.jobClass);
}

/** Time limit for a reserved group until owners report all members as held; after it the generation ends. */
export function holdBoundMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  longestSaveS: number,
): number {
  return settings.holdIntervals * clusterConfig.heartbeatIntervalMs + longestSaveS * 1000;
}

/** Time limit for an admitted group until all members run; after it the generation ends. */
export function startBoundMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  spec: JobSpec,
  types: ReadonlyMap<string, MachineType>,
): number {
  return (
    settings.holdIntervals * clusterConfig.heartbeatIntervalMs + settings.startFetches * slowestFetchMs(spec, types)
  );
}

function slowestFetchMs({ imageGb }: JobSpec, types: ReadonlyMap<string, MachineType>): number {
  const times = [...types.values()].map(({ fetchGbPerS }) =>
    fetchGbPerS > 0 ? (imageGb / fetchGbPerS) * 1000 : UNKNOWN_FETCH_MS,
  );
  return Math.max(0, ...times);
}

/** The length of a serve lease, which begins when the member sends its rendezvous request. */
export function serveLeaseMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * settings.serveLeaseShare;
}

/** The time after its request at which a serve lease has surely expired, by the clock of another machine. */
export function serveLeaseBoundMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return serveLeaseMs(settings, clusterConfig) * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

/** A generation that has served for this long does not count as failed when it ends. */
export function stableMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * STABLE_LEASES;
}

/** The longest backoff, for any number of failed generations. */
export function longestBackoffMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return settings.backoffIntervals * clusterConfig.heartbeatIntervalMs * 2 ** MAX_DOUBLINGS;
}

/**
 * The backoff before the next generation: 0 without failures, otherwise it grows with the failures in a row and has a
 * jitter that differs between groups and generations.
 */
export function backoffMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  job: string,
  generation: number,
  failures: number,
): number {
  if (failures === 0) return 0;
  const longest =
    settings.backoffIntervals * clusterConfig.heartbeatIntervalMs * 2 ** Math.min(failures - 1, MAX_DOUBLINGS);
  const jitter = hashName(`${job}/${generation}`) / 2 ** 32;
  return longest * (0.5 + 0.5 * jitter);
}

/** A silent machine counts as hung after this time. */
export function hungMs(clusterConfig: ClusterConfig): number {
  return Math.max(clusterConfig.workerLeaseMs * HUNG_LEASES, clusterConfig.heartbeatIntervalMs * HUNG_HEARTBEATS);
}

/** Whether a group that has waited for this long holds back the capacity that it finds from the jobs after it. */
export function holdsPartialCapacity(waitedMs: number, types: ReadonlyMap<string, MachineType>): boolean {
  const windowMs = HOLD_WINDOW_BOOTS * Math.max(0, ...[...types.values()].map(bootMsOf));
  return windowMs > 0 && Math.floor(waitedMs / windowMs) % 2 === 1;
}
