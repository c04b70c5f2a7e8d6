// A worker lists all tasks on its machine in each report, which may have 64 KiB of JSON. Whoever decides what a machine
// can take must count what the report can still list: with more tasks than that, every report is refused, and the
// worker's lease runs out with all of its tasks.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decode,
  encodeHeartbeat,
  encodeHeartbeatAnswer,
  type ExitCause,
  type Heartbeat,
  type JobSpec,
  jobRecord,
  MAX_BODY_BYTES,
  type ReportedTask,
  type TaskState,
  type WorkerCommand,
} from '@gingerlock/wire';
import {
  type AssignmentInput,
  assignTasks,
  ClaimTable,
  type ClusterConfig,
  JobTable,
  type MachineStatus,
  planPlacements,
  ProbeSchedule,
  relocateReplicas,
  ScaleOutPlan,
  type ClaimView,
  type Machine,
  TOKENS_PER_TERM,
} from '../src/index';
import { BOX, CLUSTER_CONFIG, machineStatusOf, SCALE_OUT_INPUT, specOf } from './fixtures';

const TEAM = { name: 'red', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
const clusterConfig = { ...CLUSTER_CONFIG, teams: new Map([[TEAM.name, TEAM]]) };
const TERM = 2;
const FENCING_TOKEN = TERM * TOKENS_PER_TERM;
const TYPE = { ...BOX, cpus: 96, gpus: 8, memoryGb: 384 };
const types = new Map([[TYPE.name, TYPE]]);
/** At least this many tiny tasks fit into a report, whatever their states. */
const MIN_LISTED = 500;

function tinyArray(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return specOf(id, { tasks: 900, cpus: 0.0004, gpus: 0, memoryGb: 0.001, imageGb: 0, priority: 'low', ...overrides });
}

/** Stores jobs, all of whose tasks are assigned to partition 0. */
function jobTableOf(specs: readonly JobSpec[]): JobTable {
  const jobs = new JobTable(() => 64);
  specs.forEach((spec, i) => {
    const assignedRanges = [{ from: 0, count: spec.tasks, partitionId: 0, zone: null, term: TERM }];
    const record = { final: null, spec, acceptedAt: i, cancelled: false, isCrashLooping: false, assignedRanges };
    jobs.applyJob(spec.id, jobRecord.write(record), i + 1);
  });
  return jobs;
}

function claimTableOf(specs: readonly JobSpec[]): ClaimTable {
  const claimTable = new ClaimTable({
    clusterConfig,
    partitionId: 0,
    term: TERM,
    fencedUntil: 0,
    acquiredAt: 0,
    jobs: jobTableOf(specs),
    types: () => types,
    membership: [['m-1', 'm-1:1']],
    alarm: (message) => assert.fail(message),
  });
  for (const { id } of specs) claimTable.syncJob(id, 0);
  claimTable.tick(1);
  return claimTable;
}

function jsonBytes(body: Uint8Array): number {
  return Buffer.byteLength(JSON.stringify(decode(body)));
}

/** The worker of one machine: it measures its reports and the answers to them. */
class MeasuredWorker {
  readonly tasks = new Map<string, { task: string; attempt: number; state: TaskState; cause: ExitCause | null }>();
  largestReport = 0;
  largestAnswer = 0;
  mostTasks = 0;
  #sequenceNumber = 0;

  constructor(readonly claimTable: ClaimTable) {}

  /** Sends a report and executes the answer; returns its commands. */
  report(now: number): readonly WorkerCommand[] {
    const heartbeat = this.#heartbeat();
    this.largestReport = Math.max(this.largestReport, jsonBytes(encodeHeartbeat(heartbeat)));
    this.mostTasks = Math.max(this.mostTasks, heartbeat.tasks.length);
    const outcome = this.claimTable.handleHeartbeat(heartbeat, now, true);
    this.claimTable.setMember('m-1', true);
    assert.ok(outcome.kind === 'answer');
    const answer = encodeHeartbeatAnswer(outcome.fencingToken, outcome.commands);
    this.largestAnswer = Math.max(this.largestAnswer, jsonBytes(answer));
    for (const command of outcome.commands) this.#execute(command);
    return outcome.commands;
  }

  /** All of its tasks that have not exited go on to a state. */
  proceed(state: TaskState, cause: ExitCause | null = null): void {
    for (const task of this.tasks.values()) if (task.state !== 'exited') Object.assign(task, { state, cause });
  }

  #heartbeat(): Heartbeat {
    const tasks: ReportedTask[] = [...this.tasks.values()].map((task) => ({ ...task, saved: false }));
    const { name: type } = TYPE;
    const sequenceNumber = ++this.#sequenceNumber;
    const fields = { machine: 'm-1', addr: 'm-1:1', type, zone: 'a', spot: false, agentEpoch: 1, noticeS: null };
    return { ...fields, sequenceNumber, fencingToken: FENCING_TOKEN, tasks };
  }

  #execute({ op, task, attempt }: WorkerCommand): void {
    const key = `${task} ${attempt}`;
    const known = this.tasks.get(key);
    if (op === 'start') this.tasks.set(key, { task, attempt, state: 'fetching', cause: null });
    else if (op === 'forget') this.tasks.delete(key);
    else if (known !== undefined && known.state !== 'exited')
      Object.assign(known, { state: 'exited', cause: 'stopped' });
  }
}

