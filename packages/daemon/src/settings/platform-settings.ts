// The platform's settings (DEPLOY): the schema of their file, and the mapping of its keys to the code's names.
import { type ClusterConfig, maxAnswerContactAgeMs } from '@gingerlock/core';
import type { PeerAddress } from '@gingerlock/peer';
import { type Static, Type } from '@sinclair/typebox';
import { checkSettings, SettingsError } from './settings-error';
import { maxTasksInMemory } from './task-memory';

const Address = Type.String({ pattern: '^[^\\s:]+:[0-9]{1,5}$' });
const Positive = Type.Number({ exclusiveMinimum: 0 });
const Amount = Type.Number({ minimum: 0 });

/** Limits of the key-value store. A failover changes three keys in one transaction. */
const StoreLimits = {
  rps: Positive,
  write_rps: Positive,
  value_kb: Positive,
  txn_ops: Type.Integer({ minimum: 3 }),
};

const PlatformFile = Type.Object({
  node: Type.String({ minLength: 1, maxLength: 64 }),
  area: Type.String(),
  client_listen: Address,
  cluster_listen: Address,
  peers: Type.Array(Type.Object({ node: Type.String({ minLength: 1 }), area: Type.String(), address: Address })),
  services: Type.Object({ cloud: Address, state: Address }),
  facts: Type.Object({
    count: Type.Integer({ minimum: 1, maximum: 1000 }),
    zones: Type.Array(Type.String({ minLength: 1 }), { minItems: 1 }),
    teams: Type.Array(
      Type.Object({ name: Type.String(), cpus: Amount, cpus_max: Amount, gpus: Amount, gpus_max: Amount }),
    ),
    workers: Type.Object({ report_s: Positive, lease_s: Positive, cancel_s: Positive }),
    state: Type.Object({
      ...StoreLimits,
      next: Type.Optional(Type.Union([Type.Null(), Type.Partial(Type.Object(StoreLimits))])),
    }),
    cloud: Type.Object({ rps: Positive, list_lag_s: Amount }),
    machine_limits: Type.Object({ sockets: Type.Integer({ minimum: 16 }), ram_mb: Type.Optional(Positive) }),
    skew_ms: Amount,
    objectives: Type.Optional(Type.Array(Type.Unknown())),
  }),
});

/** Content of the platform's settings file. */
export type PlatformFile = Static<typeof PlatformFile>;

/** The platform's settings of this controller and its environment; addresses are `HOST:PORT`. */
export interface PlatformSettings {
  /** The name of this controller. */
  readonly node: string;
  /** The zone of this controller. */
  readonly zone: string;
  /** Address at which this controller listens for users and workers. */
  readonly clientListen: string;
  /** Address at which this controller listens for the other controllers. */
  readonly peerListen: string;
  /** The other controllers. */
  readonly peers: readonly (PeerAddress & { readonly zone: string })[];
  /** Address of the cloud's API. */
  readonly cloud: string;
  /** Address of the key-value store. */
  readonly state: string;
  /**
   * Requests to the key-value store per second. This and the other limits of the store hold for all controllers
   * together. Each is the smaller one of the current limit and the limit under `next`, which starts at an unknown time.
   */
  readonly storeRequestsPerS: number;
  /** Changes of keys in the store per second; see `storeRequestsPerS`. */
  readonly storeWritesPerS: number;
  /** Largest value in the store, in bytes of its JSON form; see `storeRequestsPerS`. */
  readonly valueBytes: number;
  /** Largest number of conditions and changes in one transaction; see `storeRequestsPerS`. */
  readonly maxTransactionOps: number;
  /** Requests to the cloud per second. */
  readonly cloudRps: number;
  /** How many sockets this controller may have open. */
  readonly sockets: number;
  /** The settings that are the same for all controllers. */
  readonly clusterConfig: ClusterConfig;
}

/**
 * Checks the platform's settings against their schema.
 * @throws SettingsError naming the first invalid key
 */
export function checkPlatformFile(value: unknown): PlatformFile {
  return checkSettings(PlatformFile, value, 'settings');
}

/**
 * Maps the platform's settings to the code's names. `heapBytes`: the limit of this process's heap.
 * @throws SettingsError if the times of `facts.workers` leave no safe bound; see `checkAnswerBound`
 */
export function platformSettingsOf(file: PlatformFile, heapBytes: number): PlatformSettings {
  const { facts } = file;
  const clusterConfig = clusterConfigOf(facts, heapBytes);
  checkAnswerBound(clusterConfig);
  return {
    node: file.node,
    zone: file.area,
    clientListen: file.client_listen,
    peerListen: file.cluster_listen,
    peers: file.peers.map(({ node, area, address }) => ({ node, zone: area, address })),
    cloud: file.services.cloud,
    state: file.services.state,
    storeRequestsPerS: smallerLimit(facts.state, 'rps'),
    storeWritesPerS: smallerLimit(facts.state, 'write_rps'),
    valueBytes: smallerLimit(facts.state, 'value_kb') * 1024,
    maxTransactionOps: smallerLimit(facts.state, 'txn_ops'),
    cloudRps: facts.cloud.rps,
    sockets: facts.machine_limits.sockets,
    clusterConfig,
  };
}

function clusterConfigOf(facts: PlatformFile['facts'], heapBytes: number): ClusterConfig {
  const { count, zones, teams, workers, skew_ms, cloud, machine_limits } = facts;
  return {
    controllerCount: count,
    zones,
    teams: new Map(
      teams.map(({ name, cpus, gpus, cpus_max, gpus_max }) => [
        name,
        { name, cpus, gpus, cpusMax: cpus_max, gpusMax: gpus_max },
      ]),
    ),
    heartbeatIntervalMs: workers.report_s * 1000,
    workerLeaseMs: workers.lease_s * 1000,
    cancellationBoundMs: workers.cancel_s * 1000,
    maxClockSkewMs: skew_ms,
    cloudListLagMs: cloud.list_lag_s * 1000,
    maxAssignedTasks: maxTasksInMemory(heapBytes, machine_limits.ram_mb),
  };
}

function smallerLimit(state: PlatformFile['facts']['state'], limit: keyof typeof StoreLimits): number {
  return Math.min(state[limit], state.next?.[limit] ?? Infinity);
}

/**
 * Checks how long an owner without contact to the key-value store may answer workers: from the end of a worker lease to
 * the latest end of cancelled tasks. If that were no longer than a heartbeat interval, owners would refuse healthy
 * workers between two reads of the store.
 */
function checkAnswerBound(clusterConfig: ClusterConfig): void {
  if (maxAnswerContactAgeMs(clusterConfig) > clusterConfig.heartbeatIntervalMs) return;
  throw new SettingsError(
    'settings: facts.workers.cancel_s, facts.workers.lease_s, facts.workers.report_s: ' +
      'cancel_s must be longer than lease_s by more than 1.2 report_s',
  );
}

/** Returns the classes of jobs in the platform's objectives, or null if these name none: the classes are unknown. */
export function knownClassesOf({ facts }: PlatformFile): ReadonlySet<string> | null {
  const names = (facts.objectives ?? []).flatMap((objective) => {
    const name: unknown = (objective as { readonly class?: unknown } | null)?.class;
    return typeof name === 'string' ? [name] : [];
  });
  return names.length === 0 ? null : new Set(names);
}
