// The wish's own test: on loopback, with real servers, links and processes, a replica that spans machines is restored
// whole or cleanly withdrawn, and never answers in part. Run as a member if its first argument says so.
//
// The first test failed now and then, in 9 of 34 runs on c5e271a, mostly beside load: after generation 2 had failed the
// group waited for good. The leader returned machines that the group in its backoff needed (`machines scaled in` with
// m-000002, m-000006 and m-000003, 0.5 s after `group waiting`), asked for three anew instead of for one (`missing: 3`),
// and the cloud stand-in had no place for any (`scale-out refused: no capacity`), because it kept returned machines. See
// docs/incidents/group-loses-its-machines-in-backoff.md; each fault has a test of its own that repeats exactly.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { GroupDeployment, type GroupDeploymentOptions, type MemberOptions, runMember } from '../src/index';

const JOB = 'j-000001';
const MEMBERS = 3;

/** Nothing that is waited for takes nearly so long, beside busy processes either. */
const LONG_MS = 90_000;

/** One member to a machine, so that all of them listen at one port. */
const GROUP: JobSpec = {
  id: JOB,
  jobClass: 'replicated',
  team: 'red',
  kind: 'service',
  priority: 'high',
  tasks: MEMBERS,
  cpus: 2,
  gpus: 4,
  memoryGb: 8,
  image: 'img-1',
  imageGb: 10,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 0,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  awaits: [],
};

async function deployment(over: Partial<GroupDeploymentOptions> = {}): Promise<GroupDeployment> {
  const world = new GroupDeployment({
    seed: 1,
    controllers: 3,
    machines: 4,
    guaranteedGpus: 16,
    gpusMax: 64,
    features: { replica_groups: { enabled: true, classes: ['replicated'], backoff_reports: 1 } },
    script: __filename,
    ...over,
  });
  await world.start();
  return world;
}

/** Waits for whole answers of a later generation than the last one. */
async function restored(world: GroupDeployment, since: number): Promise<void> {
  const isRestored = await world.until(() => world.answeredGeneration > since, LONG_MS);
  const stands = JSON.stringify(world.recordOf(JOB));
  assert.ok(isRestored, `answered under ${world.answeredGeneration}, ${world.members.length} processes, ${stands}`);
}

function checkAnswers(world: GroupDeployment): void {
  assert.deepEqual(world.wrongAnswers, []);
  assert.deepEqual(world.violations, []);
}

async function wholeLife(): Promise<void> {
  const world = await deployment();
  try {
    await world.submit(GROUP);
    world.startClient();
    await restored(world, 0);

    // One process inside the replica is killed while a client asks.
    let generation = world.answeredGeneration;
    world.killMember(`${JOB}/1`);
    await restored(world, generation);

    // A controller ends, and a member before it is back.
    generation = world.answeredGeneration;
    const leader = world.leader()!;
    await world.endController(leader);
    world.killMember(`${JOB}/2`);
    await restored(world, generation);
    await world.startController(leader);

    // No free resources to place it again: it is withdrawn and holds nothing.
    generation = world.answeredGeneration;
    world.cloud.capacity = 0;
    const machines = [...world.workers.keys()];
    const used = new Set(world.members.map(({ machine }) => machine));
    const lost = [...machines.filter((machine) => !used.has(machine)), ...used].slice(0, machines.length - MEMBERS + 1);
    for (const machine of lost) world.killMachine(machine);
    const isWithdrawn = (): boolean => world.recordOf(JOB)?.state === 'waiting' && world.members.length === 0;
    assert.ok(await world.until(isWithdrawn, LONG_MS), JSON.stringify(world.recordOf(JOB)));
    const answered = world.answers.length;
    await world.pause(4 * world.heartbeatIntervalMs);
    assert.equal(world.members.length, 0);
    assert.equal(world.answers.length, answered, 'nobody answers for a group that is withdrawn');

    // There are free resources again.
    world.cloud.capacity = 3;
    await restored(world, generation);
    checkAnswers(world);
  } finally {
    await world.stop();
  }
}

/**
 * The head's machine hangs for longer than all leases, with requests of clients waiting in its sockets, while a later
 * generation comes up on machines of the old one. Then it goes on. Returns what it answered.
 */
async function pausedHead(
  guards: Partial<Pick<MemberOptions, 'keepsLease' | 'checksGeneration'>>,
): Promise<GroupDeployment> {
  const world = await deployment({ guards });
  try {
    await world.submit(GROUP);
    world.startClient();
    await restored(world, 0);
    const head = world.memberOf(`${JOB}/0`)!;
    const generation = world.answeredGeneration;
    const goOn = world.hang(head.machine);
    const host = world.hostOf(head.machine);
    await restored(world, generation);
    const buffered = Array.from({ length: 10 }, () => world.askAt(host));
    // They have reached its sockets before it goes on.
    await world.pause(world.heartbeatIntervalMs / 2);
    goOn();
    await Promise.all(buffered);
    return world;
  } finally {
    await world.stop();
  }
}

if (process.argv[2] === '--member') {
  runMember(JSON.parse(process.argv[3]!) as MemberOptions);
} else {
  test('on loopback: a replica across machines is restored whole or withdrawn, and never answers in part', wholeLife);

  test('a head that hung for longer than its lease answers none of the requests that waited', async () => {
    const world = await pausedHead({});
    checkAnswers(world);
    assert.ok(world.answeredGeneration > 1);
  });

  test('the lease alone keeps old and new members apart', async () => {
    checkAnswers(await pausedHead({ checksGeneration: false }));
  });

  test('the check of generations alone keeps old and new members apart', async () => {
    checkAnswers(await pausedHead({ keepsLease: false }));
  });

  test('without both guards a head that goes on answers with members of another generation', async () => {
    const world = await pausedHead({ keepsLease: false, checksGeneration: false });
    assert.ok(world.wrongAnswers.length > 0);
  });
}