// Guards against grants by cores and memory alone: 1,600 tiny tasks on one machine, whose reports nobody accepted.
test('a machine holds no more tasks than its worker can report, from their start until they are forgotten', () => {
  const longId = `j-${'9'.repeat(32)}`;
  for (const ids of [['j-000010', 'j-000011', 'j-000012'], [longId, 'j-000011'], ['j-000010']]) {
    const claimTable = claimTableOf(ids.map((id) => tinyArray(id, { tasks: ids.length === 1 ? 100_000 : 900 })));
    const worker = new MeasuredWorker(claimTable);
    // Tasks fail, so that they are granted again while earlier attempts are still reported.
    for (let round = 0, now = 1000; round < 12; round++) {
      for (const state of ['fetching', 'running', 'saving'] as const) {
        worker.report((now += 400));
        worker.proceed(state);
      }
      worker.proceed('exited', round % 2 === 0 ? 'unknown' : 'stopped');
    }
    for (const bytes of [worker.largestReport, worker.largestAnswer])
      assert.ok(bytes <= MAX_BODY_BYTES, `${bytes} bytes for ${ids.join()}`);
    assert.ok(worker.mostTasks >= MIN_LISTED || ids.includes(longId), `${worker.mostTasks} tasks`);
  }
});

// Guards against an urgent task that waits for ever, as it has cores but no place in the report, and stops nothing.
test('an urgent task stops a tiny one if only the report is full, and starts once that one is forgotten', () => {
  const urgent = specOf('j-000001', { kind: 'service', priority: 'production', tasks: 1, cpus: 16, imageGb: 0 });
  const claimTable = claimTableOf([tinyArray('j-000010'), urgent]);
  claimTable.tasksByJob.get(urgent.id)!.get(0)!.notBefore = 2000;
  const worker = new MeasuredWorker(claimTable);
  for (const now of [500, 1000, 1500]) {
    worker.report(now);
    worker.proceed('running');
  }
  const { stopped, unschedulable } = planPlacements(claimTable, 2000);
  assert.equal(stopped.length, 1);
  assert.ok(unschedulable.every(({ job }) => job.id === 'j-000010'));
  const started: string[] = [];
  for (let now = 2500; now < 5000; now += 500)
    started.push(...worker.report(now).flatMap(({ op, task }) => (op === 'start' ? [task] : [])));
  assert.ok(started.includes('j-000001/0'), started.join());
  assert.ok(worker.largestReport <= MAX_BODY_BYTES, `${worker.largestReport} bytes`);
});

