import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobRecord, PRIORITIES, type AssignedRange, type Heartbeat } from '@gingerlock/wire';
import { TOKENS_PER_TERM, ClaimTable, JobTable, planPlacements, plannedByPriority, type TaskEntry } from '../src/index';
import { BOX, CLUSTER_CONFIG, specOf } from './fixtures';

const clusterConfig = { ...CLUSTER_CONFIG, controllers: 1 };
const type = BOX;
const spec = specOf('j-000001', { kind: 'service', priority: 'high' });

/** The claim table of an owner under term 2. */
function claimTableOf(
  jobs: JobTable,
  fencedUntil: number,
  membership: readonly string[],
  alarm: (message: string) => void = () => undefined,
): ClaimTable {
  return new ClaimTable({
    clusterConfig,
    partitionId: 0,
    term: 2,
    fencedUntil,
    acquiredAt: 0,
    jobs,
    types: () => new Map([[type.name, type]]),
    membership: membership.map((name) => [name, `${name}:1`] as const),
    alarm,
  });
}

/** Writes the job's record with its four tasks assigned to the partition. */
function assignAllTasks(jobs: JobTable, term: number, version: number): void {
  const assignedRanges = [{ from: 0, count: 4, partitionId: 0, zone: null, term }];
  jobs.applyJob(
    spec.id,
    jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges }),
    version,
  );
}

/** The claim table of a new owner: four tasks were assigned under an earlier term, and three machines may hold them. */
function tableOfNewOwner(): ClaimTable {
  const jobs = new JobTable(() => 64);
  assignAllTasks(jobs, 1, 5);
  const claimTable = claimTableOf(jobs, 20_000, ['m-1', 'm-2', 'm-3']);
  claimTable.syncJob(spec.id, 0);
  return claimTable;
}

function heartbeat(machine: string, sequenceNumber: number, fencingToken: number): Heartbeat {
  return {
    machine,
    addr: `${machine}:1`,
    type: type.name,
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    sequenceNumber,
    fencingToken,
    noticeS: null,
    tasks: [],
  };
}

test('tasks that no machine has reported count as missing once most machines of the partition have sent a heartbeat', () => {
  const claimTable = tableOfNewOwner();
  assert.equal(claimTable.missingServiceResources(3500).gpus, 0);
  for (const name of ['m-1', 'm-2']) {
    // The first answer tells the machine the new term; its next heartbeat proves that it has received the term.
    claimTable.handleHeartbeat(heartbeat(name, 1, TOKENS_PER_TERM), 3500, true);
    assert.equal(claimTable.missingServiceResources(3600).gpus, 0);
    claimTable.handleHeartbeat(heartbeat(name, 2, 2 * TOKENS_PER_TERM), 3700, true);
  }
  assert.equal(claimTable.missingServiceResources(3800).gpus, 4);
});

// If the tasks of a zone that is cut off count as missing only after the fencing period, new machines boot only then.
test('tasks of a partition without any heartbeat count as missing from one boot time before its fencing period ends', () => {
  const claimTable = tableOfNewOwner();
  const bootMs = type.bootS * 1000;
  assert.equal(claimTable.missingServiceResources(claimTable.fencedUntil - bootMs - 1).gpus, 0);
  assert.equal(claimTable.missingServiceResources(claimTable.fencedUntil - bootMs).gpus, 4);
  claimTable.tick(claimTable.fencedUntil);
  assert.equal(claimTable.missingServiceResources(claimTable.fencedUntil).gpus, 0);
});

// A worker that never accepts the token is refused after some answers, because each answer may renew its lease. A
// machine that starts while answers do not reach it and the partition changes owners must not be refused: it holds no
// tasks.
test('a machine that can hold no earlier task is answered however often its heartbeats lack the new token', () => {
  const claimTable = tableOfNewOwner();
  const answers = (machine: string): string[] =>
    Array.from({ length: 8 }, (_, i) => claimTable.handleHeartbeat(heartbeat(machine, i + 1, 0), 1000 + i, true).kind);
  assert.deepEqual(new Set(answers('m-new')), new Set(['answer']));
  assert.equal(answers('m-1').at(-1), 'refuse');
});

