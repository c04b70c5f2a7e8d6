// Troubles that meet. Each of these met on real machines, and rules broke there; docs/meetings.md lists them with the
// path that carries each. A combination is played as a whole day, and shows that it did come about.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerMessage } from '@gingerlock/peer';
import { type Fault, runScenario, World, type WorldOptions } from '../src/index';

interface FaultCombination {
  readonly name: string;
  readonly world?: Partial<WorldOptions>;
  /** What comes when, in milliseconds from the begin of the combination. */
  readonly faults: readonly (readonly [at: number, fault: Fault])[];
  /** What must have come about. */
  readonly occurred?: (world: World) => boolean;
}

/** Settings of the stand-ins: heartbeats every second, leases of 6 s, cancellations within 20 s. */
const LEASE = 6000;
const CANCEL = 20_000;
const ALL = [0, 1, 2, 3, 4];
const leaderEnds = (backMs = 3000): Fault => ({ kind: 'leaders end', times: 1, everyMs: 1000, backMs });
const allEnd = (backMs: number): Fault => ({ kind: 'crash', nodes: ALL, backMs });
const cancelNow = (hangMs = 0): Fault => ({ kind: 'cancel now', count: 6, hangMs });
const closeLooks: Fault = { kind: 'close looks', forMs: 60_000 };
const lateWrites = (atOnce: boolean): Fault => ({ kind: 'late writes', share: 0.5, atOnce, forMs: 12_000 });
const mute = (count: number, forMs: number, how: 'hold' | 'lose' = 'lose'): Fault => ({
  kind: 'mute machines',
  machine: 0,
  count,
  how,
  forMs,
});
const deaf = (count: number, forMs: number): Fault => ({ kind: 'deaf machines', machine: 0, count, forMs });
const hang = (count: number, forMs: number): Fault => ({ kind: 'machines hang', machine: 0, count, forMs });
const cut = (from: 'state' | 'both' | 'workers', forMs: number): Fault => ({
  kind: 'node cut',
  node: -1,
  from,
  how: 'hold',
  forMs,
});
const dies = (machine: number): Fault => ({ kind: 'machine dies', machine, listedAs: 'failed' });
const atLimit = (world: World): boolean => world.peakGpus >= world.gpusMax;
const had =
  (...what: string[]) =>
  (world: World): boolean =>
    what.every((w) => (world.happened.get(w) ?? 0) > 0);

