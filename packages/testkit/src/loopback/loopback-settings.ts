// Describes loopback deployments: teams, times and the settings files of controllers.
import { ZONES } from '../simulation/deployment';

const TEAMS: readonly string[] = ['red', 'blue'];

/** `report_s` of the settings; short, because the tests run in real time. */
export const HEARTBEAT_INTERVAL_S = 0.4;
/** `lease_s` of the settings. */
export const WORKER_LEASE_S = 3;
/** `cancel_s` of the settings. */
export const CANCELLATION_BOUND_S = 8;

/** The values that a settings file is built from. */
export interface LoopbackSettingsSource {
  /** The names of all controllers. */
  readonly controllers: readonly string[];
  readonly guaranteedGpus: number;
  readonly gpusMax: number;
  /** Returns the address and port at which a controller listens for its peers. */
  peerAddressOf(node: string): string;
}

/** Returns the settings of one controller, in the form of the parsed settings file. */
export function loopbackSettings(source: LoopbackSettingsSource, node: string): unknown {
  const { controllers, guaranteedGpus, gpusMax } = source;
  const zoneOf = (name: string): string => ZONES[controllers.indexOf(name) % ZONES.length]!;
  const peers = controllers
    .filter((name) => name !== node)
    .map((name) => ({ node: name, area: zoneOf(name), address: source.peerAddressOf(name) }));
  return {
    node,
    area: zoneOf(node),
    client_listen: '127.0.0.1:0',
    cluster_listen: source.peerAddressOf(node),
    peers,
    services: { cloud: 'cloud:1', state: 'state:1' },
    facts: {
      count: controllers.length,
      zones: ZONES,
      teams: TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: guaranteedGpus, gpus_max: gpusMax })),
      workers: { report_s: HEARTBEAT_INTERVAL_S, lease_s: WORKER_LEASE_S, cancel_s: CANCELLATION_BOUND_S },
      state: { rps: 400, write_rps: 200, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 8, list_lag_s: 1 },
      machine_limits: { sockets: 600 },
      skew_ms: 100,
    },
  };
}