// While the watch cache is reloaded page by page, a job's record may be read before that of its partition's next owner.
test('an owner does not start tasks that are assigned under a later term of the partition', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, []);
  claimTable.tick(1);
  assert.ok(claimTable.isFencingOver);
  const assignment = (term: number, version: number): void => {
    assignAllTasks(jobs, term, version);
    claimTable.syncJob(spec.id, 2);
  };
  assignment(3, 5);
  assert.equal(claimTable.tasksByJob.size, 0);
  assignment(2, 6);
  assert.equal(claimTable.tasksByJob.get(spec.id)?.size, 4);
});

test('a job that a peer reports as cancelled starts no more tasks, even if older records of it arrive later', () => {
  const jobs = new JobTable(() => 64);
  assignAllTasks(jobs, 2, 5);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  claimTable.syncJob(spec.id, 0);
  const fencingToken = 2 * TOKENS_PER_TERM;
  const starts = (sequenceNumber: number, tasks: Heartbeat['tasks'] = []): string[] => {
    const outcome = claimTable.handleHeartbeat(
      { ...heartbeat('m-1', sequenceNumber, fencingToken), tasks },
      sequenceNumber * 1000,
      true,
    );
    return outcome.kind === 'answer' ? outcome.commands.map(({ op }) => op) : [];
  };
  assert.deepEqual(starts(1), ['start', 'start', 'start', 'start']);
  jobs.markCancelled(spec.id);
  assert.equal(claimTable.syncJob(spec.id, 1500).length, 4);
  assert.equal(claimTable.syncJob(spec.id, 1500).length, 0);
  assignAllTasks(jobs, 2, 6);
  claimTable.syncJob(spec.id, 1600);
  // The starts were lost: the machine holds no task, and none is started again.
  assert.deepEqual(starts(2), []);
  assert.equal(claimTable.returnable([], 2500).get(spec.id)?.length, 4);
});

// If a machine that is gone before its new owner receives a heartbeat stays in the membership, each later owner of the
// partition waits for it and holds back uncertain tasks for a whole fencing period.
test('machines that are silent until the fencing period ends leave the membership, and machines with a heartbeat stay', () => {
  const claimTable = tableOfNewOwner();
  claimTable.handleHeartbeat(heartbeat('m-1', 1, 2 * TOKENS_PER_TERM), claimTable.fencedUntil - 1000, true);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil - 1), []);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil), ['m-2', 'm-3']);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil + 1), []);
});

/** Writes the job's record with the given ranges and updates the claim table to it. */
function reassign(
  jobs: JobTable,
  claimTable: ClaimTable,
  assignedRanges: readonly AssignedRange[],
  version: number,
): readonly TaskEntry[] {
  jobs.applyJob(
    spec.id,
    jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges }),
    version,
  );
  return claimTable.syncJob(spec.id, 2000);
}

const rangeOf = (from: number, count: number, zone: string | null, partitionId = 0): AssignedRange => ({
  from,
  count,
  partitionId,
  zone,
  term: 2,
});

// A task may be returned and assigned to the same partition in another zone before the owner reads either record. If it
// keeps the zone of its first assignment, a job that is bound to one zone runs in two.
test('a task that is returned and assigned again to another zone starts only in that zone', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 20_000, ['m-1', 'm-2']);
  reassign(jobs, claimTable, [rangeOf(0, 4, 'a')], 5);
  claimTable.beginReturn([...claimTable.tasksByJob.get(spec.id)!.values()], 1000);
  reassign(jobs, claimTable, [rangeOf(0, 4, 'b')], 7);
  const starts = (machine: string, zone: string): number => {
    const outcome = claimTable.handleHeartbeat({ ...heartbeat(machine, 1, 2 * TOKENS_PER_TERM), zone }, 9000, true);
    assert.ok(outcome.kind === 'answer');
    return outcome.commands.filter(({ op }) => op === 'start').length;
  };
  assert.equal(starts('m-1', 'a'), 0);
  assert.equal(starts('m-2', 'b'), 4);
});

