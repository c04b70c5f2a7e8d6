import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { runScenario, World, type WorldOptions } from '../src/index';
import { combination, size } from './support/scenario-generator';

test('no invariant is violated on a quiet day, and its work gets done', async () => {
  const world = new World({ seed: 8 });
  await runScenario(world, { seed: 8, forMs: 120_000, faults: [] });
  assert.deepEqual(world.violations, []);
  assert.ok(world.users.finished() > 5, `${world.users.finished()} jobs done`);
  assert.deepEqual(world.users.open(), []);
  assert.ok(world.state.largestTxn <= 12);
});

/** So many times the usual arrivals are what the state service's limit on changes can take. */
const MOST_LOAD = 10;

/** A fleet of the size that operators have, instead of a generated one, with more users. */
function sizeFromEnvironment(): Partial<WorldOptions> {
  const machines = Number(process.env.GINGERLOCK_MACHINES ?? 0);
  if (machines === 0) return {};
  return {
    machines,
    capacity: machines,
    load: Math.min(MOST_LOAD, machines / 30),
    gpusMax: machines * 2,
    controllers: 5,
  };
}

test('no rule is broken by generated troubles, alone and together, and afterwards all work gets done', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      size,
      fc.array(combination, { minLength: 1, maxLength: 4 }),
      async (seed, size, combinations) => {
        const world = new World({ seed, ...size, ...size.times, ...sizeFromEnvironment() });
        // Users come in its first half; what is left then has three times the longest wait to get done.
        const forMs = Math.max(200_000, size.times.cancellationBoundS * 6000);
        await runScenario(world, { seed, forMs, faults: combinations.flat() });
        assert.deepEqual(world.violations, []);
        assert.deepEqual(world.users.open(), []);
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 25),
      seed: Number(process.env.GINGERLOCK_SEED ?? 391),
      // One day of a run alone, by the path that the run gave when it failed.
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
});
