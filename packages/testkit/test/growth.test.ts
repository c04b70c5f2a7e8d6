import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, World } from '../src/index';

/** Counts that grow linearly with the fleet may exceed the linear value by this factor, for random variation. */
const LINEAR_TOLERANCE = 1.25;

/** Counts are summed over several seeds: in one small scenario they depend on how many machines stay rented. */
const SEEDS = [6, 7, 8, 9];

/** Runs a scenario without faults in a fleet of `times` the base size. */
async function runWithoutFaults(seed: number, times: number): Promise<World> {
  const world = new World({
    seed,
    controllers: 5,
    machines: 10 * times,
    capacity: 6 * times,
    load: times,
    gpusMax: 10 * times,
  });
  await runScenario(world, { seed, forMs: 60_000, faults: [] });
  assert.deepEqual(world.violations, []);
  return world;
}

// The capacity of the state service and the share of a core that each controller has do not grow with the fleet. The
// test counts work, as elapsed time would depend on the machine that runs it.
test('requests, changes and messages between controllers grow no faster than the fleet and its jobs', async () => {
  const counts: Record<string, number>[] = [];
  for (const times of [1, 2, 4]) {
    const sums = { requests: 0, changes: 0, peerBytes: 0, peerMessages: 0 };
    for (const seed of SEEDS) {
      const world = await runWithoutFaults(seed, times);
      sums.requests += world.state.requests;
      sums.changes += world.state.changes;
      sums.peerBytes += world.peerBytes;
      sums.peerMessages += world.peerMessages;
    }
    counts.push(sums);
  }
  for (const what of Object.keys(counts[0]!)) {
    const [one, two, four] = counts.map((c) => c[what]!) as [number, number, number];
    assert.ok(one > 0, what);
    assert.ok(two <= one * 2 * LINEAR_TOLERANCE, `${what}: ${one}, then ${two}`);
    assert.ok(four <= two * 2 * LINEAR_TOLERANCE, `${what}: ${two}, then ${four}`);
  }
});

test('requests and changes of one controller that owns every partition grow no faster than the fleet', async () => {
  const counts: { requests: number; changes: number }[] = [];
  for (const times of [1, 4]) {
    const world = new World({
      seed: 6,
      controllers: 5,
      machines: 10 * times,
      capacity: 6 * times,
      load: times,
      gpusMax: 10 * times,
    });
    world.sim.after(15_000, () => {
      for (const name of world.controllers.slice(1)) world.crash(name);
    });
    await runScenario(world, { seed: 6, forMs: 60_000, faults: [] });
    assert.deepEqual(world.violations, []);
    assert.equal(world.nodes[0]!.controller!.owned().length, 5);
    assert.ok(world.users.finished() > 0);
    counts.push({ requests: world.state.requests, changes: world.state.changes });
  }
  const [one, four] = counts as [(typeof counts)[0], (typeof counts)[0]];
  assert.ok(four.requests <= one.requests * 4 * LINEAR_TOLERANCE, `${one.requests}, then ${four.requests}`);
  assert.ok(four.changes <= one.changes * 4 * LINEAR_TOLERANCE, `${one.changes}, then ${four.changes}`);
});