// If the entry of a claimed task is removed while the job's record does not contain the task, a new waiting entry
// follows when the record contains it again, and the task is started a second time while it runs.
test('a claimed task that its record omits for a while is stopped, and is not started again before it has ended', () => {
  const jobs = new JobTable(() => 64);
  const alarms: string[] = [];
  const claimTable = claimTableOf(jobs, 0, ['m-1', 'm-2'], (message) => alarms.push(message));
  const fencingToken = 2 * TOKENS_PER_TERM;
  const commands = (machine: string, sequenceNumber: number, tasks: Heartbeat['tasks']): string[] => {
    const outcome = claimTable.handleHeartbeat(
      { ...heartbeat(machine, sequenceNumber, fencingToken), tasks },
      5000 + sequenceNumber * 2000,
      true,
    );
    return outcome.kind === 'answer' ? outcome.commands.map(({ op, task }) => `${op} ${task}`) : [];
  };
  reassign(jobs, claimTable, [rangeOf(0, 1, null)], 5);
  assert.deepEqual(commands('m-1', 1, []), [`start ${spec.id}/0`]);
  const attempt = claimTable.tasksByJob.get(spec.id)!.get(0)!.claim!.attempt;
  const running = { task: `${spec.id}/0`, attempt, state: 'running' as const, cause: null, saved: false };
  assert.deepEqual(commands('m-1', 2, [running]), []);
  assert.equal(reassign(jobs, claimTable, [], 6).length, 1);
  assert.deepEqual(alarms, ['claimed task is not assigned here any more']);
  reassign(jobs, claimTable, [rangeOf(0, 1, null)], 7);
  assert.deepEqual(commands('m-2', 3, []), []);
  assert.deepEqual(commands('m-1', 4, [running]), [`stop ${spec.id}/0`]);
  assert.deepEqual(commands('m-1', 5, []), [`start ${spec.id}/0`]);
  // The record omits the task for good: its entry is removed when its claim ends.
  reassign(jobs, claimTable, [], 8);
  assert.equal(claimTable.tasksByJob.get(spec.id)?.size, 1);
  assert.deepEqual(commands('m-1', 6, []), []);
  assert.equal(claimTable.tasksByJob.has(spec.id), false);
});

test('a heartbeat that contradicts earlier ones of its machine is refused and changes nothing', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  const fencingToken = 2 * TOKENS_PER_TERM;
  assert.equal(claimTable.handleHeartbeat(heartbeat('m-1', 1, fencingToken), 1000, true).kind, 'answer');
  for (const change of [{ zone: 'b' }, { type: 'other' }, { spot: true }]) {
    const outcome = claimTable.handleHeartbeat({ ...heartbeat('m-1', 9, fencingToken), ...change }, 2000, true);
    assert.equal(outcome.kind, 'refuse');
  }
  assert.equal(claimTable.machines.get('m-1')?.sequenceNumber, 1);
  assert.equal(claimTable.handleHeartbeat(heartbeat('m-1', 2, fencingToken), 3000, true).kind, 'answer');
});

// After a stall, a controller must not suspect all its machines: they would get no tasks, and others would be rented.
test('machines are not suspect after a stall of their owner, but their leases expire nevertheless', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  claimTable.handleHeartbeat(heartbeat('m-1', 1, 2 * TOKENS_PER_TERM), 1000, true);
  const machine = claimTable.machines.get('m-1')!;
  const resumedAt = 1000 + clusterConfig.heartbeatIntervalMs * 4;
  assert.equal(claimTable.isSuspect(machine, resumedAt), true);
  claimTable.resumedAfterStall(resumedAt);
  assert.equal(claimTable.isSuspect(machine, resumedAt), false);
  assert.equal(claimTable.silentMs(machine, resumedAt + 500), 500);
  // The machine stays silent after the stall.
  assert.equal(claimTable.isSuspect(machine, resumedAt + clusterConfig.heartbeatIntervalMs * 3 + 1), true);
  assert.deepEqual(claimTable.tick(1000 + clusterConfig.workerLeaseMs * 2), ['m-1']);
});

test('after a stall of the owner, earlier lost starts do not count against a machine', () => {
  const jobs = new JobTable(() => 64);
  assignAllTasks(jobs, 2, 5);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  claimTable.syncJob(spec.id, 0);
  const starts = (sequenceNumber: number): number => {
    const outcome = claimTable.handleHeartbeat(
      heartbeat('m-1', sequenceNumber, 2 * TOKENS_PER_TERM),
      sequenceNumber * 1000,
      true,
    );
    return outcome.kind === 'answer' ? outcome.commands.filter(({ op }) => op === 'start').length : -1;
  };
  // The next heartbeat shows that the answer with starts was lost: the tasks are started again.
  assert.equal(starts(1), 4);
  assert.equal(starts(2), 4);
  claimTable.resumedAfterStall(2500);
  assert.equal(starts(3), 4);
  // Two lost answers in a row without a stall: the machine counts as unreachable.
  assert.equal(starts(4), 0);
  assert.equal(starts(5), 0);
});

