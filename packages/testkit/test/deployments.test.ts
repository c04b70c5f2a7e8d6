// Deployments as data: several machine types, zones without a controller, clocks that are off, a fleet that starts
// empty.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machineTypesMap } from '@gingerlock/wire';
import fc from 'fast-check';
import { ONE_TYPE, runScenario, TWO_TYPES, World } from '../src/index';
import { combination, deployment, size } from './support/scenario-generator';

test('a fleet of two types that starts empty gets its work done', async () => {
  const world = new World({ seed: 5, machines: 0, capacity: 4, deployment: TWO_TYPES });
  await runScenario(world, { seed: 5, forMs: 120_000, faults: [] });
  assert.deepEqual(world.violations, []);
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

test('a cut of any zone, of the one without a controller too, violates no invariant, and its machines serve again', async () => {
  for (const [zone, name] of TWO_TYPES.zones.entries()) {
    const world = new World({ seed: 40 + zone, machines: 8, capacity: 4, deployment: TWO_TYPES });
    const faults = [{ at: 20_000, fault: { kind: 'zone cut' as const, zone, how: 'hold' as const, forMs: 40_000 } }];
    let startsThere = 0;
    const { onTask } = world;
    world.onTask = (task, machine) => {
      if (world.sim.now > 60_000 && world.workers.get(machine)?.zone === name) startsThere++;
      onTask.call(world, task, machine);
    };
    await runScenario(world, { seed: 40 + zone, forMs: 200_000, faults });
    assert.deepEqual(world.violations, [], name);
    assert.deepEqual(world.users.open(), [], name);
    assert.ok(startsThere > 0, `${name} serves again`);
  }
});

test('clocks that jump from one end of a second to the other violate no invariant while controllers change', async () => {
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

test('nothing is rented of types that make no sense or are no longer listed, and their machines are served', async () => {
  const world = new World({ seed: 71, machines: 8, capacity: 4, deployment: TWO_TYPES });
  const from = 30_000;
  // Types are read again every ten list lags.
  const until = 90_000;
  const large = { ...TWO_TYPES.types[1]!, price: NaN, spotPrice: 0, bootS: -3, fetchGbPerS: 0 };
  world.sim.after(from, () => {
    world.cloud.listedTypes = machineTypesMap([large, large, { ...large, name: '' }]);
  });
  world.sim.after(until, () => {
    world.cloud.listedTypes = null;
  });
  const [beforeSwitch, beforeReturn] = [25_000, 5_000];
  let rentedWhenRead = 0;
  let rentedAtEnd = 0;
  let startsMeanwhile = 0;
  const { onTask } = world;
  world.onTask = (task, machine) => {
    if (world.sim.now > from + beforeSwitch && world.sim.now < until) startsMeanwhile++;
    onTask.call(world, task, machine);
  };
  world.sim.after(from + beforeSwitch, () => (rentedWhenRead = world.cloud.machinesRented));
  world.sim.after(until - beforeReturn, () => (rentedAtEnd = world.cloud.machinesRented));
  await runScenario(world, { seed: 71, forMs: 200_000, faults: [] });
  assert.equal(rentedAtEnd, rentedWhenRead);
  assert.ok(world.cloud.machinesRented > rentedAtEnd, 'later some are rented again');
  assert.ok(startsMeanwhile > 5, `${startsMeanwhile} tasks started`);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
});
