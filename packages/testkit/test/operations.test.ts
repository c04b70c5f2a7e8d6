// Troubles that on-call met, each played as a whole day of the simulated world: no rule is broken, and all work gets done.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Fault, playDay, World, type WorldOptions } from '../src/index';

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** Settings of the stand-ins. */
const REPORT = 1000;
const CANCEL = 20_000;
const START = 15_000;

async function play(seed: number, faults: readonly TimedFault[], options: Partial<WorldOptions> = {}): Promise<World> {
  const world = new World({ seed, controllers: 5, machines: 9, ...options });
  await playDay(world, { seed, forMs: 150_000, faults });
  assert.deepEqual(world.breaches, []);
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
    world.workers.get(name)!.unhealthy = true;
    world.everUnhealthy.add(name);
  }
  const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 3, zone: null, spread: false, oneZone: false };
  void world.users.live(spec, null);
  const started = world.sim.now;
  while (world.users.told.get(spec.id)?.final !== 'done') await world.sim.run(world.sim.now + REPORT);
  assert.ok(world.sim.now - started < 2 * CANCEL, `${world.sim.now - started} ms`);
  assert.deepEqual(world.breaches, []);
});
