import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineType, AssignedRange } from '@gingerlock/wire';
import {
  Job,
  type MachineStatus,
  NO_RESOURCES,
  Partitioner,
  type PartitionStatus,
  findImmovableDemand,
  type UnschedulableDemand,
} from '../src/index';
import { BOX, machineStatusOf, specOf } from './fixtures';

const HOME_ZONES = ['north', 'south'];
const box: MachineType = {
  ...BOX,
  cpus: 8,
  memoryGb: 32,
  fetchGbPerS: 5,
  bootS: 10,
  zones: ['north', 'south', 'west'],
};

function jobWith(assignedRanges: readonly AssignedRange[], over: Parameters<typeof specOf>[1] = {}): Job {
  const job = new Job('j-1');
  job.spec = specOf('j-1', { tasks: 8, ...over });
  job.assignedRanges = [...assignedRanges];
  job.version = 5;
  return job;
}

function rangeOf(from: number, partitionId: number, zone: string | null = null): AssignedRange {
  return { from, count: 2, partitionId, zone, term: 1 };
}

function partitionStatusOf(
  partitionId: number,
  machines: readonly MachineStatus[],
  over: Partial<PartitionStatus> = {},
): PartitionStatus {
  return { partitionId, term: 1, revision: 9, machines, missing: NO_RESOURCES, running: [], ...over };
}

function immovableDemandOf(
  job: Job,
  statuses: readonly PartitionStatus[],
  isRecordTooLarge = true,
): readonly Omit<UnschedulableDemand, 'job'>[] {
  const found = findImmovableDemand({
    jobs: [job],
    statuses,
    types: new Map([[box.name, box]]),
    partitioner: new Partitioner(HOME_ZONES.length, HOME_ZONES),
    zones: box.zones,
    isRecordTooLarge: () => isRecordTooLarge,
  });
  return found.map(({ count, zones }) => ({ count, zones }));
}

// Guards against tasks that wait forever because no machine is rented for them in a cluster without machines.
test('tasks that cannot be returned to the leader and have no machine in their partition create demand in its zones', () => {
  const job = jobWith([rangeOf(0, 0), rangeOf(2, 1), rangeOf(4, 0)]);
  const both = [partitionStatusOf(0, []), partitionStatusOf(1, [])];
  assert.deepEqual(immovableDemandOf(job, both), [
    { count: 4, zones: ['north', 'west'] },
    { count: 2, zones: ['south', 'west'] },
  ]);
  assert.deepEqual(immovableDemandOf(job, both, false), [], 'tasks that can be returned fit elsewhere');
});

test('there is no demand where a machine can take the tasks later or no task waits', () => {
  const job = jobWith([rangeOf(0, 0)]);
  const full = machineStatusOf('m-1', { zone: 'north', free: NO_RESOURCES });
  assert.deepEqual(immovableDemandOf(job, [partitionStatusOf(0, [full])]), []);
  assert.deepEqual(immovableDemandOf(job, [partitionStatusOf(0, [{ ...full, takesWork: false }])]), [
    { count: 2, zones: ['north', 'west'] },
  ]);
  assert.deepEqual(immovableDemandOf(job, [partitionStatusOf(0, [], { running: [['j-1', 1]] })]), [
    { count: 1, zones: ['north', 'west'] },
  ]);
  assert.deepEqual(
    immovableDemandOf(job, [partitionStatusOf(0, [], { revision: 4 })]),
    [],
    'the status is older than the assignment',
  );
  const bound = jobWith([rangeOf(0, 0, 'west')], { spread: true });
  assert.deepEqual(immovableDemandOf(bound, [partitionStatusOf(0, [])]), [{ count: 2, zones: ['west'] }]);
});
