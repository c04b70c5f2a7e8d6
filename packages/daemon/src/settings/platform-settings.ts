// The platform's settings (DEPLOY): the schema of their file, and the mapping of its keys to the code's names.
import { type ClusterConfig, maxAnswerContactAgeMs } from '@gingerlock/core';
import type { PeerAddress } from '@gingerlock/peer';
import { type Static, Type } from '@sinclair/typebox';
import { checkSettings, SettingsError } from './settings-error';

const Address = Type.String({ pattern: '^[^\\s:]+:[0-9]{1,5}$' });
const Positive = Type.Number({ exclusiveMinimum: 0 });
const Amount = Type.Number({ minimum: 0 });

/** Limits of the key-value store. A failover of an ownership changes three keys at once. */
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
    machine_limits: Type.Object({ sockets: Type.Integer({ minimum: 16 }) }),
    skew_ms: Amount,
    objectives: Type.Optional(Type.Array(Type.Unknown())),
  }),
});

/** The platform's settings as their file has them. */
export type PlatformFile = Static<typeof PlatformFile>;

/** What the platform says of this controller and its surroundings; addresses are `HOST:PORT`. */
export interface PlatformSettings {
  /** The name of this controller. */
  readonly node: string;
  /** The zone of this controller. */
  readonly zone: string;
  /** Where users and workers connect. */
  readonly clientListen: string;
  /** Where the other controllers connect. */
  readonly peerListen: string;
  /** The other controllers. */
  readonly peers: readonly (PeerAddress & { readonly zone: string })[];
  /** The cloud's API. */
  readonly cloud: string;
  /** The key-value store. */
  readonly state: string;
  /**
   * Limits of the key-value store for all controllers together, each the smaller one of the limit that holds now and
   * the one announced under `next`, whose start is not announced. This one: requests per second.
   */
  readonly storeRequestsPerS: number;
  /** Changes of keys per second; as above. */
  readonly storeWritesPerS: number;
  /** Largest value, in bytes of its JSON form; as above. */
  readonly valueBytes: number;
  /** Most conditions and changes of one transaction; as above. */
  readonly maxTransactionOps: number;
  /** Requests to the cloud per second. */
  readonly cloudRps: number;
  /** How many sockets this controller may have open. */
  readonly sockets: number;
  /** What is the same for all controllers. */
  readonly clusterConfig: ClusterConfig;
}

/**
 * Checks the form of the platform's settings.
 * @throws SettingsError naming the first key that is wrong
 */
export function checkPlatformFile(value: unknown): PlatformFile {
  return checkSettings(PlatformFile, value, 'settings');
}

/**
 * Maps the platform's settings to the code's names.
 * @throws SettingsError if their times leave controllers no safe bound; see `checkAnswerBound`
 */
export function platformSettingsOf(file: PlatformFile): PlatformSettings {
  const { facts } = file;
  const clusterConfig = clusterConfigOf(facts);
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

function clusterConfigOf({ count, zones, teams, workers, skew_ms, cloud }: PlatformFile['facts']): ClusterConfig {
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
  };
}

function smallerLimit(state: PlatformFile['facts']['state'], limit: keyof typeof StoreLimits): number {
  return Math.min(state[limit], state.next?.[limit] ?? Infinity);
}

/**
 * Between the end of a worker's lease and the latest end of cancelled tasks an owner without the key-value store may
 * answer workers. If that is no longer than a heartbeat interval, owners would refuse healthy workers between two
 * reads.
 */
function checkAnswerBound(clusterConfig: ClusterConfig): void {
  if (maxAnswerContactAgeMs(clusterConfig) > clusterConfig.heartbeatIntervalMs) return;
  throw new SettingsError(
    'settings: facts.workers.cancel_s, facts.workers.lease_s, facts.workers.report_s: ' +
      'cancel_s must be longer than lease_s by more than 1.2 report_s',
  );
}

/** The classes of jobs that the platform's objectives name; null: they name none, so the classes are not known. */
export function knownClassesOf({ facts }: PlatformFile): ReadonlySet<string> | null {
  const names = (facts.objectives ?? []).flatMap((objective) => {
    const name: unknown = (objective as { readonly class?: unknown } | null)?.class;
    return typeof name === 'string' ? [name] : [];
  });
  return names.length === 0 ? null : new Set(names);
}
