// The operators' settings of replica groups, and the times that follow from the platform's settings. Times are in
// milliseconds.
import { bootMsOf, MAX_CLOCK_DRIFT, type ClusterConfig, hashName, timerMarginMs } from '@gingerlock/core';
import type { JobSpec, MachineType } from '@gingerlock/wire';

/** What operators set for replica groups. */
export interface ReplicaGroupSettings {
  /** Services of these classes are replica groups: their tasks run all together or not at all. */
  readonly classes: ReadonlySet<string>;
  /**
   * Time limit for reserving resources for all members, in heartbeat intervals, besides what preempted tasks need for
   * saving.
   */
  readonly holdReports: number;
  /** Time limit for starting all members, in fetches of their image, besides `holdReports`. */
  readonly startFetches: number;
  /** Backoff after a failed generation, in heartbeat intervals; it doubles with each further one. */
  readonly backoffReports: number;
  /** How long a member may serve without asking again, as a share of a worker's lease. */
  readonly serveLeaseShare: number;
}

/** What holds for settings that are left out. */
export const REPLICA_GROUP_DEFAULTS: Omit<ReplicaGroupSettings, 'classes'> = {
  holdReports: 8,
  startFetches: 4,
  backoffReports: 4,
  serveLeaseShare: 0.5,
};

/** How often the backoff doubles at most. */
const MAX_DOUBLINGS = 4;

/** A generation that has served for this many worker leases has not failed, whatever ends it. */
const STABLE_LEASES = 3;

/** A machine that is silent for this share of a worker's lease counts as hung, but not before `HUNG_HEARTBEATS`. */
const HUNG_LEASES = 0.5;

/** The fewest heartbeat intervals after which a silent machine counts as hung. */
const HUNG_HEARTBEATS = 3;

/**
 * While a group waits for capacity, what it finds is kept from the jobs after it in windows of this many boots of the
 * slowest machine type, with pauses of the same length between them.
 */
const HOLD_WINDOW_BOOTS = 2;

/** How long a fetch is assumed to take on a machine type whose fetch rate is unknown. */
const UNKNOWN_FETCH_MS = 60_000;

/** Whether the tasks of the job are the members of a replica group. */
export function isGroupSpec(settings: ReplicaGroupSettings | null, spec: JobSpec): boolean {
  return settings !== null && spec.kind === 'service' && settings.classes.has(spec.jobClass);
}

/**
 * The longest that a group may be reserved without all owners reporting its members as held; then the generation ends.
 */
export function holdBoundMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  longestSaveS: number,
): number {
  return settings.holdReports * clusterConfig.heartbeatIntervalMs + longestSaveS * 1000;
}

/** The longest that a group may be admitted without all members running; then the generation ends. */
export function startBoundMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  spec: JobSpec,
  types: ReadonlyMap<string, MachineType>,
): number {
  return settings.holdReports * clusterConfig.heartbeatIntervalMs + settings.startFetches * slowestFetchMs(spec, types);
}

function slowestFetchMs({ imageGb }: JobSpec, types: ReadonlyMap<string, MachineType>): number {
  const times = [...types.values()].map(({ fetchGbPerS }) =>
    fetchGbPerS > 0 ? (imageGb / fetchGbPerS) * 1000 : UNKNOWN_FETCH_MS,
  );
  return Math.max(0, ...times);
}

/** How long a member may serve, from when it sent its rendezvous request. */
export function serveLeaseMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * settings.serveLeaseShare;
}

/**
 * The time after which members that sent their last request before a moment have surely stopped serving, by another
 * machine's clock.
 */
export function serveLeaseBoundMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return serveLeaseMs(settings, clusterConfig) * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

/** A generation that has served for this long has not failed, whatever ends it. */
export function stableMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * STABLE_LEASES;
}

/** The longest backoff after any number of failed generations. */
export function longestBackoffMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return settings.backoffReports * clusterConfig.heartbeatIntervalMs * 2 ** MAX_DOUBLINGS;
}

/**
 * The backoff before the next generation: none after one that was stable, otherwise growing with the failures in a row
 * and with a jitter that differs between groups and generations.
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
    settings.backoffReports * clusterConfig.heartbeatIntervalMs * 2 ** Math.min(failures - 1, MAX_DOUBLINGS);
  const jitter = hashName(`${job}/${generation}`) / 2 ** 32;
  return longest * (0.5 + 0.5 * jitter);
}

/** A machine that is silent for longer than this counts as hung. */
export function hungMs(clusterConfig: ClusterConfig): number {
  return Math.max(clusterConfig.workerLeaseMs * HUNG_LEASES, clusterConfig.heartbeatIntervalMs * HUNG_HEARTBEATS);
}

/** Whether a group that has waited for this long keeps what capacity it finds from the jobs after it. */
export function holdsPartialCapacity(waitedMs: number, types: ReadonlyMap<string, MachineType>): boolean {
  const windowMs = HOLD_WINDOW_BOOTS * Math.max(0, ...[...types.values()].map(bootMsOf));
  return windowMs > 0 && Math.floor(waitedMs / windowMs) % 2 === 1;
}
