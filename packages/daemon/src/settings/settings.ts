import { readFileSync } from 'node:fs';
import { type Static, type TSchema, Type } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { maxAnswerContactAgeMs, type ClusterConfig } from '@gingerlock/core';
import type { PeerAddress } from '@gingerlock/peer';
import { parse as parseYaml } from 'yaml';
import { type Features, FeaturesFile, featuresOf, unfitClasses, unfitForBorrowing } from './features';

/** Settings that can not be used; the command ends with exit code 2. */
export class SettingsError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'SettingsError';
  }
}

const Address = Type.String({ pattern: '^[^\\s:]+:[0-9]{1,5}$' });
const Positive = Type.Number({ exclusiveMinimum: 0 });
const Amount = Type.Number({ minimum: 0 });

/** Limits of the state service. A takeover changes three keys at once. */
const StateLimits = {
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
      ...StateLimits,
      next: Type.Optional(Type.Union([Type.Null(), Type.Partial(Type.Object(StateLimits))])),
    }),
    cloud: Type.Object({ rps: Positive, list_lag_s: Amount }),
    machine_limits: Type.Object({ sockets: Type.Integer({ minimum: 16 }) }),
    skew_ms: Amount,
    objectives: Type.Optional(Type.Array(Type.Unknown())),
  }),
});

type PlatformFacts = Static<typeof PlatformFile>['facts'];

/** The operators' own settings: every key may be left out. */
const OperatorsFile = Type.Object(
  {
    headroom: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
    max_ordinary_machines: Type.Optional(Type.Integer({ minimum: 0 })),
    max_spot_machines: Type.Optional(Type.Integer({ minimum: 0 })),
  },
  { additionalProperties: false },
);

export interface OperatorSettings {
  /** Free room kept on ordinary machines, as a share of what is in use. */
  readonly headroom: number;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
}

export const OPERATOR_DEFAULTS: OperatorSettings = {
  headroom: 0.1,
  maxOrdinaryMachines: Infinity,
  maxSpotMachines: Infinity,
};

export interface Settings {
  readonly node: string;
  readonly zone: string;
  readonly clientListen: string;
  readonly peerListen: string;
  readonly peers: readonly (PeerAddress & { readonly zone: string })[];
  readonly cloud: string;
  readonly state: string;
  /** Limits of the state service: the smaller of those that it has and those that it will have, which come unannounced. */
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly sockets: number;
  readonly clusterConfig: ClusterConfig;
  readonly operators: OperatorSettings;
  readonly features: Features;
}

function check<T extends TSchema>(schema: T, value: unknown, what: string): Static<T> {
  if (Value.Check(schema, value)) return value;
  const error = Value.Errors(schema, value).First();
  const path = error?.path.slice(1).replaceAll('/', '.') ?? '';
  throw new SettingsError(`${what}: ${path === '' ? 'the whole' : path}: ${error?.message ?? 'invalid'}`);
}

/** The classes that the platform's objectives name; null: they name none, so nothing is known of classes. */
function classesOf(objectives: readonly unknown[]): ReadonlySet<string> | null {
  const names = objectives.flatMap((objective) => {
    const name: unknown = (objective as { readonly class?: unknown } | null)?.class;
    return typeof name === 'string' ? [name] : [];
  });
  return names.length === 0 ? null : new Set(names);
}

function checkFeatures(value: unknown, { teams, objectives }: PlatformFacts): Features {
  const file = check(FeaturesFile, value ?? {}, 'features');
  const features = featuresOf(file);
  const declared = features.replicaGroups === null ? [] : file.replica_groups!.classes;
  const wrongClass = unfitClasses(declared, classesOf(objectives ?? []));
  if (wrongClass !== null) throw new SettingsError(`features: ${wrongClass}`);
  const unfit = features.borrowing === null ? null : unfitForBorrowing(teams);
  if (unfit !== null) throw new SettingsError(`settings: ${unfit}, which borrowing can not work with`);
  return features;
}

/**
 * Between the end of a worker's lease and the latest end of cancelled tasks an owner without the state service may answer
 * workers. If that is no longer than a report interval, owners would refuse healthy workers between two reads.
 */
function checkAnswerBound(clusterConfig: ClusterConfig): void {
  if (maxAnswerContactAgeMs(clusterConfig) > clusterConfig.heartbeatIntervalMs) return;
  throw new SettingsError(
    'settings: facts.workers.cancel_s, facts.workers.lease_s, facts.workers.report_s: cancel_s must be longer than lease_s by more than 1.2 report_s',
  );
}

export function settingsOf(platform: unknown, operators: unknown, features: unknown = {}): Settings {
  const p = check(PlatformFile, platform, 'settings');
  const o = check(OperatorsFile, operators ?? {}, "operators' settings");
  const f = p.facts;
  const clusterConfig: ClusterConfig = {
    controllerCount: f.count,
    zones: f.zones,
    teams: new Map(
      f.teams.map((t) => [
        t.name,
        { name: t.name, cpus: t.cpus, gpus: t.gpus, cpusMax: t.cpus_max, gpusMax: t.gpus_max },
      ]),
    ),
    heartbeatIntervalMs: f.workers.report_s * 1000,
    workerLeaseMs: f.workers.lease_s * 1000,
    cancellationBoundMs: f.workers.cancel_s * 1000,
    maxClockSkewMs: f.skew_ms,
    cloudListLagMs: f.cloud.list_lag_s * 1000,
  };
  checkAnswerBound(clusterConfig);
  const smaller = (limit: keyof typeof StateLimits): number =>
    Math.min(f.state[limit], f.state.next?.[limit] ?? Infinity);
  return {
    node: p.node,
    zone: p.area,
    clientListen: p.client_listen,
    peerListen: p.cluster_listen,
    peers: p.peers.map((peer) => ({ node: peer.node, zone: peer.area, address: peer.address })),
    cloud: p.services.cloud,
    state: p.services.state,
    stateRps: smaller('rps'),
    stateWriteRps: smaller('write_rps'),
    valueBytes: smaller('value_kb') * 1024,
    txnOps: smaller('txn_ops'),
    cloudRps: f.cloud.rps,
    sockets: f.machine_limits.sockets,
    clusterConfig,
    operators: {
      headroom: o.headroom ?? OPERATOR_DEFAULTS.headroom,
      maxOrdinaryMachines: o.max_ordinary_machines ?? OPERATOR_DEFAULTS.maxOrdinaryMachines,
      maxSpotMachines: o.max_spot_machines ?? OPERATOR_DEFAULTS.maxSpotMachines,
    },
    features: checkFeatures(features, f),
  };
}

function read(path: string, what: string, parse: (text: string) => unknown): unknown {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${what}: can not read ${path}: ${error instanceof Error ? error.message : 'failed'}`);
  }
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`${what}: ${path}: ${error instanceof Error ? error.message : 'can not be parsed'}`);
  }
}

export interface SettingsPaths {
  readonly platform: string;
  /** Null: there is no such file. */
  readonly operators: string | null;
  readonly features: string | null;
}

export function loadSettings(paths: SettingsPaths): Settings {
  const platform = read(paths.platform, 'settings', (text) => JSON.parse(text) as unknown);
  const yaml = (path: string | null, what: string): unknown =>
    path === null ? {} : read(path, what, (text) => parseYaml(text) as unknown);
  return settingsOf(platform, yaml(paths.operators, "operators' settings"), yaml(paths.features, 'features'));
}
