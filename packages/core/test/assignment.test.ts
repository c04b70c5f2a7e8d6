import assert from 'node:assert/strict';
import { test } from 'node:test';
import { finishedRecord, jobRecord, type JobSpec, type MachineType } from '@gingerlock/wire';
import {
  type AssignmentInput,
  assignTasks,
  capacityOf,
  JobTable,
  type MachineStatus,
  NO_RESOURCES,
  type PartitionStatus,
  ProbeSchedule,
} from '../src/index';
import { CLUSTER_CONFIG, machineStatusOf, specOf } from './fixtures';
import { StepCounter } from './step-counter';

const ZONES = ['a', 'b', 'c'];
const team = { name: 'red', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
const clusterConfig = { ...CLUSTER_CONFIG, zones: ZONES, teams: new Map([[team.name, team]]) };
const type: MachineType = {
  name: 'box',
  cpus: 48,
  gpus: 8,
  memoryGb: 192,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 4,
  spotPrice: 1,
  bootS: 5,
  zones: ZONES,
};

function machineStatusIn(name: string, zone: string, freeGpus: number): MachineStatus {
  return machineStatusOf(name, { zone, free: capacityOf({ cpus: 48, gpus: freeGpus, memoryGb: 192 }) });
}

/** An assignment of no jobs to no machines; tests override what they need. */
const INPUT: AssignmentInput = {
  now: 0,
  probes: new ProbeSchedule(clusterConfig),
  jobs: [],
  statuses: [],
  pendingAssignments: [],
  clusterConfig,
  types: new Map([[type.name, type]]),
  maxAssignments: 12,
  preempts: true,
  heldBack: null,
  groups: null,
};

function statusOf(machines: readonly MachineStatus[], overrides: Partial<PartitionStatus> = {}): PartitionStatus {
  return { partitionId: 0, term: 1, revision: 0, machines, missing: NO_RESOURCES, running: [], ...overrides };
}

/** Assigns waiting jobs to machines, and counts how often the assignment reads the zone of a machine. */
function countMachineReads(
  machineCount: number,
  jobCount: number,
  freeGpus: number,
  overrides: Partial<JobSpec> = {},
): { reads: number; assigned: number; unschedulable: number } {
  let reads = 0;
  const machineStatuses = Array.from({ length: machineCount }, (_, i): MachineStatus => {
    const machine = machineStatusIn(`m-${i}`, ZONES[i % 3]!, freeGpus);
    return new Proxy(machine, {
      get(target, property) {
        if (property === 'zone') reads++;
        return Reflect.get(target, property) as unknown;
      },
    });
  });
  const table = new JobTable(() => 64);
  for (let i = 0; i < jobCount; i++) {
    const spec = specOf(`j-${i}`, { image: `img-${i % 7}`, ...overrides });
    const record = { final: null, spec, acceptedAt: i, cancelled: false, isCrashLooping: false, assignedRanges: [] };
    table.applyJob(spec.id, jobRecord.write(record), i + 1);
  }
  const { assignments, unschedulable } = assignTasks({
    ...INPUT,
    jobs: table.live.values(),
    statuses: [statusOf(machineStatuses)],
  });
  return { reads, assigned: assignments.length, unschedulable: unschedulable.length };
}

// Guards against a leader that searches all of its full machines for every waiting task in every assignment.
test('one assignment reads machines at most in proportion to their number, regardless of how many jobs wait', () => {
  const small = countMachineReads(50, 100, 8);
  assert.equal(small.assigned, 12);
  assert.ok(countMachineReads(100, 100, 8).reads <= small.reads * 2.1);
  assert.ok(countMachineReads(50, 400, 8).reads <= small.reads * 1.1);
  const full = countMachineReads(50, 100, 0);
  assert.equal(full.unschedulable, 100);
  assert.ok(countMachineReads(100, 100, 0).reads <= full.reads * 2.1);
  assert.ok(countMachineReads(50, 400, 0).reads <= full.reads * 1.1);
  for (const free of [8, 0]) {
    const earlier = countMachineReads(200, 400, free);
    assert.ok(countMachineReads(900, 1800, free).reads <= earlier.reads * 4.5 * 1.1, `${free} free`);
  }
});

// Guards against a leader that searches all machines for each task of a huge array, for longer than its store lease.
test('one assignment of an array reads machines in proportion to their number, whatever the number of tasks', () => {
  const small = countMachineReads(400, 1, 8, { tasks: 100_000 });
  assert.equal(small.assigned, 1);
  assert.ok(countMachineReads(800, 1, 8, { tasks: 100_000 }).reads <= small.reads * 2.2);
  assert.ok(countMachineReads(400, 1, 8, { tasks: 2_000 }).reads * 1.7 >= small.reads);
});

// Guards against a leader that searches all of its full machines for each service that is spread or in one zone.
test('one assignment searches full machines once for all jobs of a shape that have their zones chosen', () => {
  for (const overrides of [{ spread: true }, { oneZone: true }]) {
    const full = countMachineReads(100, 50, 0, overrides);
    assert.equal(full.unschedulable, 50);
    assert.ok(countMachineReads(100, 800, 0, overrides).reads <= full.reads * 1.1, JSON.stringify(overrides));
  }
});

// Guards against a leader that looks at all pending assignments for each of its machines, in each assignment.
test('the steps of counting pending assignments grow with them and the machines, not with their product', () => {
  const stepsFor = (machineCount: number): number => {
    const counter = new StepCounter(1e8);
    const need = { ...NO_RESOURCES, cpus: 1 };
    const pendingAssignments = Array.from({ length: machineCount * 6 }, (_, i) =>
      counter.countReads({ machine: `m-${i % machineCount}`, partitionId: 0, revision: 5, need }),
    );
    const machines = Array.from({ length: machineCount }, (_, i) => machineStatusIn(`m-${i}`, 'a', 8));
    const statuses = [statusOf(machines, { revision: 4 })];
    const { free } = assignTasks({ ...INPUT, statuses, pendingAssignments });
    for (const { cpus } of free.values()) assert.equal(cpus, 48 - 6);
    return counter.steps;
  };
  assert.ok(stepsFor(800) <= stepsFor(200) * 4.4);
});

// The assigned ranges of a job keep its finished tasks. If these counted as running, the rest of a `oneZone` job would
// wait for a zone that may have lost its machines.
test('a oneZone job continues in another zone only after all its tasks in the first zone have finished', () => {
  const table = new JobTable(() => 64);
  const spec = specOf('j-1', { oneZone: true });
  const assignedRanges = [{ from: 0, count: 2, partitionId: 0, zone: 'a', term: 1 }];
  table.applyJob(
    spec.id,
    jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges }),
    1,
  );
  const assignedZones = (): (string | null)[] => {
    const statuses = [statusOf([machineStatusIn('m-1', 'b', 8)], { partitionId: 1 })];
    const { assignments } = assignTasks({ ...INPUT, jobs: table.live.values(), statuses });
    return assignments.flatMap(({ added }) => added.filter((range) => range.from >= 2).map((range) => range.zone));
  };
  const finish = (tasks: number, version: number): void =>
    table.applyFinished(
      { kind: 'finished', id: spec.id, partitionId: 0, page: 0 },
      finishedRecord.write(new Uint8Array([2 ** tasks - 1])),
      version,
    );
  assert.deepEqual(assignedZones(), []);
  finish(1, 2);
  assert.deepEqual(assignedZones(), []);
  finish(2, 3);
  assert.deepEqual(assignedZones(), ['b']);
});
