// Borrowing of GPUs in whole deployments: surges and returns, with faults between two steps of a reclaim.
// `BorrowingAudit` checks again and again that no reclaim takes a team below its guarantee, that nothing is promised
// twice, and that every reclaim ends.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseTaskName } from '@gingerlock/wire';
import { type Fault, runScenario, RECLAIM_PREFIX, type ReclaimStep, World, type WorldOptions } from '../src/index';

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

const BATCH_AT = 5000;
const SURGE_AT = 22_000;

/** A fleet of at most two ordinary and two spot machines in each of three zones: 48 GPUs. */
const SMALL: Partial<WorldOptions> = {
  controllers: 3,
  machines: 6,
  capacity: 2,
  load: 0.2,
  gpusMax: 40,
  guaranteedGpus: 8,
  features: { borrowing: { enabled: true, max_share: 0.5 } },
};

/** Batch work of one team takes all GPUs, the other team has a surge, and more batch work arrives before that ends. */
const SURGE_AND_RETURN: readonly TimedFault[] = [
  { at: BATCH_AT, fault: { kind: 'batch wave', team: 1, tasks: 60, estimateS: 40 } },
  { at: SURGE_AT, fault: { kind: 'surge', team: 0, replicas: 12, everyMs: 300, forMs: 40_000 } },
  { at: SURGE_AT + 30_000, fault: { kind: 'batch wave', team: 1, tasks: 20, estimateS: 20 } },
];

async function play(
  seed: number,
  faults: readonly TimedFault[],
  options: Partial<WorldOptions> = {},
  base: readonly TimedFault[] = SURGE_AND_RETURN,
): Promise<World> {
  const world = new World({ seed, ...SMALL, ...options });
  await runScenario(world, { seed, forMs: 240_000, faults: [...base, ...faults] });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
  return world;
}

test('a surge borrows GPUs of batch work and returns them', async () => {
  for (const seed of [1, 2]) {
    const world = await play(seed, []);
    assert.ok((world.occurrences.get('reclaim') ?? 0) > 2, `${world.occurrences.get('reclaim')} reclaims`);
    assert.equal(world.borrowing.stored.size, 0);
  }
});

test('all work gets done when a surge grows during its reclaims and another ends within a second', async () => {
  const world = await play(3, [
    { at: SURGE_AT + 600, fault: { kind: 'surge', team: 0, replicas: 14, everyMs: 50, forMs: 20_000 } },
    { at: SURGE_AT + 1000, fault: { kind: 'surge', team: 0, replicas: 6, everyMs: 20, forMs: 900 } },
  ]);
  assert.ok((world.occurrences.get('reclaim') ?? 0) > 2);
});

test('a team exactly at its guarantee loses no task to another team at its guarantee', async () => {
  const waves = [0, 1].map((team) => ({
    at: BATCH_AT,
    fault: { kind: 'batch wave' as const, team, tasks: 60, estimateS: 30 },
  }));
  const surge: TimedFault = {
    at: SURGE_AT,
    fault: { kind: 'surge', team: 0, replicas: 6, everyMs: 300, forMs: 30_000 },
  };
  for (const seed of [4, 5]) {
    const world = new World({ seed, ...SMALL, load: 0.01, gpusMax: 24, guaranteedGpus: 24 });
    const taken: string[] = [];
    const teamOf = (job: string): string => world.job(job)!.team;
    world.state.onStored = (key) => {
      if (!key.startsWith(RECLAIM_PREFIX)) return;
      world.borrowing.audit(Infinity);
      const { record } = world.borrowing.stored.get(key)!;
      for (const { task } of record.victims) {
        if (teamOf(parseTaskName(task)!.job) !== teamOf(record.job)) taken.push(task);
      }
    };
    await runScenario(world, { seed, forMs: 200_000, faults: [...waves, surge] });
    assert.deepEqual(world.violations, []);
    assert.deepEqual(taken, []);
  }
});

