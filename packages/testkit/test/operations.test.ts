// Faults that on-call engineers met, each in a simulated day: no invariant may be violated, and all work must get done.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEYS, ownerRecord } from '@gingerlock/wire';
import { type Fault, runScenario, World, type WorldOptions } from '../src/index';

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** Settings of the simulated world, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1000;
const WORKER_LEASE_MS = 6000;
const CANCELLATION_BOUND_MS = 20_000;
const FIRST_FAULT_AT = 15_000;

async function play(seed: number, faults: readonly TimedFault[], options: Partial<WorldOptions> = {}): Promise<World> {
  const world = new World({ seed, controllers: 5, machines: 9, ...options });
  await runScenario(world, { seed, forMs: 150_000, faults });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
  return world;
}

const brokenJobs = (cancelAfterMs = 50_000): Fault => ({
  kind: 'broken jobs',
  count: 3,
  tasks: 40,
  everyMs: 2000,
  cancelAfterMs,
});

test('broken arrays get no machine quarantined, and are tried until their users cancel them', async () => {
  for (const seed of [1, 2]) {
    const world = await play(seed, [{ at: FIRST_FAULT_AT, fault: brokenJobs() }]);
    assert.equal(world.occurrences.get('condemned'), undefined);
    // They are started until their users cancel them.
    for (const { starts } of world.brokenJobs.values()) assert.ok(starts > 0);
  }
});

test('unhealthy machines are found while broken arrays run, even after owners and the leader have changed', async () => {
  const faults: TimedFault[] = [
    { at: FIRST_FAULT_AT, fault: brokenJobs() },
    { at: FIRST_FAULT_AT, fault: { kind: 'leaders end', times: 2, everyMs: 5000, backMs: 2000 } },
    { at: FIRST_FAULT_AT + 12_000, fault: { kind: 'unhealthy machine', machine: 1, forMs: 60_000 } },
    { at: FIRST_FAULT_AT + 12_000, fault: { kind: 'unhealthy machine', machine: 4, forMs: 60_000 } },
  ];
  let condemned = 0;
  for (const seed of [3, 4]) condemned += (await play(seed, faults, { load: 3 })).occurrences.get('condemned') ?? 0;
  assert.ok(condemned > 0);
});

test('a healthy job completes soon although some machines are unhealthy', async () => {
  const world = new World({ seed: 5, controllers: 1, machines: 6 });
  await world.sim.run(5000);
  for (const name of [...world.workers.keys()].slice(0, 3)) {
    world.workers.get(name)!.isQuarantined = true;
    world.everUnhealthy.add(name);
  }
  const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 3, zone: null, spread: false, oneZone: false };
  void world.users.submitAndFollow(spec, null);
  const started = world.sim.now;
  while (world.users.observedByJob.get(spec.id)?.final !== 'done')
    await world.sim.run(world.sim.now + HEARTBEAT_INTERVAL_MS);
  assert.ok(world.sim.now - started < 2 * CANCELLATION_BOUND_MS, `${world.sim.now - started} ms`);
  assert.deepEqual(world.violations, []);
});

for (const wakes of ['input first', 'timers first'] as const) {
  test(`all work gets done after controllers freeze for less and more than each time-out and resume with ${wakes}`, async () => {
    // Below and above the store lease, the workers' answer time-out (4 s), the worker lease and the cancellation bound.
    const lengths = [
      HEARTBEAT_INTERVAL_MS * 1.2,
      HEARTBEAT_INTERVAL_MS * 2.2,
      4500,
      WORKER_LEASE_MS * 0.9,
      WORKER_LEASE_MS * 1.5,
      CANCELLATION_BOUND_MS * 1.3,
    ];
    for (const [i, forMs] of lengths.entries()) {
      const faults = [
        { at: FIRST_FAULT_AT, fault: { kind: 'freeze' as const, node: -1, forMs, wakes } },
        { at: FIRST_FAULT_AT + forMs + 8000, fault: { kind: 'freeze' as const, node: i, forMs, wakes } },
        { at: FIRST_FAULT_AT + forMs + 8500, fault: { kind: 'cancel now' as const, count: 4, hangMs: 0 } },
      ];
      await play(20 + i, faults);
    }
  });
}