// Guards against answers with a command for each of the tasks of a full report, which need more bytes than the report.
test('an answer has no more commands than fit, stops first, and later answers have the rest', () => {
  const claimTable = claimTableOf([]);
  const worker = new MeasuredWorker(claimTable);
  for (let i = 0; i < 1050; i++) {
    const [state, cause] = i < 100 ? (['exited', 'done'] as const) : (['running', null] as const);
    worker.tasks.set(`j-000010/${i} 9999999`, { task: `j-000010/${i}`, attempt: 9_999_999, state, cause });
  }
  const first = worker.report(1000);
  assert.ok(first.length >= MIN_LISTED && first.every(({ op }) => op === 'stop'));
  for (let now = 1500; now < 4000; now += 500) worker.report(now);
  assert.equal(worker.tasks.size, 0);
  assert.ok(worker.largestAnswer <= MAX_BODY_BYTES, `${worker.largestAnswer} bytes`);
});

function assignmentOf(
  specs: readonly JobSpec[],
  machines: readonly MachineStatus[],
  config: ClusterConfig = clusterConfig,
): { assigned: number; unschedulable: number } {
  const jobs = new JobTable(() => 64);
  specs.forEach((spec, i) => {
    const record = { final: null, spec, acceptedAt: i, cancelled: false, isCrashLooping: false, assignedRanges: [] };
    jobs.applyJob(spec.id, jobRecord.write(record), i + 1);
  });
  const input: AssignmentInput = {
    now: 0,
    probes: new ProbeSchedule(config),
    jobs: jobs.live.values(),
    statuses: [{ partitionId: 0, term: 1, revision: 0, machines, missing: machines[0]!.byPriority[0]!, running: [] }],
    pendingAssignments: [],
    clusterConfig: config,
    types,
    maxAssignments: 100,
    preempts: true,
    heldBack: null,
    groups: null,
  };
  const { assignments, unschedulable } = assignTasks(input);
  const assigned = assignments.flatMap(({ added }) => added).reduce((sum, { count }) => sum + count, 0);
  return { assigned, unschedulable: unschedulable.reduce((sum, { count }) => sum + count, 0) };
}

// Guards against a leader that assigns 100,000 tiny tasks to one machine: its owner ran out of memory with the entries.
test('the leader assigns as many tiny tasks as machines can report, and less urgent ones give way to others', () => {
  const machines = ['m-1', 'm-2', 'm-3'].map((name) => machineStatusOf(name));
  const { assigned, unschedulable } = assignmentOf([tinyArray('j-000010', { tasks: 100_000 })], machines);
  assert.ok(assigned >= 3 * MIN_LISTED && assigned <= 3 * 800, `${assigned} tasks`);
  assert.equal(assigned + unschedulable, 100_000);
  const [machine] = machines;
  const { free } = machine!;
  const full = { ...machine!, free: { ...free, reportBytes: 0 } };
  const urgent = specOf('j-000001', { kind: 'service', priority: 'production', tasks: 1 });
  assert.equal(assignmentOf([urgent], [full]).assigned, 0);
  const batch = { ...machine!.byPriority[3]!, reportBytes: 60_000 };
  const preemptable = { ...full, byPriority: [...full.byPriority.slice(0, 3), batch] };
  assert.equal(assignmentOf([urgent], [preemptable]).assigned, 1);
});

// Guards against a plan that rents one machine for tiny tasks of which its worker can report a fraction.
test('as many machines are rented for tiny tasks as can report them', () => {
  const plan = new ScaleOutPlan({ ...SCALE_OUT_INPUT, clusterConfig, types });
  const [job] = jobTableOf([tinyArray('j-000010', { tasks: 2400 })]).live.values();
  plan.planForTasks([{ job: job!, count: 2400, zones: null }], 0);
  const rented = plan.requests(() => 'r').reduce((sum, { count }) => sum + count, 0);
  assert.ok(rented >= 3 && rented <= 5, `${rented} machines`);
});

