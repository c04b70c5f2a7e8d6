// A replica group loses its machines while it waits out its backoff, and is not served again if the cloud has no other
// ones. What happened: after its second failed generation the record of a group stayed `waiting` for good. Why: the
// machines of members are exempt from scaling in, but a record that waits has no members, and a group in its backoff is
// no demand either. So the leader took the machines that had just been emptied for idle ones and returned them, 0.4 to
// 0.6 s after `group waiting`, also some that the group needed to be whole. It then asked the cloud for them anew:
//   group waiting            generation 2, failures 2, machine m-000003   (five machines with all GPUs free)
//   machines scaled in       m-000002, m-000006, m-000003
//   scale-out refused: no capacity
//   group unschedulable      missing 3
// A new leader showed a second way (day of seed 6, leader ends 70 ms after `waiting`): a partition changed hands during
// the backoff and showed no machines for a second, so that the group fitted nowhere. The machine that it avoids was not
// among those found for its other members, and went as idle:
//   partition acquired       resource 0                            at 48.03 s
//   group not placed         why 'no machines', avoided m-000006   at 48.08 s
//   group not placed         why 'backoff'                         at 49.15 s (all machines are seen again)
//   machines scaled in       m-000006                              at 49.45 s
// The loopback test met the first beside load, when emptying the machines took longer. Here the cloud has no other machines from
// the moment at which the group first serves, and each day repeats exactly.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseTaskName, taskName } from '@gingerlock/wire';
import { type Fault, GROUP_CLASS, runScenario, World, type WorldOptions } from '../src/index';

/** Whole machines of the deployment for each of three members. */
const GROUP: Fault = { kind: 'groups', count: 1, members: 3, gpus: 4, everyMs: 1, place: 'any' };
const SUBMITTED_AT = 8000;
const DAY_MS = 300_000;

/** How often the process of a member fails, each time after the group has served for a moment. */
const FAILURES = 4;
const SERVES_FOR_MS = 1000;
const POLL_MS = 100;

/** When the leader's process ends, after the group has come to the state; it is back later. */
interface LeaderCrash {
  readonly state: 'ending' | 'waiting';
  readonly afterMs: number;
  readonly backMs: number;
}

function unservedGroups(world: World): string[] {
  return world.users
    .open()
    .filter(({ spec }) => world.isGroup(spec.id) && !world.groups.serves(spec.id))
    .map(({ spec }) => `${spec.id} ${world.groups.seen.get(spec.id)?.record.state ?? 'not placed'}`);
}

/** The process of a member ends with an error. */
function failMember(world: World, job: string, rank: number): void {
  const name = taskName(job, rank);
  for (const worker of world.workers.values()) {
    for (const { task, attempt } of [...worker.tasks.values()]) if (task === name) worker.fail(name, attempt);
  }
}

/** Fails a member whenever the group has come to serve, some times. From the first time on the cloud is full. */
function failAgainAndAgain(world: World, leftCount = FAILURES): void {
  const { sim } = world;
  const serving = [...world.groups.seen].find(([job]) => world.groups.serves(job))?.[0];
  if (serving === undefined || leftCount === 0) {
    if (leftCount > 0) sim.after(POLL_MS, () => failAgainAndAgain(world, leftCount));
    return;
  }
  world.cloud.capacity = 0;
  sim.after(SERVES_FOR_MS, () => {
    failMember(world, serving, leftCount % 3);
    world.recordOccurrence('member failed');
    sim.after(POLL_MS, () => failAgainAndAgain(world, leftCount - 1));
  });
}

/** The leader ends each time that a group comes to the state. */
function crashLeaderAt(world: World, { state, afterMs, backMs }: LeaderCrash): Fault {
  return { kind: 'crash at group', who: 'leader', state, afterMs, backMs, forMs: world.workerLeaseMs * 10 };
}

async function playFailures(options: Partial<WorldOptions>, crash: LeaderCrash | null): Promise<World> {
  const seed = options.seed ?? 1;
  const features = { replica_groups: { enabled: true, classes: [GROUP_CLASS] } };
  const usual = { controllers: 3, machines: 6, capacity: 2, gpusMax: 40, load: 0.01, features };
  const world = new World({ seed, ...usual, ...options });
  failAgainAndAgain(world);
  const crashes = crash === null ? [] : [{ at: SUBMITTED_AT, fault: crashLeaderAt(world, crash) }];
  await runScenario(world, { seed, forMs: DAY_MS, faults: [{ at: SUBMITTED_AT, fault: GROUP }, ...crashes] });
  return world;
}

function checkServed(world: World): void {
  assert.equal(world.happened.get('member failed'), FAILURES);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(unservedGroups(world), []);
  assert.equal([...world.runningTasks().keys()].filter((name) => world.isGroup(parseTaskName(name)!.job)).length, 3);
}

test('a group whose members fail again and again keeps its machines through each backoff of a full cloud', async () => {
  for (const seed of [1, 2, 3, 4, 5]) checkServed(await playFailures({ seed }, null));
});

for (const state of ['ending', 'waiting'] as const) {
  test(`a group keeps its machines when the leader ends as it is ${state}`, async () => {
    for (const afterMs of [0, 70, 400, 1500])
      checkServed(await playFailures({ seed: 6 }, { state, afterMs, backMs: 2500 }));
  });
}
