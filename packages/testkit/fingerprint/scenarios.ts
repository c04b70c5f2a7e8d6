// The fixed scenarios with their worlds, faults and seeds. A change to one changes its fingerprint.
import { type Scenario, GROUP_CLASS, TWO_TYPES, type WorldOptions } from '../src/index';

/** A named scenario; `switched` restarts all controllers with other features at a given time. */
export interface FixedScenario extends Scenario {
  readonly name: string;
  readonly world: Omit<WorldOptions, 'seed'>;
  readonly switched?: { readonly at: number; readonly features: unknown };
}

const BORROWING = { borrowing: { enabled: true, max_share: 0.5 } };
const GROUPS = { replica_groups: { enabled: true, classes: [GROUP_CLASS, 'service'], backoff_reports: 1 } };
const GROUPS_OFF = { replica_groups: { enabled: false, classes: [GROUP_CLASS] } };

/** A fleet limited to two spot and two ordinary machines in each zone. */
const SMALL = { machines: 6, capacity: 2, load: 0.2, gpusMax: 40, guaranteedGpus: 8 };
const ROOMY = { machines: 6, capacity: 12, gpusMax: 80, load: 0.5 };

/** Together the scenarios contain every kind of fault except `members fail`. */
export const SCENARIOS: readonly FixedScenario[] = [
  { name: 'quiet', seed: 8, forMs: 120_000, world: {}, faults: [] },
  {
    name: 'failovers',
    seed: 101,
    forMs: 140_000,
    world: { controllers: 5, machines: 12, capacity: 6, load: 2, frameBytes: 1500 },
    faults: [
      { at: 15_000, fault: { kind: 'reports for the next', share: 1, forMs: 20_000 } },
      { at: 16_000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } },
      { at: 26_000, fault: { kind: 'leaders end', times: 3, everyMs: 4000, backMs: 2500 } },
      { at: 42_000, fault: { kind: 'flapping', node: 2, times: 4, everyMs: 1200 } },
      { at: 50_000, fault: { kind: 'crash', nodes: [0, 1, 2], backMs: 6000 } },
      { at: 62_000, fault: { kind: 'freeze', node: -1, forMs: 14_000, wakes: 'timers first' } },
      {
        at: 70_000,
        fault: { kind: 'back and cut off', node: 1, backMs: 500, readMs: 600, afterMs: 2000, forMs: 9000 },
      },
    ],
  },
  {
    name: 'network-cuts',
    seed: 102,
    forMs: 150_000,
    world: { deployment: TWO_TYPES, machines: 10, capacity: 6 },
    faults: [
      { at: 8000, fault: { kind: 'late copies', share: 0.1, withinMs: 6000, forMs: 30_000 } },
      { at: 12_000, fault: { kind: 'node cut', node: -1, from: 'both', how: 'hold', forMs: 9000 } },
      { at: 25_000, fault: { kind: 'zone cut', zone: 1, how: 'lose', forMs: 8000 } },
      { at: 36_000, fault: { kind: 'zones apart', zone: 0, how: 'hold', forMs: 8000 } },
      { at: 47_000, fault: { kind: 'zone apart', zone: 2, how: 'lose', forMs: 8000 } },
      { at: 50_000, fault: { kind: 'late peer copies', share: 0.3, withinMs: 4000, forMs: 15_000 } },
      { at: 58_000, fault: { kind: 'silent controller', node: 1, how: 'refuse', forMs: 9000 } },
      { at: 66_000, fault: { kind: 'lost answers', share: 0.2, forMs: 8000 } },
      { at: 70_000, fault: { kind: 'peers refused', forMs: 6000 } },
      { at: 76_000, fault: { kind: 'slow controller', node: 0, ms: 400, forMs: 10_000 } },
      { at: 80_000, fault: { kind: 'node cut', node: 2, from: 'workers', how: 'lose', forMs: 8000 } },
    ],
  },
  {
    name: 'state-troubles',
    seed: 103,
    forMs: 170_000,
    world: { machines: 8, capacity: 6, nextLimits: { valueKb: 2, txnOps: 4, writesPerS: 70 } },
    faults: [
      { at: 10_000, fault: { kind: 'slow state service', ms: 300, forMs: 10_000 } },
      { at: 20_000, fault: { kind: 'state outage', forMs: 12_000 } },
      { at: 34_000, fault: { kind: 'unhelpful reads', keptEvents: 30, pageItems: 3, forMs: 20_000 } },
      { at: 38_000, fault: { kind: 'events forgotten' } },
      { at: 40_000, fault: { kind: 'slow reads', node: 0, ms: 900, forMs: 10_000 } },
      { at: 48_000, fault: { kind: 'late writes', share: 0.4, atOnce: false, forMs: 8000 } },
      { at: 60_000, fault: { kind: 'state answers lost', share: 0.3, forMs: 8000 } },
      { at: 66_000, fault: { kind: 'state limits' } },
      { at: 70_000, fault: { kind: 'state refuses one', node: -1, how: 'refuse', forMs: 10_000 } },
      { at: 78_000, fault: { kind: 'writes unanswered', node: 1, forMs: 8000 } },
      { at: 84_000, fault: { kind: 'renewals refused', node: 2, forMs: 10_000 } },
      { at: 90_000, fault: { kind: 'gap', node: 0, cancels: 4, afterMs: 1000, forMs: 8000 } },
      { at: 96_000, fault: { kind: 'lapsed apart', node: 1, lapseMs: 3000, forMs: 8000 } },
    ],
  },
  {
    name: 'rolling-restart',
    seed: 104,
    forMs: 130_000,
    world: {
      controllers: 5,
      deployment: TWO_TYPES,
      machines: 12,
      capacity: 6,
      load: 2,
      heartbeatIntervalS: 1.5,
      workerLeaseS: 10,
    },
    faults: [
      { at: 20_000, fault: { kind: 'rolling restarts', everyMs: 6000, backMs: 3000 } },
      { at: 30_000, fault: { kind: 'clocks jump', everyMs: 4000, forMs: 20_000 } },
    ],
  },
  {
    name: 'machines-taken-back',
    seed: 105,
    forMs: 150_000,
    world: {
      deployment: TWO_TYPES,
      machines: 2,
      capacity: 6,
      load: 2,
      gpusMax: 20,
      jobs: { checkpointS: 3, saveS: 1 },
    },
    faults: [
      { at: 15_000, fault: { kind: 'spot wave', share: 1, noticeMs: 3000 } },
      { at: 30_000, fault: { kind: 'spot wave', share: 0.5, noticeMs: 0 } },
      { at: 35_000, fault: { kind: 'machine dies', machine: 1, listedAs: 'failed' } },
      { at: 38_000, fault: { kind: 'unhealthy machine', machine: 2, forMs: 10_000 } },
      { at: 42_000, fault: { kind: 'machines hang', machine: 0, count: 3, forMs: 8000 } },
      { at: 50_000, fault: { kind: 'boot trouble', never: 0.3, factor: 4, forMs: 12_000 } },
      { at: 55_000, fault: { kind: 'stale list', ms: 8000, forMs: 10_000 } },
      { at: 60_000, fault: { kind: 'cloud outage', forMs: 8000 } },
      { at: 64_000, fault: { kind: 'mute machines', machine: 1, count: 3, how: 'lose', forMs: 9000 } },
      { at: 68_000, fault: { kind: 'deaf machines', machine: 0, count: 2, forMs: 8000 } },
      { at: 70_000, fault: { kind: 'slow machine', machine: 0, factor: 6, forMs: 8000 } },
      { at: 72_000, fault: { kind: 'spot wave', share: 1, noticeMs: 3000 } },
      { at: 74_000, fault: { kind: 'fast boots', forMs: 10_000 } },
    ],
  },
  {
    name: 'cancellations-and-pipelines',
    seed: 106,
    forMs: 130_000,
    world: { machines: 8, capacity: 6, load: 2 },
    faults: [
      { at: 5000, fault: { kind: 'pipelines', everyMs: 4000, forMs: 40_000, seed: 7 } },
      { at: 12_000, fault: { kind: 'odd requests', forMs: 30_000 } },
      { at: 14_000, fault: { kind: 'close looks', forMs: 20_000 } },
      { at: 18_000, fault: { kind: 'cancel now', count: 5, hangMs: 0 } },
      { at: 28_000, fault: { kind: 'cancel now', count: 6, hangMs: 6000 } },
      { at: 32_000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } },
      { at: 36_000, fault: { kind: 'cancel at end', share: 1, forMs: 15_000 } },
      { at: 40_000, fault: { kind: 'broken jobs', count: 2, tasks: 2, everyMs: 3000, cancelAfterMs: 15_000 } },
      { at: 50_000, fault: { kind: 'small jobs', perS: 2, forMs: 8000 } },
      { at: 56_000, fault: { kind: 'guests', what: 'flood', perS: 5, forMs: 6000 } },
      { at: 60_000, fault: { kind: 'guests', what: 'long work', perS: 5, forMs: 5000 } },
    ],
  },
  {
    name: 'borrowing',
    seed: 107,
    forMs: 150_000,
    world: { ...SMALL, features: BORROWING, jobs: { checkpointS: 5, saveS: 1 } },
    faults: [
      { at: 5000, fault: { kind: 'batch wave', team: 1, tasks: 60, estimateS: 30 } },
      { at: 20_000, fault: { kind: 'crash at reclaim', who: 'both', step: 'stopping', backMs: 1500, forMs: 12_000 } },
      { at: 22_000, fault: { kind: 'surge', team: 0, replicas: 12, everyMs: 300, forMs: 40_000 } },
      { at: 30_000, fault: { kind: 'victims trouble', what: 'hang', share: 0.5, forMs: 5000 } },
      { at: 40_000, fault: { kind: 'beneficiaries cancelled', share: 0.5, forMs: 8000 } },
      { at: 52_000, fault: { kind: 'batch wave', team: 1, tasks: 20, estimateS: 20 } },
    ],
  },
  {
    name: 'replica-groups',
    seed: 108,
    forMs: 140_000,
    world: { ...ROOMY, features: GROUPS },
    faults: [
      { at: 5000, fault: { kind: 'groups', count: 4, members: 3, gpus: 2, everyMs: 1500, place: 'spread' } },
      {
        at: 25_000,
        fault: {
          kind: 'members trouble',
          state: 'serving',
          what: 'die',
          machines: 1,
          afterMs: 0,
          share: 1,
          forMs: 3000,
        },
      },
      {
        at: 26_000,
        fault: { kind: 'crash at group', who: 'leader', state: 'ending', afterMs: 70, backMs: 2500, forMs: 10_000 },
      },
      { at: 40_000, fault: { kind: 'groups', count: 2, members: 2, gpus: 1, everyMs: 1000, place: 'one zone' } },
      { at: 44_000, fault: { kind: 'groups cancelled', state: 'serving', share: 0.3, forMs: 5000 } },
      {
        at: 50_000,
        fault: {
          kind: 'members trouble',
          state: 'serving',
          what: 'mute',
          machines: 2,
          afterMs: 0,
          share: 1,
          forMs: 9000,
        },
      },
      { at: 58_000, fault: { kind: 'state outage', forMs: 6000 } },
    ],
  },
  {
    name: 'all-features',
    seed: 109,
    forMs: 150_000,
    world: { ...ROOMY, controllers: 5, machines: 0, deployment: TWO_TYPES, features: { ...BORROWING, ...GROUPS } },
    faults: [
      { at: 5000, fault: { kind: 'groups', count: 3, members: 3, gpus: 2, everyMs: 1500, place: 'spot' } },
      { at: 12_000, fault: { kind: 'batch wave', team: 1, tasks: 30, estimateS: 20 } },
      { at: 25_000, fault: { kind: 'surge', team: 0, replicas: 8, everyMs: 300, forMs: 25_000 } },
      { at: 35_000, fault: { kind: 'spot wave', share: 1, noticeMs: 3000 } },
      { at: 45_000, fault: { kind: 'zone cut', zone: 0, how: 'hold', forMs: 7000 } },
      { at: 58_000, fault: { kind: 'rolling restarts', everyMs: 3000, backMs: 1500 } },
    ],
  },
  {
    name: 'all-features-cut-off',
    seed: 111,
    forMs: 150_000,
    world: { ...SMALL, capacity: 6, load: 1, controllers: 5, features: { ...BORROWING, ...GROUPS } },
    faults: [
      { at: 5000, fault: { kind: 'groups', count: 3, members: 2, gpus: 2, everyMs: 1500, place: 'any' } },
      { at: 8000, fault: { kind: 'batch wave', team: 1, tasks: 60, estimateS: 30 } },
      { at: 10_000, fault: { kind: 'pipelines', everyMs: 6000, forMs: 30_000, seed: 9 } },
      { at: 22_000, fault: { kind: 'surge', team: 0, replicas: 12, everyMs: 300, forMs: 35_000 } },
      { at: 24_000, fault: { kind: 'node cut', node: -1, from: 'both', how: 'lose', forMs: 9000 } },
      { at: 36_000, fault: { kind: 'late writes', share: 0.4, atOnce: true, forMs: 8000 } },
      { at: 46_000, fault: { kind: 'state outage', forMs: 8000 } },
      { at: 56_000, fault: { kind: 'cancel now', count: 6, hangMs: 4000 } },
      { at: 60_000, fault: { kind: 'mute machines', machine: 0, count: 3, how: 'hold', forMs: 8000 } },
    ],
  },
  {
    name: 'features-switched',
    seed: 110,
    forMs: 100_000,
    world: { ...ROOMY, features: GROUPS_OFF },
    switched: { at: 30_000, features: GROUPS },
    faults: [{ at: 5000, fault: { kind: 'groups', count: 3, members: 3, gpus: 1, everyMs: 1500, place: 'any' } }],
  },
];
