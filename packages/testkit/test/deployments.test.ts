// Deployments given as data: several machine types, zones without a controller, skewed clocks, fleets without machines.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machineTypesMap } from '@gingerlock/wire';
import fc from 'fast-check';
import { ONE_TYPE, runScenario, TWO_TYPES, World } from '../src/index';
import { combination, deployment, size } from './support/scenario-generator';

test('all jobs finish in a deployment of two machine types that starts without machines', async () => {
  const world = new World({ seed: 5, machines: 0, capacity: 4, deployment: TWO_TYPES });
  await runScenario(world, { seed: 5, forMs: 120_000, faults: [] });
  assert.deepEqual(world.violations, []);
  assert.ok(world.users.finished() > 5, `${world.users.finished()} jobs finished`);
  assert.deepEqual(world.users.open(), []);
});

test('generated troubles in generated deployments violate no invariant', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      size,
      deployment,
      fc.constantFrom(0, 6),
      fc.array(combination, { minLength: 1, maxLength: 3 }),
      async (seed, size, deployment, machines, combinations) => {
        const world = new World({ seed, ...size, ...size.times, machines, deployment });
        const forMs = Math.max(200_000, size.times.cancellationBoundS * 6000);
        await runScenario(world, { seed, forMs, faults: combinations.flat() });
        assert.deepEqual(world.violations, []);
        assert.deepEqual(world.users.open(), []);
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 12),
      seed: Number(process.env.GINGERLOCK_SEED ?? 391),
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
});

test('cutting off any zone, with or without a controller, violates no invariant, and tasks start there afterwards', async () => {
  for (const [zone, name] of TWO_TYPES.zones.entries()) {
    const world = new World({ seed: 40 + zone, machines: 8, capacity: 4, deployment: TWO_TYPES });
    const faults = [{ at: 20_000, fault: { kind: 'zone cut' as const, zone, how: 'hold' as const, forMs: 40_000 } }];
    let startsInZone = 0;
    const { onTask } = world;
    world.onTask = (task, machine) => {
      if (world.sim.now > 60_000 && world.workers.get(machine)?.zone === name) startsInZone++;
      onTask.call(world, task, machine);
    };
    await runScenario(world, { seed: 40 + zone, forMs: 200_000, faults });
    assert.deepEqual(world.violations, [], name);
    assert.deepEqual(world.users.open(), [], name);
    assert.ok(startsInZone > 0, `tasks started in ${name} after the cut`);
  }
});

test('clocks that jump within the allowed skew of 1 s violate no invariant while controllers restart', async () => {
  const faults = [
    { at: 5000, fault: { kind: 'clocks jump' as const, everyMs: 700, forMs: 90_000 } },
    { at: 10_000, fault: { kind: 'leaders end' as const, times: 4, everyMs: 4000, backMs: 500 } },
    { at: 30_000, fault: { kind: 'rolling restarts' as const, everyMs: 3000, backMs: 400 } },
    { at: 45_000, fault: { kind: 'cancel now' as const, count: 6, hangMs: 8000 } },
    { at: 46_000, fault: { kind: 'state outage' as const, forMs: 25_000 } },
  ];
  for (const seed of [61, 62, 63]) {
    const world = new World({ seed, machines: 6, deployment: { ...ONE_TYPE, maxClockSkewMs: 1000 } });
    await runScenario(world, { seed, forMs: 200_000, faults });
    assert.deepEqual(world.violations, [], `seed ${seed}`);
    assert.deepEqual(world.users.open(), [], `seed ${seed}`);
  }
});

test('machine types that are invalid or no longer listed are not rented, and machines of these types still get tasks', async () => {
  const world = new World({ seed: 71, machines: 8, capacity: 4, deployment: TWO_TYPES });
  const invalidFromMs = 30_000;
  // Controllers read the types again every ten list lags.
  const invalidUntilMs = 90_000;
  const large = { ...TWO_TYPES.types[1]!, price: NaN, spotPrice: 0, bootS: -3, fetchGbPerS: 0 };
  world.sim.after(invalidFromMs, () => {
    world.cloud.listedTypes = machineTypesMap([large, large, { ...large, name: '' }]);
  });
  world.sim.after(invalidUntilMs, () => {
    world.cloud.listedTypes = null;
  });
  const [readWithinMs, marginMs] = [25_000, 5_000];
  let rentedAtStart = 0;
  let rentedAtEnd = 0;
  let startsWhileInvalid = 0;
  const { onTask } = world;
  world.onTask = (task, machine) => {
    if (world.sim.now > invalidFromMs + readWithinMs && world.sim.now < invalidUntilMs) startsWhileInvalid++;
    onTask.call(world, task, machine);
  };
  world.sim.after(invalidFromMs + readWithinMs, () => (rentedAtStart = world.cloud.machinesRented));
  world.sim.after(invalidUntilMs - marginMs, () => (rentedAtEnd = world.cloud.machinesRented));
  await runScenario(world, { seed: 71, forMs: 200_000, faults: [] });
  assert.equal(rentedAtEnd, rentedAtStart);
  assert.ok(world.cloud.machinesRented > rentedAtEnd, 'machines are rented once the types are listed again');
  assert.ok(startsWhileInvalid > 5, `${startsWhileInvalid} tasks started`);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
});
