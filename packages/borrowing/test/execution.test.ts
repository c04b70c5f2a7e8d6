// Execution of reclaims by the owner of their machine: the state transitions that follow from its claim table.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClaimTable, JobTable, type TaskEntry } from '@gingerlock/core';
import { jobRecord, type ReclaimRecord, type ReportedTask, type Heartbeat } from '@gingerlock/wire';
import { PartitionReclaims, type Reclaim, reclaimBoundMs } from '../src/index';
import { clusterConfigOf, jobOf, teamOf } from './fixtures';

const CLUSTER_CONFIG = clusterConfigOf([teamOf('red', 4), teamOf('blue', 4)]);
const MACHINE_TYPE = {
  name: 'box',
  cpus: 100,
  gpus: 4,
  memoryGb: 100,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 1,
  spotPrice: 1,
  bootS: 10,
  zones: ['a', 'b'],
};
const TERM = 3;

/** One machine full of a batch job's tasks, and a service of two replicas that waits for its resources. */
class ReclaimFixture {
  readonly jobs = new JobTable(() => 64);
  readonly table: ClaimTable;
  readonly transitions: string[] = [];
  readonly reclaims = new PartitionReclaims({
    stateChanged: (reclaim) => this.transitions.push(transitionOf(reclaim)),
  });
  now = 1000;
  #sequenceNumber = 0;
  #tasks: ReportedTask[] = [];

  constructor(readonly saves = 0) {
    const batch = jobOf('j-000001', { team: 'blue', checkpointS: saves > 0 ? 10 : 0, saveS: saves });
    this.store('j-000001', batch.spec, 4);
    this.table = new ClaimTable({
      clusterConfig: CLUSTER_CONFIG,
      partitionId: 0,
      term: TERM,
      fencedUntil: 0,
      acquiredAt: 0,
      jobs: this.jobs,
      types: () => new Map([[MACHINE_TYPE.name, MACHINE_TYPE]]),
      membership: [],
      reservations: this.reclaims,
      preempts: false,
    });
    this.reclaims.table = this.table;
    this.table.syncJob('j-000001', this.now);
    this.report();
    this.table.setMember('m', true);
    this.report();
    this.report();
    this.store('j-000002', jobOf('j-000002', { kind: 'service', priority: 'high', tasks: 2 }).spec, 2);
    this.table.syncJob('j-000002', this.now);
  }

  store(id: string, spec: Parameters<typeof jobOf>[1] & object, assigned: number): void {
    const assignedRanges = assigned === 0 ? [] : [{ from: 0, count: assigned, partitionId: 0, zone: null, term: TERM }];
    const full = jobOf(id, spec).spec;
    const record = {
      final: null,
      spec: full,
      acceptedAt: 0,
      cancelled: false,
      isCrashLooping: false,
      assignedRanges,
    } as const;
    this.jobs.applyJob(id, jobRecord.write(record), ++this.now);
  }

  /** Sends a heartbeat with all tasks of the machine, and carries out the commands in the answer. */
  report(): void {
    this.now += 100;
    const heartbeat: Heartbeat = {
      machine: 'm',
      addr: 'm:1',
      type: 'box',
      zone: 'a',
      spot: false,
      agentEpoch: 1,
      sequenceNumber: ++this.#sequenceNumber,
      fencingToken: this.#sequenceNumber === 1 ? 0 : this.table.fencingToken(this.table.machines.get('m')),
      noticeS: null,
      tasks: this.#tasks,
    };
    const outcome = this.table.handleHeartbeat(heartbeat, this.now, true);
    assert.equal(outcome.kind, 'answer');
    for (const command of outcome.kind === 'answer' ? outcome.commands : []) {
      const isTarget = (t: ReportedTask): boolean => t.task === command.task && t.attempt === command.attempt;
      if (command.op === 'start') {
        const { task, attempt } = command;
        this.#tasks = [...this.#tasks, { task, attempt, state: 'running', cause: null, saved: false }];
      } else if (command.op === 'forget') this.#tasks = this.#tasks.filter((t) => !isTarget(t));
      else this.#tasks = this.#tasks.map((t) => (isTarget(t) ? { ...t, state: 'exited', cause: 'stopped' } : t));
    }
  }

  held(): TaskEntry[] {
    return [...this.table.machines.get('m')!.claims.values()];
  }

