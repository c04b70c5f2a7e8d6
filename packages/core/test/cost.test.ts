// The cost of handling a heartbeat and of planning placements, counted in lookups of machine types.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobRecord, type MachineType, type Heartbeat } from '@gingerlock/wire';
import { ClaimTable, JobTable, planPlacements, type TaskEntry, TOKENS_PER_TERM } from '../src/index';
import { CLUSTER_CONFIG, specOf } from './fixtures';
import { StepCounter } from './step-counter';

const clusterConfig = CLUSTER_CONFIG;
const type: MachineType = {
  name: 'box',
  cpus: 48,
  gpus: 8,
  memoryGb: 192,
  cacheGb: 300,
  fetchGbPerS: 9,
  price: 4,
  spotPrice: 1,
  bootS: 5,
  zones: ['a'],
};
const TASKS = 6;

/**
 * Counts the lookups of one unchanged heartbeat and of one planning with `waitingJobs` jobs of `waiting` waiting tasks
 * each, in a partition of `count` machines with six replicas each.
 */
function costs(count: number, waiting: number, waitingJobs = 1): { heartbeat: number; planning: number } {
  let lookups = 0;
  const types = new Map([[type.name, type]]);
  const jobs = new JobTable(() => 64);
  const job = (id: string, tasks: number): void => {
    const spec = specOf(id, { kind: 'service', priority: 'production', tasks, cpus: 4, memoryGb: 12 });
    const assignedRanges = [{ from: 0, count: tasks, partitionId: 0, zone: null, term: 2 }];
    jobs.applyJob(
      id,
      jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges }),
      5,
    );
  };
  const claimTable = new ClaimTable({
    clusterConfig,
    partitionId: 0,
    term: 2,
    fencedUntil: 0,
    acquiredAt: 0,
    jobs,
    types: () => {
      lookups++;
      return types;
    },
    membership: [],
  });
  const id = (machineIndex: number): string => `j-${String(machineIndex).padStart(6, '0')}`;
  const heartbeat = (machineIndex: number, sequenceNumber: number): Heartbeat => ({
    machine: `m-${machineIndex}`,
    addr: `m-${machineIndex}:1`,
    type: type.name,
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    sequenceNumber,
    fencingToken: 2 * TOKENS_PER_TERM,
    noticeS: null,
    tasks: Array.from({ length: TASKS }, (_, i) => ({
      task: `${id(machineIndex)}/${i}`,
      attempt: machineIndex * 100 + i,
      state: 'running' as const,
      cause: null,
      saved: false,
    })),
  });
  for (let machineIndex = 0; machineIndex < count; machineIndex++) {
    job(id(machineIndex), TASKS);
    claimTable.syncJob(id(machineIndex), 0);
    claimTable.handleHeartbeat(heartbeat(machineIndex, 1), 1, false);
    claimTable.setMember(`m-${machineIndex}`, true);
  }
  if (waiting > 0) {
    for (let i = 0; i < waitingJobs; i++) {
      job(`j-9${i}`, waiting);
      claimTable.syncJob(`j-9${i}`, 1);
    }
  }
  lookups = 0;
  const outcome = claimTable.handleHeartbeat(heartbeat(0, 2), 2, false);
  assert.deepEqual(outcome, { kind: 'answer', fencingToken: 2 * TOKENS_PER_TERM, commands: [] });
  const ofHeartbeat = lookups;
  lookups = 0;
  const { unschedulable } = planPlacements(claimTable, 3);
  assert.equal(unschedulable.length, Math.max(0, waiting * waitingJobs - count * 2));
  return { heartbeat: ofHeartbeat, planning: lookups };
}

test('the cost of an unchanged heartbeat does not depend on the number of machines in the partition', () => {
  assert.equal(costs(900, 0).heartbeat, costs(40, 0).heartbeat);
  assert.equal(costs(900, 50).heartbeat, costs(40, 50).heartbeat);
});

test('the cost of planning grows at most linearly with the machines and with the waiting tasks', () => {
  const small = costs(40, 4).planning;
  assert.ok(costs(900, 4).planning <= small * (900 / 40) * 1.1);
  assert.ok(costs(40, 16).planning <= small * 4 * 1.1);
  assert.ok(costs(900, 0).planning <= 900);
});

// Guards against an owner that searches all its machines for each task of a huge array, for longer than its store lease.
test('the cost of planning an array grows with the machines and its tasks, not with their product', () => {
  const small = costs(200, 400).planning;
  assert.ok(costs(800, 1600).planning <= small * 4 * 1.1);
});

// Guards against an owner that searches all its full machines for each of many alike jobs, as after the loss of a zone.
test('the cost of planning jobs that fit on no machine does not grow with their number', () => {
  const few = costs(100, 4, 60).planning;
  assert.ok(costs(100, 4, 400).planning <= few * 1.1);
});

// Guards against heartbeats that each go through all tasks of a huge array to find the few that wait.
test('the waiting tasks of a job are found without its other tasks', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = new ClaimTable({
    clusterConfig,
    partitionId: 0,
    term: 2,
    fencedUntil: Infinity,
    acquiredAt: 0,
    jobs,
    types: () => new Map([[type.name, type]]),
    membership: [['m-0', 'm-0:1']],
  });
  const spec = specOf('j-1', { tasks: 5_000 });
  // Tasks that were assigned under an earlier term may still run somewhere; the last three do not.
  const assignedRanges = [
    { from: 0, count: 4_997, partitionId: 0, zone: null, term: 1 },
    { from: 4_997, count: 3, partitionId: 0, zone: null, term: 2 },
  ];
  const record = { final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges };
  jobs.applyJob(spec.id, jobRecord.write(record), 5);
  claimTable.syncJob(spec.id, 0);
  const tasks = claimTable.tasksByJob.get(spec.id)! as Map<number, TaskEntry>;
  const counter = new StepCounter(100);
  const values = tasks.values.bind(tasks);
  tasks.values = () => {
    const iterator = values();
    const next = iterator.next.bind(iterator);
    iterator.next = () => {
      counter.count();
      return next();
    };
    return iterator;
  };
  const job = jobs.live.get(spec.id)!;
  assert.deepEqual(
    [...claimTable.waitingTasks(job)].map(({ index }) => index),
    [4_997, 4_998, 4_999],
  );
  claimTable.beginReturn([...claimTable.waitingTasks(job)].slice(0, 2), 1);
  assert.deepEqual(
    [...claimTable.waitingTasks(job)].map(({ index }) => index),
    [4_999],
  );
});
