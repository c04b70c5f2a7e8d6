// Replica groups on days on which machines and several controllers fail: `GroupAudit` checks the invariants at every
// step, and after the faults every group serves again within a bound that follows from the settings
// (docs/replica-groups-design.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Fault, GROUP_CLASS, runScenario, World, type WorldOptions } from '../src/index';
import { groupCombination, submittedGroups } from './support/group-scenario-generator';

/** Replica groups are only the services of `GROUP_CLASS`, or (`ALL_SERVICES`) all services of a day. */
const FEATURES = { replica_groups: { enabled: true, classes: [GROUP_CLASS], backoff_reports: 1 } };
const ALL_SERVICES = { replica_groups: { enabled: true, classes: [GROUP_CLASS, 'service'], backoff_reports: 1 } };

const RUNS = Number(process.env.GINGERLOCK_RUNS ?? 6);
const SEED = Number(process.env.GINGERLOCK_SEED ?? 391);

type TimedFault = { readonly at: number; readonly fault: Fault };

const groups = (overrides: Partial<Fault & { kind: 'groups' }> = {}): Fault => ({
  kind: 'groups',
  count: 3,
  members: 3,
  gpus: 2,
  everyMs: 1500,
  place: 'any',
  ...overrides,
});

/** The arrival rate of ordinary jobs, as a share of the usual one, on days that are not about them. */
const LIGHT_LOAD = 0.3;

async function play(options: Partial<WorldOptions>, faults: readonly TimedFault[], forMs = 120_000): Promise<World> {
  const seed = options.seed ?? 1;
  const defaults = { controllers: 3, machines: 6, capacity: 8, gpusMax: 40, load: LIGHT_LOAD, features: FEATURES };
  const world = new World({ seed, ...defaults, ...options });
  await runScenario(world, { seed, forMs, faults });
  return world;
}

/** The groups that do not serve although their users still want them, with their states. */
function unservedGroups(world: World): string[] {
  return world.users
    .open()
    .filter(
      (observed) =>
        world.isGroup(observed.spec.id) && !world.users.isUnwanted(observed) && !world.groups.serves(observed.spec.id),
    )
    .map(({ spec }) => `${spec.id} ${world.groups.storedRecords.get(spec.id)?.record.state ?? 'not placed'}`);
}

/** Checks that all wanted groups serve, and that all other jobs have ended. */
function checkFinalState(world: World): void {
  assert.deepEqual(world.violations, []);
  assert.deepEqual(unservedGroups(world), []);
  const open = world.users
    .open()
    .filter((observed) => !world.isGroup(observed.spec.id) || world.users.isUnwanted(observed));
  assert.deepEqual(
    open.map(({ spec }) => spec.id),
    [],
  );
}

test('on a day without faults each group is placed whole once and keeps serving', async () => {
  const world = await play({}, [{ at: 8000, fault: groups() }]);
  checkFinalState(world);
  assert.equal(world.groups.transitionCounts.get('serving'), 3);
  assert.equal(world.groups.transitionCounts.get('ending') ?? 0, 0);
});

for (const controllers of [3, 5]) {
  test(`no invariant of groups is violated by generated troubles with ${controllers} controllers, and all groups serve again`, async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        submittedGroups,
        fc.boolean(),
        fc.array(groupCombination, { minLength: 1, maxLength: 3 }),
        async (seed, submitted, allServices, combinations) => {
          const faults = [{ at: 5000, fault: submitted }, ...combinations.flat()];
          const features = allServices ? ALL_SERVICES : FEATURES;
          const world = await play(
            { seed, controllers, capacity: 12, gpusMax: 80, load: 1, features },
            faults,
            220_000,
          );
          checkFinalState(world);
        },
      ),
      {
        numRuns: RUNS,
        seed: SEED,
        ...(process.env.GINGERLOCK_PATH === undefined ? {} : { path: process.env.GINGERLOCK_PATH }),
        endOnFailure: true,
        includeErrorInReport: true,
      },
    );
  });
}

for (const state of ['reserved', 'admitted', 'serving', 'ending'] as const) {
  for (const what of ['die', 'hang', 'mute', 'notice'] as const) {
    test(`groups serve again after faults of members' machines (${what}) while ${state}, twice in a row and two at once`, async () => {
      const faultOf = (machines: number, afterMs: number): Fault => ({
        kind: 'members trouble',
        state,
        what,
        machines,
        afterMs,
        share: 1,
        forMs: 6000,
      });
      // Groups enter the state for the first time, and again because of this fault.
      const first: Fault = {
        kind: 'members trouble',
        state: 'serving',
        what: 'die',
        machines: 1,
        afterMs: 0,
        share: 1,
        forMs: 1000,
      };
      const world = await play({ seed: 4 }, [
        { at: 8000, fault: groups() },
        { at: 8000, fault: faultOf(1, 0) },
        { at: 40_000, fault: first },
        { at: 40_000, fault: faultOf(2, 150) },
        { at: 52_000, fault: faultOf(2, 0) },
      ]);
      checkFinalState(world);
      assert.ok((world.occurrences.get(`members ${what} while ${state}`) ?? 0) > 0);
    });
  }
}

