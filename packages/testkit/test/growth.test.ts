import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, World } from '../src/index';

/** Work that grows in step with the fleet, give or take what chance does to some days. */
const IN_STEP = 1.25;

/** How many machines stay rented on a small day is chance: one day alone would measure that. */
const SEEDS = [6, 7, 8, 9];

/** A quiet day of a fleet so many times as large. */
async function playOf(seed: number, times: number): Promise<World> {
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

// Five controllers share a state service that does not grow, and each has the same fraction of a core: work is
// counted, as time would say more of the machine that runs the test.
test('requests, changes and messages between controllers grow no faster than the fleet and its jobs', async () => {
  const counts: Record<string, number>[] = [];
  for (const times of [1, 2, 4]) {
    const sums = { requests: 0, changes: 0, peerBytes: 0, peerMessages: 0 };
    for (const seed of SEEDS) {
      const world = await playOf(seed, times);
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
    assert.ok(two <= one * 2 * IN_STEP, `${what}: ${one}, then ${two}`);
    assert.ok(four <= two * 2 * IN_STEP, `${what}: ${two}, then ${four}`);
  }
});

test('what one controller that owns every partition asks of the state service grows no faster than the fleet', async () => {
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
  assert.ok(four.requests <= one.requests * 4 * IN_STEP, `${one.requests}, then ${four.requests}`);
  assert.ok(four.changes <= one.changes * 4 * IN_STEP, `${one.changes}, then ${four.changes}`);
});
