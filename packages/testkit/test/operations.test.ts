// Troubles that on-call met, each played as a whole day of the simulated world: no rule is broken, and all work gets
// done.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KEYS, ownerRecord } from '@gingerlock/wire';
import { type Fault, runScenario, World, type WorldOptions } from '../src/index';

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** Settings of the stand-ins. */
const REPORT = 1000;
const LEASE = 6000;
const CANCEL = 20_000;
const START = 15_000;

async function play(seed: number, faults: readonly TimedFault[], options: Partial<WorldOptions> = {}): Promise<World> {
  const world = new World({ seed, controllers: 5, machines: 9, ...options });
  await runScenario(world, { seed, forMs: 150_000, faults });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
  return world;
}

const broken = (cancelAfterMs = 50_000): Fault => ({
  kind: 'broken jobs',
  count: 3,
  tasks: 40,
  everyMs: 2000,
  cancelAfterMs,
});

test('broken arrays condemn no machine and are given up by nobody but their users', async () => {
  for (const seed of [1, 2]) {
    const world = await play(seed, [{ at: START, fault: broken() }]);
    assert.equal(world.happened.get('condemned'), undefined);
    // They are tried on as long as their users want them.
    for (const { starts } of world.brokenJobs.values()) assert.ok(starts > 0);
  }
});

test('machines at fault are found while broken arrays run, also after their owners and the leader changed', async () => {
  const faults: TimedFault[] = [
    { at: START, fault: broken() },
    { at: START, fault: { kind: 'leaders end', times: 2, everyMs: 5000, backMs: 2000 } },
    { at: START + 12_000, fault: { kind: 'unhealthy machine', machine: 1, forMs: 60_000 } },
    { at: START + 12_000, fault: { kind: 'unhealthy machine', machine: 4, forMs: 60_000 } },
  ];
  let condemned = 0;
  for (const seed of [3, 4]) condemned += (await play(seed, faults, { load: 3 })).happened.get('condemned') ?? 0;
  assert.ok(condemned > 0);
});

test('a good job that meets machines at fault runs soon', async () => {
  const world = new World({ seed: 5, controllers: 1, machines: 6 });
  await world.sim.run(5000);
  for (const name of [...world.workers.keys()].slice(0, 3)) {
    world.workers.get(name)!.isQuarantined = true;
    world.everUnhealthy.add(name);
  }
  const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 3, zone: null, spread: false, oneZone: false };
  void world.users.live(spec, null);
  const started = world.sim.now;
  while (world.users.observedByJob.get(spec.id)?.final !== 'done') await world.sim.run(world.sim.now + REPORT);
  assert.ok(world.sim.now - started < 2 * CANCEL, `${world.sim.now - started} ms`);
  assert.deepEqual(world.violations, []);
});

for (const wakes of ['input first', 'timers first'] as const) {
  test(`controllers stand still for less and more than each time-out, and go on with their ${wakes}`, async () => {
    // State lease, patience of workers, lease of workers, and the bound on cancellations.
    const lengths = [REPORT * 1.2, REPORT * 2.2, 4500, LEASE * 0.9, LEASE * 1.5, CANCEL * 1.3];
    for (const [i, forMs] of lengths.entries()) {
      const faults = [
        { at: START, fault: { kind: 'freeze' as const, node: -1, forMs, wakes } },
        { at: START + forMs + 8000, fault: { kind: 'freeze' as const, node: i, forMs, wakes } },
        { at: START + forMs + 8500, fault: { kind: 'cancel now' as const, count: 4, hangMs: 0 } },
      ];
      await play(20 + i, faults);
    }
  });
}

for (const how of ['lose', 'hold', 'refuse'] as const) {
  test(`controllers are silent for longer than a cancellation may take, alone and beside one that stands still (${how})`, async () => {
    const forMs = CANCEL * 1.5;
    const silent = (node: number): Fault => ({ kind: 'silent controller', node, how, forMs });
    await play(31, [{ at: START, fault: silent(-1) }]);
    await play(32, [
      { at: START, fault: silent(1) },
      { at: START + 3000, fault: { kind: 'freeze', node: -1, forMs: LEASE * 1.2, wakes: 'timers first' } },
      { at: START + forMs / 2, fault: { kind: 'cancel now', count: 4, hangMs: 0 } },
    ]);
  });
}

test('machines come late, never or at once while the list is old and leaders change: none is forgotten', async () => {
  const faultOf = (never: number, factor: number): Fault => ({ kind: 'boot trouble', never, factor, forMs: 30_000 });
  for (const [seed, fault] of [faultOf(0.5, 1), faultOf(0, 4), faultOf(0, 0.05)].entries()) {
    await play(
      40 + seed,
      [
        { at: 2000, fault },
        { at: 2000, fault: { kind: 'stale list', ms: 20_000, forMs: 40_000 } },
        { at: START, fault: { kind: 'leaders end', times: 2, everyMs: 8000, backMs: 3000 } },
      ],
      { machines: 3, load: 2 },
    );
  }
});

test('guests flood, submit a huge array and long work, each and all at once, while a controller ends: all are served', async () => {
  const guests = (what: 'flood' | 'huge array' | 'long work'): Fault => ({
    kind: 'guests',
    what,
    perS: 10,
    forMs: 15_000,
  });
  const crash: TimedFault = { at: START + 5000, fault: { kind: 'crash', nodes: [-1], backMs: 3000 } };
  const all = (['flood', 'huge array', 'long work'] as const).map((what) => ({ at: START, fault: guests(what) }));
  for (const [seed, one] of all.entries()) await play(50 + seed, [one, crash]);
  await play(53, [...all, crash]);
});

// Relaying carried them for as long as the cut lasted, with seconds lost each time a worker tried its owner again.
test('a partition whose workers can not reach its owner for long goes to a controller that they reach, and home again later', async () => {
  const cut: TimedFault = {
    at: START,
    fault: { kind: 'node cut', node: 1, from: 'workers', how: 'lose', forMs: LEASE * 4 },
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

test('times of day jump within what is allowed while partitions and the leadership change hands', async () => {
  for (const seed of [81, 82]) {
    await play(seed, [
      { at: START, fault: { kind: 'clocks jump', everyMs: 700, forMs: 60_000 } },
      { at: START + 5000, fault: { kind: 'leaders end', times: 3, everyMs: 6000, backMs: 2000 } },
      { at: START + 10_000, fault: { kind: 'zone cut', zone: 1, how: 'lose', forMs: CANCEL * 1.2 } },
      { at: START + 30_000, fault: { kind: 'rolling restarts', everyMs: 4000, backMs: 1500 } },
    ]);
  }
});