test('two teams near their guarantees do not keep preempting each other', async () => {
  // With tasks of two GPUs a team can not use exactly its guarantee of 11: it is one GPU below or above.
  const jobs = { gpus: 2, cpus: 2, memoryGb: 8, zone: null, oneZone: false, spread: false };
  const waves = [0, 1, 0, 1].map((team, i) => ({
    at: BATCH_AT + i * 3000,
    fault: { kind: 'batch wave' as const, team, tasks: 25, estimateS: 25 },
  }));
  for (const seed of [6, 7]) {
    const world = await play(seed, [], { jobs, guaranteedGpus: 11, gpusMax: 30, load: 0.1 }, waves);
    assert.ok(
      Math.max(0, ...world.borrowing.victimCounts.values()) <= 3,
      [...world.borrowing.victimCounts.values()].join(),
    );
  }
});

for (const who of ['leader', 'owner', 'both'] as const) {
  test(`no invariant is violated when the ${who === 'both' ? 'leader and the owner end' : `${who} ends`} at any step of a reclaim`, async () => {
    for (const [i, step] of (['decided', 'stopping', 'freed'] as ReclaimStep[]).entries()) {
      const crash: Fault = { kind: 'crash at reclaim', who, step, backMs: 1500, forMs: 60_000 };
      const world = await play(10 + i, [{ at: SURGE_AT - 5000, fault: crash }], { jobs: { checkpointS: 5, saveS: 1 } });
      assert.ok((world.occurrences.get(`crash at ${step}`) ?? 0) > 0, step);
    }
  });
}

for (const what of ['hang', 'mute', 'notice', 'die'] as const) {
  test(`no invariant is violated when machines of a reclaim's victims fail: ${what}`, async () => {
    const fault: Fault = { kind: 'victims trouble', what, share: 0.5, forMs: 5000 };
    const world = await play(20, [{ at: SURGE_AT, fault: fault }]);
    assert.ok((world.occurrences.get(`victims ${what}`) ?? 0) > 0);
  });
}

test('no invariant is violated when jobs are cancelled while GPUs are reclaimed for them', async () => {
  const cancelled: Fault = { kind: 'beneficiaries cancelled', share: 0.7, forMs: 30_000 };
  const world = await play(30, [{ at: SURGE_AT, fault: cancelled }], { jobs: { checkpointS: 5, saveS: 2 } });
  assert.ok((world.occurrences.get('reclaim') ?? 0) > 2);
});

test('all work gets done although writes of reclaims stay unanswered or take effect late', async () => {
  for (const atOnce of [true, false]) {
    const late: Fault = { kind: 'late writes', share: 0.4, atOnce, forMs: 30_000 };
    const world = await play(31, [{ at: SURGE_AT - 1000, fault: late }]);
    assert.ok((world.occurrences.get('reclaim') ?? 0) > 0);
  }
});

test('all work gets done despite an outage of the state service during most of a surge', async () => {
  await play(32, [{ at: SURGE_AT + 700, fault: { kind: 'state outage', forMs: 30_000 } }]);
});

test('all work gets done although partitions change owners throughout a surge and a zone is cut off', async () => {
  await play(33, [
    { at: SURGE_AT, fault: { kind: 'rolling restarts', everyMs: 4000, backMs: 1500 } },
    { at: SURGE_AT + 3000, fault: { kind: 'zone cut', zone: 1, how: 'hold', forMs: 15_000 } },
  ]);
});

test('guests yield to the teams with a guarantee, and their work gets done in the end', async () => {
  const guests: Fault = { kind: 'guests', what: 'long work', perS: 1, forMs: 5000 };
  await play(34, [{ at: BATCH_AT, fault: guests }], { jobs: { gpus: 1 } });
});

test('nothing is reclaimed for a team beyond its limit', async () => {
  const wave: TimedFault = { at: BATCH_AT, fault: { kind: 'batch wave', team: 1, tasks: 20, estimateS: 20 } };
  const surge: TimedFault = {
    at: SURGE_AT,
    fault: { kind: 'surge', team: 0, replicas: 20, everyMs: 300, forMs: 30_000 },
  };
  const world = await play(35, [], { gpusMax: 12 }, [wave, surge]);
  assert.ok(world.peakGpus <= 12);
});