/** Reports a task as failed in a heartbeat, at `sequenceNumber` seconds; returns the kinds of the commands. */
function reportFailure(
  claimTable: ClaimTable,
  machine: string,
  sequenceNumber: number,
  attempt: number,
  task = 0,
): string[] {
  const failed = {
    task: `${spec.id}/${task}`,
    attempt,
    state: 'exited' as const,
    cause: 'error' as const,
    saved: false,
  };
  const outcome = claimTable.handleHeartbeat(
    { ...heartbeat(machine, sequenceNumber, 2 * TOKENS_PER_TERM), tasks: [failed] },
    sequenceNumber * 1000,
    true,
  );
  return outcome.kind === 'answer' ? outcome.commands.map(({ op }) => op) : [];
}

// If the 60 tasks of a broken array are retried separately, each is tried on every machine and preempts other work.
test('a job whose tasks failed on two machines starts and plans no more, and is returned as crash-looping', () => {
  const jobs = new JobTable(() => 64);
  assignAllTasks(jobs, 2, 5);
  const claimTable = claimTableOf(jobs, 20_000, ['m-1', 'm-2']);
  claimTable.syncJob(spec.id, 0);
  const attemptOf = (task: number): number => claimTable.tasksByJob.get(spec.id)!.get(task)!.claim!.attempt;
  claimTable.handleHeartbeat(heartbeat('m-1', 1, 2 * TOKENS_PER_TERM), 1000, true);
  reportFailure(claimTable, 'm-1', 2, attemptOf(0));
  // The heartbeat lists only the failed task: all four tasks wait again.
  claimTable.handleHeartbeat(heartbeat('m-2', 3, 2 * TOKENS_PER_TERM), 3000, true);
  reportFailure(claimTable, 'm-2', 4, attemptOf(1), 1);
  claimTable.tick(4100);
  const job = jobs.live.get(spec.id)!;
  assert.equal(claimTable.isCrashLooping(job), true);
  const outcome = claimTable.handleHeartbeat(heartbeat('m-1', 5, 2 * TOKENS_PER_TERM), 5000, true);
  assert.ok(outcome.kind === 'answer' && outcome.commands.every(({ op }) => op !== 'start'));
  const { unschedulable } = planPlacements(claimTable, 5200);
  assert.deepEqual(unschedulable, []);
  const returned = claimTable.returnable([], 7000).get(spec.id)!;
  assert.equal(returned.length, 4);
  assert.equal(claimTable.marksCrashLoopOnReturn(job, returned, 7000), true);
  assert.equal(claimTable.isQuarantined(claimTable.machines.get('m-1')!), false);
});

test('a job that its record marks as crash-looping starts only a task that is assigned alone, and only once', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  const assign = (count: number, version: number): void => {
    const assignedRanges = [rangeOf(0, count, null)];
    jobs.applyJob(
      spec.id,
      jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: true, assignedRanges }),
      version,
    );
    claimTable.syncJob(spec.id, version * 100);
  };
  const starts = (sequenceNumber: number): number => {
    const outcome = claimTable.handleHeartbeat(
      heartbeat('m-1', sequenceNumber, 2 * TOKENS_PER_TERM),
      sequenceNumber * 1000,
      true,
    );
    return outcome.kind === 'answer' ? outcome.commands.filter(({ op }) => op === 'start').length : -1;
  };
  assign(4, 5);
  assert.equal(starts(1), 0);
  assert.equal(claimTable.returnable([], 3000).get(spec.id)?.length, 4);
  assign(1, 6);
  assert.equal(starts(4), 1);
  reportFailure(claimTable, 'm-1', 5, claimTable.tasksByJob.get(spec.id)!.get(0)!.claim!.attempt);
  assert.equal(starts(6), 0);
  assert.equal(claimTable.returnable([], 9000).get(spec.id)?.length, 1);
});

