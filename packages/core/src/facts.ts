import type { JobSpec, MachineType } from '@gingerlock/wire';

export interface Team {
  readonly name: string;
  /** What is guaranteed; 0: no guarantee is counted in this kind. */
  readonly cpus: number;
  readonly gpus: number;
  /** What its tasks may use at most; 0: no limit is set on this kind. */
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** Whether nothing is guaranteed to the team: its work takes what others leave. */
export function hasNoGuarantee({ cpus, gpus }: Team): boolean {
  return cpus <= 0 && gpus <= 0;
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

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Sums of decimal amounts are compared with this much slack. */
const EPSILON = 1e-6;

export function fitsIn(need: Resources, available: Resources): boolean {
  return (
    need.cpus <= available.cpus + EPSILON &&
    need.gpus <= available.gpus + EPSILON &&
    need.memoryGb <= available.memoryGb + EPSILON
  );
}

export function addResources(a: Resources, b: Resources, factor = 1): Resources {
  return { cpus: a.cpus + b.cpus * factor, gpus: a.gpus + b.gpus * factor, memoryGb: a.memoryGb + b.memoryGb * factor };
}

export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** For so long a boot is thought to take where that is not known. */
const UNKNOWN_BOOT_MS = 60_000;

/** How long a machine of the type usually takes to come up. */
export function bootMsOf(type: MachineType | undefined): number {
  return type === undefined || type.bootS <= 0 ? UNKNOWN_BOOT_MS : type.bootS * 1000;
}

/** How many times `need` goes into `room`. */
export function countFitting(need: Resources, available: Resources): number {
  const ratio = (n: number, r: number): number => (n <= 0 ? Infinity : Math.floor((r + EPSILON) / n));
  return Math.max(
    0,
    Math.min(
      ratio(need.cpus, available.cpus),
      ratio(need.gpus, available.gpus),
      ratio(need.memoryGb, available.memoryGb),
    ),
  );
}

/** How many more tasks of this size a team's limit allows, given what it uses. */
export function countWithinLimit(team: Team, used: Resources, need: Resources): number {
  const left = (max: number, usedOf: number, needOf: number): number =>
    max <= 0 || needOf <= 0 ? Infinity : Math.floor((max - usedOf + EPSILON) / needOf);
  return Math.max(0, Math.min(left(team.cpusMax, used.cpus, need.cpus), left(team.gpusMax, used.gpus, need.gpus)));
}

/**
 * How many more tasks of this size fit into a team's guarantee, given what it uses. A kind of which nothing is guaranteed does not count;
 * a task that takes nothing of the others is within no guarantee.
 */
export function countWithinGuarantee(team: Team, used: Resources, need: Resources): number {
  const left = (guaranteed: number, usedOf: number, needOf: number): number =>
    guaranteed <= 0 || needOf <= 0 ? Infinity : Math.floor((guaranteed - usedOf + EPSILON) / needOf);
  const least = Math.min(left(team.cpus, used.cpus, need.cpus), left(team.gpus, used.gpus, need.gpus));
  return least === Infinity ? 0 : Math.max(0, least);
}

export function allowsMachine(job: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (job.types === null || job.types.includes(type)) && (job.zone === null || job.zone === zone) && (!spot || job.spot)
  );
}

/** Why a job can never run, or null if it can. */
export function unschedulableReason(
  job: JobSpec,
  clusterConfig: ClusterConfig,
  types: readonly MachineType[],
): string | null {
  const team = clusterConfig.teams.get(job.team);
  if (team === undefined) return `unknown team ${job.team}`;
  const fitting = types.filter(
    (t) =>
      (job.types === null || job.types.includes(t.name)) &&
      (job.zone === null || t.zones.includes(job.zone)) &&
      fitsIn(job, t),
  );
  if (fitting.length === 0) return 'a task fits no allowed machine type';
  const atOnce = job.kind === 'service' ? job.tasks : 1;
  if (countWithinLimit(team, NO_RESOURCES, job) < atOnce) return `needs more than the limit of team ${job.team}`;
  if (job.spread && job.tasks > 1 && (job.oneZone || job.zone !== null)) {
    return 'tasks can not be both in one zone and spread over zones';
  }
  return null;
}

/** A stable hash (FNV-1a) below 2^32. */
export function hashName(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  // The last bytes of names that count up differ least; mixing spreads them.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x2c1b3c6d);
  hash ^= hash >>> 12;
  return hash >>> 0;
}

/**
 * Which part each machine belongs to: by a hash of its name, among the parts that have their homes in its zone. A zone
 * that is cut off so has an owner inside that goes on answering. Where no part is at home, all share the machines.
 */
export class Partitioner {
  readonly #all: readonly number[];
  readonly #byZone = new Map<string, number[]>();

  constructor(
    readonly count: number,
    readonly zones: readonly string[] = [],
  ) {
    this.#all = Array.from({ length: count }, (_, partitionId) => partitionId);
    for (const partitionId of this.#all) {
      const zone = zones[partitionId];
      if (zone === undefined) continue;
      const partitionIds = this.#byZone.get(zone);
      if (partitionIds === undefined) this.#byZone.set(zone, [partitionId]);
      else partitionIds.push(partitionId);
    }
  }

  /** The parts that share the machines of a zone. */
  partitionsOf(zone: string): readonly number[] {
    return this.#byZone.get(zone) ?? this.#all;
  }

  partitionOf(machine: string, zone: string): number {
    const partitionIds = this.partitionsOf(zone);
    return partitionIds[hashName(machine) % partitionIds.length]!;
  }
}

/** What is left of `a` without `count` times `b`. */
export function subtractResources(a: Resources, b: Resources, count = 1): Resources {
  return { cpus: a.cpus - b.cpus * count, gpus: a.gpus - b.gpus * count, memoryGb: a.memoryGb - b.memoryGb * count };
}