const combinations: readonly FaultCombination[] = [
  {
    name: 'a report is held back until a new leader has acted, and then arrives there',
    faults: [
      [0, mute(12, 4500, 'hold')],
      [500, { kind: 'reports for the next', share: 1, forMs: 20_000 }],
      [1000, allEnd(1500)],
    ],
    occurred: had('old report'),
  },
  {
    name: 'every team is at its limit while jobs are cancelled whose machines hang, and the leader changes',
    world: { jobs: { gpus: 2 } },
    faults: [
      [0, cancelNow(LEASE * 0.8)],
      [300, leaderEnds()],
      [9000, cancelNow(LEASE * 0.8)],
      [9100, allEnd(500)],
    ],
    occurred: (world) => atLimit(world) && had('cancelled')(world),
  },
  {
    name: 'every team is at its limit while jobs are cancelled in a zone that is cut off, and the leader changes',
    world: { jobs: { gpus: 2 } },
    faults: [
      [0, { kind: 'zone cut', zone: 1, how: 'hold', forMs: 15_000 }],
      [200, cancelNow()],
      [400, leaderEnds()],
    ],
    occurred: (world) => atLimit(world) && had('cancelled')(world),
  },
  {
    name: 'jobs bound to one zone, arrays too, lose machines',
    world: { jobs: { oneZone: true, spread: false, zone: null, tasks: 5 } },
    faults: [
      [0, dies(0)],
      [100, dies(1)],
      [2000, { kind: 'zone cut', zone: 0, how: 'hold', forMs: 12_000 }],
      [5000, dies(2)],
    ],
  },
  { name: 'all controllers are away for longer than a lease', faults: [[0, allEnd(LEASE * 1.5)]] },
  {
    name: 'controllers hand over and back, all end, and one returns, also within a second',
    faults: [
      [0, { kind: 'rolling restarts', everyMs: 3000, backMs: 1000 }],
      [16_000, { kind: 'crash', nodes: [1, 2, 3, 4], backMs: 9000 }],
      [16_000, { kind: 'crash', nodes: [0], backMs: 400 }],
      [20_000, { kind: 'flapping', node: 0, times: 5, everyMs: 700 }],
    ],
  },
  {
    name: 'a team is at its limit when the leader changes, machines can not be asked, and a cancellation falls into that spell',
    world: { jobs: { gpus: 2 } },
    faults: [
      [0, deaf(8, 9000)],
      [500, leaderEnds()],
      [1500, cancelNow()],
    ],
    occurred: (world) => atLimit(world) && had('cancelled')(world),
  },
  {
    name: 'jobs of two or three tasks end far apart across a change of leader',
    world: { jobs: { kind: 'array', tasks: 3, spread: false, estimateS: 4 } },
    faults: [
      [0, { kind: 'slow machine', machine: 1, factor: 6, forMs: 30_000 }],
      [0, { kind: 'slow machine', machine: 4, factor: 3, forMs: 30_000 }],
      [4000, leaderEnds()],
      [9000, allEnd(1000)],
    ],
  },
  {
    name: 'a leader ends while machines with long tasks can not be reached, or do not hear the new one',
    world: { jobs: { kind: 'service', spot: false } },
    faults: [
      [0, mute(4, 9000)],
      [100, { kind: 'deaf machines', machine: 4, count: 4, forMs: 9000 }],
      [800, allEnd(700)],
    ],
  },
  {
    name: 'new machines are up within two seconds and get work at once while writes lag, and the leader ends',
    world: { load: 3, machines: 3, capacity: 8 },
    faults: [
      [0, { kind: 'fast boots', forMs: 40_000 }],
      [500, lateWrites(false)],
      [2000, leaderEnds()],
      [6000, lateWrites(false)],
      [7000, leaderEnds()],
    ],
    occurred: (world) => world.state.carriedOutLate > 0,
  },
  {
    name: 'a command or its answer is held up for seconds, and the machine then goes on',
    faults: [
      [0, cut('workers', 5000)],
      [300, hang(8, LEASE * 0.7)],
      [600, cancelNow()],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'jobs are cancelled as the state service refuses the leader alone, and a second later it is out for longer than cancel_s',
    faults: [
      [0, { kind: 'gap', node: -1, cancels: 6, afterMs: 1000, forMs: CANCEL * 1.2 }],
      [CANCEL * 2, { kind: 'gap', node: 0, cancels: 6, afterMs: 700, forMs: CANCEL * 1.2 }],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'leaders change ten times in two minutes, also inside an outage',
    faults: [
      [0, { kind: 'leaders end', times: 10, everyMs: 5500, backMs: 4000 }],
      [12_000, { kind: 'state outage', forMs: 14_000 }],
    ],
  },
  {
    name: 'the state service answers slowly, refuses the leader alone and then everybody, while users cancel and ask',
    faults: [
      [0, closeLooks],
      [0, { kind: 'slow state service', ms: 300, forMs: 12_000 }],
      [6000, { kind: 'gap', node: -1, cancels: 6, afterMs: 1500, forMs: CANCEL * 1.2 }],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'one-task jobs come four a second for minutes, a quarter of them cancelled',
    world: { gpusMax: 20, capacity: 8 },
    faults: [[0, { kind: 'small jobs', perS: 4, forMs: 45_000 }]],
  },
  {
    name: 'an old report reaches every controller just as a new leader begins',
    faults: [
      [0, { kind: 'reports for the next', share: 1, forMs: 40_000 }],
      [3000, leaderEnds()],
      [12_000, allEnd(500)],
      [20_000, { kind: 'flapping', node: 1, times: 4, everyMs: 1500 }],
    ],
    occurred: had('old report'),
  },
  {
    name: 'a transaction without an answer is carried out late, after newer ones of the same controller',
    faults: [
      [0, lateWrites(false)],
      [4000, cancelNow()],
      [8000, leaderEnds()],
    ],
    occurred: (world) => world.state.carriedOutLate > 0,
  },
  {
    name: 'users ask at all nodes within milliseconds, and repeat the submission, after every piece of news',
    faults: [
      [0, closeLooks],
      [0, { kind: 'slow controller', node: 1, ms: 400, forMs: 30_000 }],
      [5000, { kind: 'odd requests', forMs: 30_000 }],
      [8000, leaderEnds()],
    ],
  },
  {
    name: 'an old report arrives after newer ones, also from an earlier session or attempt',
    faults: [
      [0, { kind: 'late copies', share: 1, withinMs: LEASE * 2, forMs: 30_000 }],
      [3000, mute(6, LEASE * 1.5)],
      [15_000, leaderEnds()],
    ],
  },
  {
    name: 'a transaction is carried out at once and only its answer is lost, while other nodes read what it wrote',
    faults: [
      [0, closeLooks],
      [0, lateWrites(true)],
      [3000, cancelNow()],
      [6000, { kind: 'state refuses one', node: -1, how: 'lose answers', forMs: 8000 }],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'jobs are cancelled in the seconds in which one controller’s work changes hands',
    faults: [
      [0, { kind: 'crash', nodes: [1], backMs: 1500 }],
      [200, cancelNow()],
      // Given back to its home some seconds after that is well again.
      [1500 + LEASE * 1.3, { kind: 'cancel at end', share: 1, forMs: 8000 }],
      [1500 + LEASE * 1.4, cancelNow()],
      [1500 + LEASE * 2, cancelNow()],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'there is more work than room, urgent and not, over slow links',
    world: { load: 2, capacity: 2 },
    faults: [
      [0, { kind: 'slow controller', node: 0, ms: 400, forMs: 30_000 }],
      [0, { kind: 'slow controller', node: 2, ms: 400, forMs: 30_000 }],
      [0, { kind: 'slow state service', ms: 100, forMs: 30_000 }],
    ],
  },
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease',
    faults: [
      [0, { kind: 'zone cut', zone: 0, how: 'hold', forMs: LEASE * 2 }],
      [300, cancelNow()],
      [LEASE * 3, { kind: 'zone cut', zone: 1, how: 'lose', forMs: CANCEL * 1.3 }],
      [LEASE * 3 + 500, cancelNow()],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'a cancellation, a question or a repeated submission meets the end of a job’s last task',
    world: { jobs: { kind: 'array', tasks: 2 } },
    faults: [
      [0, closeLooks],
      [0, { kind: 'cancel at end', share: 1, forMs: 40_000 }],
    ],
  },
  {
    name: 'a leader is cut from state service and peers, workers and users still reach it, and jobs are cancelled elsewhere',
    faults: [
      [0, closeLooks],
      [0, cut('both', 16_000)],
      [700, cancelNow()],
      [4000, cancelNow()],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'workers can open connections to no controller, while direct commands still reach them',
    faults: [
      [0, mute(20, LEASE * 0.8)],
      [500, cancelNow()],
      [9000, mute(20, LEASE * 1.6)],
      [9500, leaderEnds()],
      [10_000, cancelNow()],
    ],
    occurred: had('cancelled'),
  },
  {
    name: 'an owner’s lease ends, its writes stay unanswered, its zone is apart, and the others read late',
    world: { gpusMax: 40 },
    faults: [
      [0, { kind: 'lapsed apart', node: 0, lapseMs: 3000, forMs: CANCEL * 1.5 }],
      [CANCEL * 0.7, { kind: 'state refuses one', node: 0, how: 'refuse', forMs: CANCEL }],
    ],
  },
  {
    name: 'a controller is back, reads late, and loses the state service and its peers',
    world: { gpusMax: 40 },
    faults: [
      [0, { kind: 'zone apart', zone: 0, how: 'lose', forMs: CANCEL * 1.5 }],
      [0, { kind: 'back and cut off', node: 0, backMs: 300, readMs: 900, afterMs: 2500, forMs: CANCEL * 1.5 }],
    ],
  },
  {
    name: 'changes come in any order and few are kept while writes are late, jobs of one zone move and leaders end',
    world: { jobs: { oneZone: true, spread: false, zone: null }, controllers: 2 },
    faults: [
      [0, { kind: 'unhelpful reads', keptEvents: 3, pageItems: 3, forMs: 60_000 }],
      [500, lateWrites(true)],
      [4000, dies(0)],
      [5000, dies(1)],
      [14_000, leaderEnds()],
      [30_000, dies(2)],
      [31_000, { kind: 'slow reads', node: 0, ms: 900, forMs: 10_000 }],
    ],
  },
];

/** When the faults begin: some jobs run by then. */
const BEGIN_AT = 22_000;

for (const { name, world: options, faults, occurred } of combinations) {
  test(`fault combination: ${name}`, async () => {
    for (const seed of [1, 2]) {
      const world = new World({ seed, controllers: 5, machines: 9, capacity: 5, ...options });
      await runScenario(world, {
        seed,
        forMs: 130_000,
        faults: faults.map(([at, fault]) => ({ at: BEGIN_AT + at, fault })),
      });
      assert.deepEqual(world.violations, [], `seed ${seed}`);
      assert.deepEqual(
        world.users.open().map((t) => t.spec.id),
        [],
        `seed ${seed}`,
      );
      assert.ok([...world.users.observedByJob.values()].some((t) => t.final !== null));
      if (occurred !== undefined) assert.ok(occurred(world), `seed ${seed}: ${JSON.stringify([...world.happened])}`);
    }
  });
}

/**
 * The gap: one controller alone is refused, others confirm cancellations, then nobody is served for longer than
 * `cancel_s`.
 */
async function gap(seed: number, falsify: (message: PeerMessage) => PeerMessage | null): Promise<World> {
  const world = new World({ seed, controllers: 5, machines: 9, capacity: 5, falsify });
  const faults = [1, 3].map((times) => ({
    at: BEGIN_AT * times,
    fault: { kind: 'gap' as const, node: -1, cancels: 8, afterMs: 1500, forMs: CANCEL * 1.3 },
  }));
  await runScenario(world, { seed, forMs: 120_000, faults });
  assert.ok(had('cancelled')(world));
  return world;
}

// On real machines this broke most of all. Leases alone carry it, at the very end of their time.
test('in the gap cancelled tasks are gone within reports of the confirmation, and in time when no controller hears of it', async () => {
  for (const seed of [1, 2, 3]) {
    const told = await gap(seed, (message) => message);
    assert.deepEqual(told.violations, []);
    assert.ok(told.longestCancelledMs < told.heartbeatIntervalMs * 3, `${told.longestCancelledMs} ms`);
  }
  let longest = 0;
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const untold = await gap(seed, (message) => (message.kind === 'JobCancelled' ? null : message));
    assert.deepEqual(untold.violations, []);
    longest = Math.max(longest, untold.longestCancelledMs);
  }
  assert.ok(longest > LEASE, `the combination never came about: ${longest} ms`);
});

test('the gap breaks ran_cancelled when peers vouch for what they can not know', async () => {
  const violations = [];
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const lying = await gap(seed, (message) =>
      message.kind === 'JobCancelled'
        ? null
        : message.kind === 'Confirmation'
          ? { ...message, confirms: true }
          : message,
    );
    violations.push(...lying.violations);
  }
  assert.ok(violations.some((b) => b.rule === 'ran_cancelled'));
});
