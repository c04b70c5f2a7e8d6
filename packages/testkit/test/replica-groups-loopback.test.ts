// A replica that spans machines, on loopback with real servers, links and processes: it is restored whole or withdrawn,
// and never answers in part. With `--member` as its first argument this file runs a member.
//
// The first test also fails if the leader returns machines that a group in its backoff needs, or if the cloud stand-in
// keeps returned machines: the group then waits indefinitely, as each scale-out is refused for lack of capacity. With
// both faults, 9 of 34 runs failed, mostly under load. replica-groups-backoff.test.ts and loopback-cloud.test.ts test
// each of them deterministically; see docs/incidents/group-loses-its-machines-in-backoff.md.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { GroupDeployment, type GroupDeploymentOptions, type MemberOptions, runMember } from '../src/index';

const JOB = 'j-000001';
const MEMBERS = 3;

/** Much longer than any awaited event takes, even on a busy machine. */
const TIMEOUT_MS = 90_000;

/** Each member has a machine of its own, so that all of them can listen at the same port. */
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

async function deployment(overrides: Partial<GroupDeploymentOptions> = {}): Promise<GroupDeployment> {
  const world = new GroupDeployment({
    seed: 1,
    controllers: 3,
    machines: 4,
    guaranteedGpus: 16,
    gpusMax: 64,
    features: { replica_groups: { enabled: true, classes: ['replicated'], backoff_reports: 1 } },
    script: __filename,
    ...overrides,
  });
  await world.start();
  return world;
}

/** Waits for a whole answer of a generation later than `since`. */
async function waitUntilRestored(world: GroupDeployment, since: number): Promise<void> {
  const isRestored = await world.until(() => world.answeredGeneration > since, TIMEOUT_MS);
  const record = JSON.stringify(world.recordOf(JOB));
  assert.ok(isRestored, `answered under ${world.answeredGeneration}, ${world.members.length} processes, ${record}`);
}

function checkAnswers(world: GroupDeployment): void {
  assert.deepEqual(world.wrongAnswers, []);
  assert.deepEqual(world.violations, []);
}

async function playLifecycle(): Promise<void> {
  const world = await deployment();
  try {
    await world.submit(GROUP);
    world.startClient();
    await waitUntilRestored(world, 0);

    // One member's process is killed while a client sends requests.
    let generation = world.answeredGeneration;
    world.killMember(`${JOB}/1`);
    await waitUntilRestored(world, generation);

    // The leader ends, and a member is killed before the leader is back.
    generation = world.answeredGeneration;
    const leader = world.leader()!;
    await world.endController(leader);
    world.killMember(`${JOB}/2`);
    await waitUntilRestored(world, generation);
    await world.startController(leader);

    // Without free resources to place it again, the group is withdrawn and holds nothing.
    generation = world.answeredGeneration;
    world.cloud.capacity = 0;
    const machines = [...world.workers.keys()];
    const used = new Set(world.members.map(({ machine }) => machine));
    const killed = [...machines.filter((machine) => !used.has(machine)), ...used].slice(
      0,
      machines.length - MEMBERS + 1,
    );
    for (const machine of killed) world.killMachine(machine);
    const isWithdrawn = (): boolean => world.recordOf(JOB)?.state === 'waiting' && world.members.length === 0;
    assert.ok(await world.until(isWithdrawn, TIMEOUT_MS), JSON.stringify(world.recordOf(JOB)));
    const answered = world.answers.length;
    await world.pause(4 * world.heartbeatIntervalMs);
    assert.equal(world.members.length, 0);
    assert.equal(world.answers.length, answered, 'a withdrawn group answered a request');

    // There are free resources again.
    world.cloud.capacity = 3;
    await waitUntilRestored(world, generation);
    checkAnswers(world);
  } finally {
    await world.stop();
  }
}

/**
 * The head's machine hangs for longer than all leases while a later generation comes up on machines of the old one. It
 * resumes with client requests waiting in its sockets. Returns the deployment with the answers.
 */
async function playHungHead(
  guards: Partial<Pick<MemberOptions, 'keepsLease' | 'checksGeneration'>>,
): Promise<GroupDeployment> {
  const world = await deployment({ guards });
  try {
    await world.submit(GROUP);
    world.startClient();
    await waitUntilRestored(world, 0);
    const head = world.memberOf(`${JOB}/0`)!;
    const generation = world.answeredGeneration;
    const resume = world.hang(head.machine);
    const host = world.hostOf(head.machine);
    await waitUntilRestored(world, generation);
    const buffered = Array.from({ length: 10 }, () => world.askAt(host));
    // The requests reach the head's sockets before it resumes.
    await world.pause(world.heartbeatIntervalMs / 2);
    resume();
    await Promise.all(buffered);
    return world;
  } finally {
    await world.stop();
  }
}

if (process.argv[2] === '--member') {
  runMember(JSON.parse(process.argv[3]!) as MemberOptions);
} else {
  test(
    'on loopback: a replica across machines is restored whole or withdrawn, and never answers in part',
    playLifecycle,
  );

  test('a head that hung for longer than its lease answers no request that was waiting', async () => {
    const world = await playHungHead({});
    checkAnswers(world);
    assert.ok(world.answeredGeneration > 1);
  });

  test('the lease alone prevents answers that mix members of two generations', async () => {
    checkAnswers(await playHungHead({ checksGeneration: false }));
  });

  test('the generation check alone prevents answers that mix members of two generations', async () => {
    checkAnswers(await playHungHead({ keepsLease: false }));
  });

  test('without both guards a resumed head answers with members of another generation', async () => {
    const world = await playHungHead({ keepsLease: false, checksGeneration: false });
    assert.ok(world.wrongAnswers.length > 0);
  });
}
