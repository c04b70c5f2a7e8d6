// Builds the platform's settings file of a simulated controller.
import type { StateLimits } from '../standins/state-service';
import { GUEST_TEAM, TEAMS } from './world-options';

/** The values that a settings file is built from. */
export interface SettingsSource {
  readonly nodes: readonly { readonly name: string; readonly zone: string }[];
  readonly deployment: { readonly zones: readonly string[]; readonly maxClockSkewMs: number };
  readonly guaranteedGpus: number;
  readonly gpusMax: number;
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly cancellationBoundMs: number;
  readonly options: { readonly nextLimits?: StateLimits; readonly ramMb?: number };
}

/** Returns the settings of one controller, in the form of the parsed settings file. */
export function controllerSettings(source: SettingsSource, node: string): unknown {
  const { nodes, deployment } = source;
  return {
    node,
    area: nodes.find(({ name }) => name === node)!.zone,
    client_listen: `${node}:8080`,
    cluster_listen: `${node}:8081`,
    peers: nodes
      .filter(({ name }) => name !== node)
      .map(({ name, zone }) => ({ node: name, area: zone, address: `${name}:8081` })),
    services: { cloud: 'cloud:1', state: 'state:1' },
    facts: {
      count: nodes.length,
      zones: deployment.zones,
      teams: teamSettings(source),
      workers: {
        report_s: source.heartbeatIntervalMs / 1000,
        lease_s: source.workerLeaseMs / 1000,
        cancel_s: source.cancellationBoundMs / 1000,
      },
      state: { rps: 200, write_rps: 100, value_kb: 8, txn_ops: 12, ...nextLimitSettings(source.options.nextLimits) },
      cloud: { rps: 8, list_lag_s: 2 },
      machine_limits: { sockets: 600, ram_mb: source.options.ramMb },
      skew_ms: deployment.maxClockSkewMs,
    },
  };
}

function teamSettings({ guaranteedGpus, gpusMax }: SettingsSource): unknown[] {
  return [
    ...TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: guaranteedGpus, gpus_max: gpusMax })),
    { name: GUEST_TEAM, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: gpusMax },
  ];
}

function nextLimitSettings(next: StateLimits | undefined): { next?: unknown } {
  if (next === undefined) return {};
  return { next: { write_rps: next.writesPerS, value_kb: next.valueKb, txn_ops: next.txnOps } };
}