  recordOf(victims: number, overrides: Partial<ReclaimRecord> = {}): ReclaimRecord {
    const chosen = this.held().slice(0, victims);
    return {
      machine: 'm',
      job: 'j-000002',
      tasks: [0, 1],
      victims: chosen.map((task) => ({ task: task.name, attempt: task.claim!.attempt })),
      decidedAt: 0,
      reason: 'priority',
      ...overrides,
    };
  }

  step(record: ReclaimRecord, wall = 0): readonly TaskEntry[] {
    this.reclaims.sync(new Map([['1-1', record]]));
    return this.reclaims.step(this.table, wall, this.now);
  }
}

function transitionOf({ state, withdrawReason }: Reclaim): string {
  return withdrawReason === null ? state : `${state}: ${withdrawReason}`;
}

test('victims get time to save, and the resources that they free go only to the tasks of the reclaim', () => {
  const fixture = new ReclaimFixture(4);
  const record = fixture.recordOf(2);
  const stopped = fixture.step(record);
  assert.deepEqual(
    stopped.map((task) => [task.name, task.claim!.stopGraceS]),
    record.victims.map(({ task }) => [task, 5]),
  );
  // A more urgent job that came earlier waits for capacity, too.
  fixture.store('j-000000', jobOf('j-000000', { kind: 'service', priority: 'production' }).spec, 4);
  fixture.table.syncJob('j-000000', fixture.now);
  assert.deepEqual(fixture.step(record), []);
  fixture.report();
  fixture.report();
  fixture.step(record);
  fixture.report();
  fixture.step(record);
  const names = fixture.held().map((task) => task.job.id);
  assert.deepEqual(names.filter((id) => id !== 'j-000001').sort(), ['j-000002', 'j-000002']);
  assert.deepEqual(fixture.transitions, ['stopping', 'granted']);
});

test('a new owner continues a reclaim from its record and the heartbeats alone', () => {
  const fixture = new ReclaimFixture();
  const record = fixture.recordOf(2);
  fixture.step(record);
  fixture.report();
  const successor = new PartitionReclaims({ stateChanged: (reclaim) => fixture.transitions.push(reclaim.state) });
  successor.table = fixture.table;
  fixture.table.reservations = successor;
  successor.sync(new Map([['1-1', record]]));
  successor.step(fixture.table, 0, fixture.now);
  fixture.report();
  successor.step(fixture.table, 0, fixture.now);
  fixture.report();
  successor.step(fixture.table, 0, fixture.now);
  assert.equal(successor.all[0]!.state, 'granted');
});

test('a reclaim is withdrawn and stops no task if its victims are too few or have other attempt numbers', () => {
  const few = new ReclaimFixture();
  assert.deepEqual(few.step(few.recordOf(1)), []);
  const other = new ReclaimFixture();
  const record = other.recordOf(2);
  const victims = record.victims.map((victim) => ({ ...victim, attempt: victim.attempt + 1 }));
  assert.deepEqual(other.step({ ...record, victims }), []);
  for (const fixture of [few, other]) {
    assert.deepEqual(fixture.transitions, ['withdrawn: its room was taken']);
    assert.equal(fixture.table.reservations.reservedOn('m').gpus, 0);
  }
});

test('a reclaim is withdrawn if its job is cancelled, its machine takes no work, or its time limit is exceeded', () => {
  const cancelled = new ReclaimFixture();
  const record = cancelled.recordOf(2);
  cancelled.step(record);
  cancelled.jobs.markCancelled('j-000002');
  cancelled.step(record);
  assert.deepEqual(cancelled.transitions, ['stopping', 'withdrawn: its tasks are gone']);

  const drained = new ReclaimFixture();
  drained.table.machines.get('m')!.draining = true;
  assert.deepEqual(drained.step(drained.recordOf(2)), []);
  assert.deepEqual(drained.transitions, ['withdrawn: its machine takes no work']);

  const late = new ReclaimFixture(4);
  const bound = reclaimBoundMs(CLUSTER_CONFIG, 5);
  late.step(late.recordOf(2), bound);
  assert.deepEqual(late.transitions, ['stopping']);
  late.step(late.recordOf(2), bound + 1);
  assert.deepEqual(late.transitions, ['stopping', 'withdrawn: it took too long']);
});
