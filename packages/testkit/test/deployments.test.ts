// Deployments as data: several machine types, zones without a controller, clocks that are off, a fleet that starts empty.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { playDay, TWO_TYPES, World } from '../src/index';
import { combination, deployment, size } from './day-generator';

test('a fleet of two types that starts empty gets its work done', async () => {
  const world = new World({ seed: 5, machines: 0, capacity: 4, deployment: TWO_TYPES });
  await playDay(world, { seed: 5, forMs: 120_000, faults: [] });
  assert.deepEqual(world.breaches, []);
  assert.ok(world.users.finished() > 5, `${world.users.finished()} jobs done`);
  assert.deepEqual(world.users.open(), []);
});

test('no rule is broken by generated troubles in generated deployments', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      size,
      deployment,
      fc.constantFrom(0, 6),
      fc.array(combination, { minLength: 1, maxLength: 3 }),
      async (seed, size, deployment, machines, combinations) => {
        const world = new World({ seed, ...size, ...size.times, machines, deployment });
        const forMs = Math.max(200_000, size.times.cancelS * 6000);
        await playDay(world, { seed, forMs, faults: combinations.flat() });
        assert.deepEqual(world.breaches, []);
        assert.deepEqual(world.users.open(), []);
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 12),
      seed: Number(process.env.GINGERLOCK_SEED ?? 391),
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
    },
  );
});
