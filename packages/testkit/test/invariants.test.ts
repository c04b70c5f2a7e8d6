import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { runScenario, World, type WorldOptions } from '../src/index';
import { combination, size } from './support/scenario-generator';

test('a scenario without faults violates no invariant, and all its jobs finish', async () => {
  const world = new World({ seed: 8 });
  await runScenario(world, { seed: 8, forMs: 120_000, faults: [] });
  assert.deepEqual(world.violations, []);
  assert.ok(world.users.finished() > 5, `${world.users.finished()} jobs finished`);
  assert.deepEqual(world.users.open(), []);
  assert.ok(world.state.largestTxn <= 12);
});

/** The most arrivals, as a multiple of the usual ones, that fit the state service's limit on changes. */
const MAX_LOAD = 10;

/** Options for the fleet size in GINGERLOCK_MACHINES, with more users; empty if it is not set. */
function optionsFromEnvironment(): Partial<WorldOptions> {
  const machines = Number(process.env.GINGERLOCK_MACHINES ?? 0);
  if (machines === 0) return {};
  return {
    machines,
    capacity: machines,
    load: Math.min(MAX_LOAD, machines / 30),
    gpusMax: machines * 2,
    controllers: 5,
  };
}

test('generated troubles, alone and combined, violate no invariant, and all jobs finish afterwards', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      size,
      fc.array(combination, { minLength: 1, maxLength: 4 }),
      async (seed, size, combinations) => {
        const world = new World({ seed, ...size, ...size.times, ...optionsFromEnvironment() });
        // Users submit jobs in the first half; the jobs then have at least three cancellation bounds to finish.
        const forMs = Math.max(200_000, size.times.cancellationBoundS * 6000);
        await runScenario(world, { seed, forMs, faults: combinations.flat() });
        assert.deepEqual(world.violations, []);
        assert.deepEqual(world.users.open(), []);
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 25),
      seed: Number(process.env.GINGERLOCK_SEED ?? 391),
      // Runs only the scenario at the path that a failed run printed.
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
});

test('generated troubles violate no invariant while malformed bytes arrive from users, machines and peers', async () => {
  const malformed = fc.record({
    kind: fc.constant('malformed bytes' as const),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    perS: fc.integer({ min: 1, max: 8 }),
    forMs: fc.constant(120_000),
  });
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      size,
      fc.array(combination, { minLength: 1, maxLength: 3 }),
      malformed,
      async (seed, size, combinations, fault) => {
        const world = new World({ seed, ...size, ...size.times, ...optionsFromEnvironment() });
        const forMs = Math.max(200_000, size.times.cancellationBoundS * 6000);
        await runScenario(world, { seed, forMs, faults: [{ at: 5000, fault }, ...combinations.flat()] });
        assert.deepEqual(world.violations, []);
        assert.deepEqual(world.users.open(), []);
        refused += world.occurrences.get('malformed request refused') ?? 0;
        // A request may get lost, or reach a controller that is down.
        const unexpected = [...world.occurrences.keys()].filter((what) => what.startsWith('malformed request got'));
        assert.deepEqual(unexpected, []);
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 5),
      seed: Number(process.env.GINGERLOCK_SEED ?? 601),
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
  assert.ok(refused > 1000, `${refused} were refused`);
});
