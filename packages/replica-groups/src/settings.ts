// What operators set for replica groups, and the times that follow from the platform's settings. All times in milliseconds.
import { bootMsOf, MAX_CLOCK_DRIFT, type ClusterConfig, hashName, timerMarginMs } from '@gingerlock/core';
import type { JobSpec, MachineType } from '@gingerlock/wire';

export interface ReplicaGroupSettings {
  /** Services of these classes are replica groups: their tasks run all together or not at all. */
  readonly classes: ReadonlySet<string>;
  /** Owners have so many report intervals to keep the room for all members, on top of what stopped tasks need for saving. */
  readonly holdReports: number;
  /** Members have the time of so many usual fetches of their image to start, on top of `holdReports`. */
  readonly startFetches: number;
  /** The first pause after a generation that failed, in report intervals; it doubles with each further one. */
  readonly backoffReports: number;
  /** How long a member may serve without asking again, as a share of a worker's lease. */
  readonly serveLeaseShare: number;
}

export const REPLICA_GROUP_DEFAULTS: Omit<ReplicaGroupSettings, 'classes'> = {
  holdReports: 8,
  startFetches: 4,
  backoffReports: 4,
  serveLeaseShare: 0.5,
};

/** The pause doubles so many times at the most. */
const MOST_DOUBLINGS = 4;

/** A generation that served for so many worker leases has not failed, whatever ends it. */
const STABLE_LEASES = 3;

/** A machine that is silent for this share of a worker's lease counts as hung, if that is longer than it takes to be suspect. */
const HUNG_LEASES = 0.5;

/** While a group waits for room, what it finds is kept from jobs after it in windows of so many boots, with pauses as long between. */
const HOLD_WINDOW_BOOTS = 2;

/** Fetches take so long where neither type nor size says it. */
const UNKNOWN_FETCH_MS = 60_000;

/** Whether the tasks of the job are the members of a replica group. */
export function isGroupSpec(settings: ReplicaGroupSettings | null, spec: JobSpec): boolean {
  return settings !== null && spec.kind === 'service' && settings.classes.has(spec.jobClass);
}

/** After this time a reservation that is not held by all owners is withdrawn. */
export function holdBoundMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  longestSaveS: number,
): number {
  return settings.holdReports * clusterConfig.heartbeatIntervalMs + longestSaveS * 1000;
}

/** After this time members that were admitted and do not run are given up. */
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

/** For how long a member may serve, from when it sent its question. */
export function serveLeaseMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * settings.serveLeaseShare;
}

/** Members that asked before a moment have surely stopped serving so long after it, by the steady clock of another machine. */
export function serveLeaseBoundMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return serveLeaseMs(settings, clusterConfig) * (1 + MAX_CLOCK_DRIFT) + timerMarginMs(clusterConfig);
}

export function stableMs(clusterConfig: ClusterConfig): number {
  return clusterConfig.workerLeaseMs * STABLE_LEASES;
}

export function longestBackoffMs(settings: ReplicaGroupSettings, clusterConfig: ClusterConfig): number {
  return settings.backoffReports * clusterConfig.heartbeatIntervalMs * 2 ** MOST_DOUBLINGS;
}

/** The pause before the next generation: none after one that served, otherwise growing, and different for each group. */
export function backoffMs(
  settings: ReplicaGroupSettings,
  clusterConfig: ClusterConfig,
  job: string,
  generation: number,
  failures: number,
): number {
  if (failures === 0) return 0;
  const longest =
    settings.backoffReports * clusterConfig.heartbeatIntervalMs * 2 ** Math.min(failures - 1, MOST_DOUBLINGS);
  const jitter = hashName(`${job}/${generation}`) / 2 ** 32;
  return longest * (0.5 + 0.5 * jitter);
}

export function hungMs(clusterConfig: ClusterConfig): number {
  return Math.max(clusterConfig.workerLeaseMs * HUNG_LEASES, clusterConfig.heartbeatIntervalMs * 3);
}

/** Whether a group that has waited for so long keeps what it finds from the jobs after it. */
export function holdsPartialCapacity(waitedMs: number, types: ReadonlyMap<string, MachineType>): boolean {
  const windowMs = HOLD_WINDOW_BOOTS * Math.max(0, ...[...types.values()].map(bootMsOf));
  return windowMs > 0 && Math.floor(waitedMs / windowMs) % 2 === 1;
}