test('with hundreds of small tasks as candidates for reclaims, no task is chosen as a victim more than three times', async () => {
  const tiny = { gpus: 0.1, cpus: 0.1, memoryGb: 0.5, zone: null, oneZone: false, spread: false };
  const world = new World({ seed: 36, ...SMALL, load: 0.01 });
  const small = { ...world.randomJob(), ...tiny, team: 'blue', kind: 'array', priority: 'low', tasks: 480 } as const;
  world.sim.after(
    BATCH_AT,
    () => void world.users.submitAndFollow({ ...small, spot: true, types: null, estimateS: 60 }, null),
  );
  const surge: Fault = { kind: 'surge', team: 0, replicas: 10, everyMs: 300, forMs: 30_000 };
  await runScenario(world, { seed: 36, forMs: 240_000, faults: [{ at: SURGE_AT, fault: surge }] });
  assert.deepEqual(world.violations, []);
  assert.ok((world.occurrences.get('reclaim') ?? 0) > 0);
  assert.ok(Math.max(...world.borrowing.victimCounts.values()) <= 3);
});

const anyFault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('crash at reclaim' as const),
    who: fc.constantFrom('leader', 'owner', 'both'),
    step: fc.constantFrom('decided', 'stopping', 'freed'),
    backMs: fc.integer({ min: 300, max: 8000 }),
    forMs: fc.constant(40_000),
  }),
  fc.record({
    kind: fc.constant('victims trouble' as const),
    what: fc.constantFrom('hang', 'mute', 'notice', 'die'),
    share: fc.constantFrom(0.3, 0.8),
    forMs: fc.integer({ min: 1000, max: 9000 }),
  }),
  fc.record({
    kind: fc.constant('beneficiaries cancelled' as const),
    share: fc.constantFrom(0.3, 0.8),
    forMs: fc.constant(30_000),
  }),
  fc.record({
    kind: fc.constant('surge' as const),
    team: fc.nat(1),
    replicas: fc.integer({ min: 1, max: 15 }),
    everyMs: fc.constantFrom(30, 400, 1500),
    forMs: fc.integer({ min: 500, max: 30_000 }),
  }),
  fc.record({
    kind: fc.constant('batch wave' as const),
    team: fc.nat(1),
    tasks: fc.integer({ min: 5, max: 50 }),
    estimateS: fc.integer({ min: 3, max: 30 }),
  }),
  fc.record({ kind: fc.constant('state outage' as const), forMs: fc.integer({ min: 500, max: 30_000 }) }),
  fc.record({
    kind: fc.constant('late writes' as const),
    share: fc.constantFrom(0.2, 0.6),
    atOnce: fc.boolean(),
    forMs: fc.constant(20_000),
  }),
  fc.record({
    kind: fc.constant('freeze' as const),
    node: fc.integer({ min: -1, max: 2 }),
    forMs: fc.integer({ min: 500, max: 15_000 }),
    wakes: fc.constantFrom('input first', 'timers first'),
  }),
  fc.record({
    kind: fc.constant('zone cut' as const),
    zone: fc.nat(2),
    how: fc.constantFrom('hold', 'lose'),
    forMs: fc.integer({ min: 1000, max: 25_000 }),
  }),
);

test('no invariant is violated by generated troubles around surges and returns', async () => {
  const timed = fc.record({ at: fc.integer({ min: 8000, max: 60_000 }), fault: anyFault });
  const options = fc.record({
    guaranteedGpus: fc.constantFrom(0, 4, 8, 11, 24),
    gpusMax: fc.constantFrom(24, 40),
    jobs: fc.constantFrom({}, { checkpointS: 5, saveS: 2 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      options,
      fc.array(timed, { minLength: 1, maxLength: 5 }),
      async (seed, generated, faults) => {
        await play(seed, faults, { ...generated, gpusMax: Math.max(generated.gpusMax, generated.guaranteedGpus) });
      },
    ),
    {
      numRuns: Number(process.env.GINGERLOCK_RUNS ?? 10),
      seed: Number(process.env.GINGERLOCK_SEED ?? 391),
      ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
      endOnFailure: true,
    },
  );
});