for (const how of ['lose', 'hold', 'refuse'] as const) {
  test(`all work gets done though a controller is silent beyond the cancellation bound, alone or beside a frozen one (${how})`, async () => {
    const forMs = CANCELLATION_BOUND_MS * 1.5;
    const silent = (node: number): Fault => ({ kind: 'silent controller', node, how, forMs });
    await play(31, [{ at: FIRST_FAULT_AT, fault: silent(-1) }]);
    await play(32, [
      { at: FIRST_FAULT_AT, fault: silent(1) },
      {
        at: FIRST_FAULT_AT + 3000,
        fault: { kind: 'freeze', node: -1, forMs: WORKER_LEASE_MS * 1.2, wakes: 'timers first' },
      },
      { at: FIRST_FAULT_AT + forMs / 2, fault: { kind: 'cancel now', count: 4, hangMs: 0 } },
    ]);
  });
}

test('machines that come up late, never or at once are not forgotten while the cloud’s list is old and leaders change', async () => {
  const faultOf = (never: number, factor: number): Fault => ({ kind: 'boot trouble', never, factor, forMs: 30_000 });
  for (const [seed, fault] of [faultOf(0.5, 1), faultOf(0, 4), faultOf(0, 0.05)].entries()) {
    await play(
      40 + seed,
      [
        { at: 2000, fault },
        { at: 2000, fault: { kind: 'stale list', ms: 20_000, forMs: 40_000 } },
        { at: FIRST_FAULT_AT, fault: { kind: 'leaders end', times: 2, everyMs: 8000, backMs: 3000 } },
      ],
      { machines: 3, load: 2 },
    );
  }
});

test('floods, a huge array and long work of guests, each alone and all at once, get done although a controller ends', async () => {
  const guests = (what: 'flood' | 'huge array' | 'long work'): Fault => ({
    kind: 'guests',
    what,
    perS: 10,
    forMs: 15_000,
  });
  const crash: TimedFault = { at: FIRST_FAULT_AT + 5000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } };
  const all = (['flood', 'huge array', 'long work'] as const).map((what) => ({
    at: FIRST_FAULT_AT,
    fault: guests(what),
  }));
  for (const [seed, one] of all.entries()) await play(50 + seed, [one, crash]);
  await play(53, [...all, crash]);
});

// Relaying alone would serve such workers during the cut, but lose seconds each time a worker tried its owner again.
test('a partition whose workers can not reach its owner moves to a controller that they reach, and returns home later', async () => {
  const cut: TimedFault = {
    at: FIRST_FAULT_AT,
    fault: { kind: 'node cut', node: 1, from: 'workers', how: 'lose', forMs: WORKER_LEASE_MS * 4 },
  };
  const owners: string[] = [];
  const world = new World({ seed: 61, controllers: 3, machines: 9 });
  const watch = (): void => {
    const record = world.state.data.get(KEYS.owner('1'));
    const owner = record === undefined ? null : ownerRecord.read(record.value);
    if (owner !== null && !owner.released && owners.at(-1) !== owner.node) owners.push(owner.node);
    world.sim.after(100, watch);
  };
  watch();
  await runScenario(world, { seed: 61, forMs: 150_000, faults: [cut] });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
  assert.equal(owners.length, 3, owners.join());
  assert.deepEqual([owners[0], owners[2]], ['node-1', 'node-1']);
});

test('all work gets done while clocks jump within the allowed range and partitions and the leadership change owners', async () => {
  for (const seed of [81, 82]) {
    await play(seed, [
      { at: FIRST_FAULT_AT, fault: { kind: 'clocks jump', everyMs: 700, forMs: 60_000 } },
      { at: FIRST_FAULT_AT + 5000, fault: { kind: 'leaders end', times: 3, everyMs: 6000, backMs: 2000 } },
      {
        at: FIRST_FAULT_AT + 10_000,
        fault: { kind: 'zone cut', zone: 1, how: 'lose', forMs: CANCELLATION_BOUND_MS * 1.2 },
      },
      { at: FIRST_FAULT_AT + 30_000, fault: { kind: 'rolling restarts', everyMs: 4000, backMs: 1500 } },
    ]);
  }
});
