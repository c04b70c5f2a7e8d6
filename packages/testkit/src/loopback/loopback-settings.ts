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
  /** Where controllers listen and find the services; default: names for the network of the deployment. */
  readonly addresses?: { readonly clients: string; readonly state: string; readonly cloud: string };
  /** The memory of a controller, in megabytes; default: not given. */
  readonly ramMb?: number;
}

/** Addresses for controllers that run in the process of the deployment. */
const NAMED_ADDRESSES = { clients: '127.0.0.1:0', state: 'state:1', cloud: 'cloud:1' };

/** Returns the settings of one controller, in the form of the parsed settings file. */
export function loopbackSettings(source: LoopbackSettingsSource, node: string): unknown {
  const { controllers, guaranteedGpus, gpusMax, addresses = NAMED_ADDRESSES, ramMb } = source;
  const zoneOf = (name: string): string => ZONES[controllers.indexOf(name) % ZONES.length]!;
  const peers = controllers
    .filter((name) => name !== node)
    .map((name) => ({ node: name, area: zoneOf(name), address: source.peerAddressOf(name) }));
  return {
    node,
    area: zoneOf(node),
    client_listen: addresses.clients,
    cluster_listen: source.peerAddressOf(node),
    peers,
    services: { cloud: addresses.cloud, state: addresses.state },
    facts: {
      count: controllers.length,
      zones: ZONES,
      teams: TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: guaranteedGpus, gpus_max: gpusMax })),
      workers: { report_s: HEARTBEAT_INTERVAL_S, lease_s: WORKER_LEASE_S, cancel_s: CANCELLATION_BOUND_S },
      state: { rps: 400, write_rps: 200, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 8, list_lag_s: 1 },
      machine_limits: { sockets: 600, ...(ramMb === undefined ? {} : { ram_mb: ramMb }) },
      skew_ms: 100,
    },
  };
}