for (const who of ['leader', 'owners', 'all'] as const) {
  test(`groups serve again after controllers (${who}) end between any two writes of a group`, async () => {
    for (const state of ['reserved', 'admitted', 'serving', 'ending', 'waiting'] as const) {
      const crash = (afterMs: number): Fault => ({
        kind: 'crash at group',
        who,
        state,
        afterMs,
        backMs: 2500,
        forMs: 15_000,
      });
      const dies: Fault = {
        kind: 'members trouble',
        state: 'serving',
        what: 'die',
        machines: 1,
        afterMs: 500,
        share: 1,
        forMs: 8000,
      };
      const world = await play({ seed: 6, controllers: 5 }, [
        { at: 8000, fault: crash(0) },
        { at: 8000, fault: groups({ count: 2 }) },
        { at: 40_000, fault: dies },
        { at: 40_000, fault: crash(70) },
      ]);
      checkFinalState(world);
      assert.ok((world.occurrences.get(`crash while ${state}`) ?? 0) > 0, state);
    }
  });
}

test('a group that is cancelled in any state leaves no tasks running and no records', async () => {
  for (const state of ['reserved', 'admitted', 'serving', 'ending'] as const) {
    const world = await play({ seed: 8 }, [
      { at: 8000, fault: { kind: 'groups cancelled', state, share: 1, forMs: 80_000 } },
      { at: 8000, fault: groups({ count: 4 }) },
      {
        at: 40_000,
        fault: {
          kind: 'members trouble',
          state: 'serving',
          what: 'die',
          machines: 1,
          afterMs: 0,
          share: 1,
          forMs: 1000,
        },
      },
    ]);
    checkFinalState(world);
    assert.ok((world.occurrences.get(`cancelled while ${state}`) ?? 0) > 0, state);
    assert.deepEqual(
      [...world.state.data.keys()].filter((key) => key.startsWith('g/g/')),
      [],
      state,
    );
  }
});

test('a group reserves nothing without free resources, and serves once there are some', async () => {
  const world = new World({ seed: 9, machines: 1, capacity: 0, gpusMax: 40, features: FEATURES, load: 0.01 });
  const faults = [{ at: 3000, fault: groups({ count: 1, members: 4 }) }];
  world.sim.after(60_000, () => {
    assert.equal(world.groups.transitionCounts.get('reserved') ?? 0, 0, 'resources were reserved');
    assert.equal(world.runningTasks().size, 0);
    world.cloud.capacity = 6;
  });
  await runScenario(world, { seed: 9, forMs: 120_000, faults });
  checkFinalState(world);
  assert.equal(world.groups.transitionCounts.get('serving'), 1);
});

test('two groups that contend with ordinary jobs for the last machines are both placed whole', async () => {
  const world = await play({ seed: 12, machines: 4, capacity: 2, gpusMax: 16, load: 2 }, [
    { at: 4000, fault: groups({ count: 2, members: 4, everyMs: 10 }) },
    {
      at: 30_000,
      fault: { kind: 'members trouble', state: 'serving', what: 'die', machines: 1, afterMs: 0, share: 1, forMs: 2000 },
    },
  ]);
  checkFinalState(world);
});

test('a team whose limit fits one group places that group whole and no member of another', async () => {
  const world = await play({ seed: 13, gpusMax: 6, load: 0.01 }, [
    { at: 4000, fault: groups({ count: 2, members: 3, everyMs: 10 }) },
  ]);
  assert.deepEqual(world.violations, []);
  assert.equal(world.peakGpus, 6);
  // The limit of each of the two teams fits one group.
  const perTeam = new Map<string, number>();
  for (const { spec } of world.users.open())
    if (world.groups.serves(spec.id)) perTeam.set(spec.team, (perTeam.get(spec.team) ?? 0) + 1);
  for (const [team, count] of perTeam) assert.equal(count, 1, team);
});

test('groups on spot machines end whole when these are reclaimed, and serve again', async () => {
  // Without machines at the start, the groups' machines are rented as spot machines.
  const world = await play({ seed: 14, machines: 0 }, [
    { at: 4000, fault: groups({ place: 'spot' }) },
    { at: 40_000, fault: { kind: 'spot wave', share: 1, noticeMs: 3000 } },
  ]);
  checkFinalState(world);
  assert.ok((world.groups.transitionCounts.get('ending') ?? 0) > 0);
});