// Without an order, a flood of one-task jobs of one team delays the completions of all other teams, because the store's
// write rate is limited.
test('completed tasks are written in the order of urgency, after those that waited longer than a worker lease', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  const ids = { lowPriority: 'j-000010', normal: 'j-000011', overdue: 'j-000012' };
  const accept = (id: string, priority: 'normal' | 'low', version: number): void => {
    const jobSpec = specOf(id, { priority, tasks: 1, gpus: 0 });
    const assignedRanges = [{ from: 0, count: 1, partitionId: 0, zone: null, term: 2 }];
    const record = {
      final: null,
      spec: jobSpec,
      acceptedAt: version,
      cancelled: false,
      isCrashLooping: false,
      assignedRanges,
    } as const;
    jobs.applyJob(id, jobRecord.write(record), version);
    claimTable.syncJob(id, 0);
  };
  const complete = (id: string, sequenceNumber: number, now: number): void => {
    const done = { task: `${id}/0`, attempt: 9, state: 'exited' as const, cause: 'done' as const, saved: false };
    claimTable.handleHeartbeat({ ...heartbeat('m-1', sequenceNumber, 2 * TOKENS_PER_TERM), tasks: [done] }, now, false);
  };
  const order = (now: number): string[] => [...claimTable.tasksToFinish(now, 0).keys()];
  accept(ids.overdue, 'low', 5);
  complete(ids.overdue, 1, 1000);
  accept(ids.lowPriority, 'low', 6);
  complete(ids.lowPriority, 2, 5000);
  accept(ids.normal, 'normal', 7);
  complete(ids.normal, 3, 6000);
  assert.deepEqual(order(6000), [ids.normal, ids.overdue, ids.lowPriority]);
  assert.deepEqual(order(1001 + clusterConfig.workerLeaseMs), [ids.overdue, ids.normal, ids.lowPriority]);
});

test('an exit of unknown cause is logged and restarts the task, and counts against neither job nor machine', () => {
  const jobs = new JobTable(() => 64);
  const alarms: string[] = [];
  const claimTable = claimTableOf(jobs, 0, ['m-1'], (message) => alarms.push(message));
  assignAllTasks(jobs, 2, 5);
  claimTable.syncJob(spec.id, 0);
  claimTable.handleHeartbeat(heartbeat('m-1', 1, 2 * TOKENS_PER_TERM), 1000, true);
  const { attempt } = claimTable.tasksByJob.get(spec.id)!.get(0)!.claim!;
  const exit = {
    task: `${spec.id}/0`,
    attempt,
    state: 'exited' as const,
    cause: 'unrecognised' as const,
    saved: false,
  };
  const unknownTaskExit = { ...exit, task: 'j-999999/0' };
  const outcome = claimTable.handleHeartbeat(
    { ...heartbeat('m-1', 2, 2 * TOKENS_PER_TERM), tasks: [exit, unknownTaskExit] },
    2000,
    true,
  );
  assert.deepEqual(alarms, ['unknown exit cause']);
  assert.ok(outcome.kind === 'answer' && outcome.commands.filter(({ op }) => op === 'forget').length === 2);
  assert.equal(claimTable.failures.verdictOn(spec.id), null);
  assert.ok(claimTable.tasksByJob.get(spec.id)!.get(0)!.claim!.attempt > attempt);
});

// If resources planned for waiting batch tasks are reported neither as free nor under their priority class, they look
// taken, and machines are rented for services.
test('resources that waiting tasks are expected to use are reported under their priority class', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  claimTable.handleHeartbeat(heartbeat('m-1', 1, 2 * TOKENS_PER_TERM), 100, true);
  assignAllTasks(jobs, 2, 5);
  claimTable.syncJob(spec.id, 200);
  const machine = claimTable.machines.get('m-1')!;
  assert.deepEqual([...plannedByPriority(claimTable)], []);
  const { freeByMachine } = planPlacements(claimTable, 300);
  const priority = PRIORITIES.indexOf('high');
  const planned = plannedByPriority(claimTable).get(machine)!;
  assert.deepEqual(
    planned.map(({ gpus }) => gpus),
    PRIORITIES.map((_, i) => (i === priority ? 4 : 0)),
  );
  assert.equal(freeByMachine.get(machine)!.gpus + planned[priority]!.gpus, type.gpus);
});