// Guards against a replica that is stopped to be moved to a machine whose worker could not report it.
test('replicas are not moved to a machine whose report is full', () => {
  const [job] = jobTableOf([specOf('j-000001', { kind: 'service', tasks: 1 })]).live.values();
  const machine = { name: 'm-1', draining: true, evictionNotice: false, spot: false, claims: new Map() };
  const claim = { stopGraceS: null, stage: 'running', grantedAt: 0, machine };
  machine.claims.set('j-000001/0', { job, name: 'j-000001/0', zone: null, claim });
  const view = {
    machines: new Map([['m-1', machine as unknown as Machine]]),
    wakes: () => [],
    isSuspect: () => false,
    log: () => undefined,
  } as unknown as ClaimView;
  const { type, zone, spot, free } = machineStatusOf('m-2');
  const spareWith = (reportBytes: number): MachineStatus =>
    machineStatusOf('m-2', { type, zone, spot, free: { ...free, reportBytes }, images: ['img'] });
  assert.equal(relocateReplicas(view, new Map(), () => [spareWith(50)], 60_000).length, 0);
  assert.equal(relocateReplicas(view, new Map(), () => [spareWith(500)], 60_000).length, 1);
});

// Guards against 100,000 tiny tasks assigned at once: the only controller left ran out of memory, again at each restart.
test('no more tasks are assigned than a controller can keep, whatever the machines and the kinds of jobs', () => {
  const machines = Array.from({ length: 20 }, (_, i) => machineStatusOf(`m-${i}`));
  const limited = { ...clusterConfig, maxAssignedTasks: 4000 };
  const ids = Array.from({ length: 30 }, (_, i) => `j-0000${10 + i}`);
  for (const kind of ['array', 'service'] as const) {
    const tiny = ids.map((id) => tinyArray(id, { kind, tasks: 100_000 }));
    const { assigned, unschedulable } = assignmentOf(tiny, machines, limited);
    assert.deepEqual([assigned, unschedulable], [4000, 0]);
  }
  const [id] = ids;
  assert.ok(assignmentOf([tinyArray(id!, { tasks: 100_000 })], machines).assigned > 10_000);
});

// Guards against a job of 100,000 tiny tasks that leaves no place to the jobs after it, whose machines stay idle.
test('a job of many tiny tasks leaves tasks to later and less urgent jobs', () => {
  const machines = Array.from({ length: 20 }, (_, i) => machineStatusOf(`m-${i}`));
  const limited = { ...clusterConfig, maxAssignedTasks: 4000 };
  const tiny = ['j-000010', 'j-000011'].map((id) =>
    tinyArray(id, { kind: 'service', priority: 'high', tasks: 100_000 }),
  );
  const others = ['j-000001', 'j-000002'].map((id) => specOf(id, { kind: 'array', priority: 'low', tasks: 8 }));
  const all = assignmentOf([...tiny, ...others], machines, limited).assigned;
  assert.equal(all - assignmentOf(tiny, machines, limited).assigned, 16);
});

// Guards against machines rented for tasks that would not be assigned there, and against tasks without machines that
// keep others from being assigned.
test('tasks without machines are demand as far as controllers can keep them, and keep no other job waiting', () => {
  const machines = [machineStatusOf('m-1')];
  const limited = { ...clusterConfig, maxAssignedTasks: 4000 };
  const elsewhere = Array.from({ length: 30 }, (_, i) =>
    tinyArray(`j-0000${10 + i}`, { priority: 'high', tasks: 100_000, types: ['other'] }),
  );
  const small = specOf('j-000001', { kind: 'array', priority: 'low', tasks: 3 });
  assert.deepEqual(assignmentOf([...elsewhere, small], machines, limited), { assigned: 3, unschedulable: 4000 });
});
