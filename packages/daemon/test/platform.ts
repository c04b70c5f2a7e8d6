/** Minimal valid settings of the platform. */
export const platform = {
  node: 'n0',
  area: 'a',
  client_listen: '127.0.0.1:1',
  cluster_listen: '127.0.0.1:2',
  peers: [{ node: 'n1', area: 'b', address: '127.0.0.1:3' }],
  services: { cloud: '127.0.0.1:4', state: '127.0.0.1:5' },
  facts: {
    count: 2,
    zones: ['a', 'b'],
    teams: [{ name: 't', cpus: 0, cpus_max: 0, gpus: 1, gpus_max: 2 }],
    workers: { report_s: 1, lease_s: 5, cancel_s: 20 },
    state: { rps: 100, write_rps: 50, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 5, list_lag_s: 3 },
    machine_limits: { sockets: 600 },
    skew_ms: 100,
  },
};
