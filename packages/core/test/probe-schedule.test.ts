import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobRecord } from '@gingerlock/wire';
import {
  assignTasks,
  capacityOf,
  mustBeProbed,
  JobTable,
  NO_RESOURCES,
  type PartitionStatus,
  ProbeSchedule,
} from '../src/index';
import { CLUSTER_CONFIG, machineStatusOf, specOf } from './fixtures';

const team = { name: 'red', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
const clusterConfig = { ...CLUSTER_CONFIG, teams: new Map([[team.name, team]]) };
const spec = specOf('j-1', { tasks: 60, priority: 'production' });

/** Sets up a job that is marked as crash-looping, and two partitions with one machine each. */
function crashLoopingJob(
  byPriority = NO_RESOURCES,
  free = capacityOf({ cpus: 8, gpus: 4, memoryGb: 32 }),
): {
  jobs: JobTable;
  probes: ProbeSchedule;
  assign: (now: number) => ReturnType<typeof assignTasks>;
} {
  const jobs = new JobTable(() => 64);
  jobs.applyJob(
    spec.id,
    jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: true, assignedRanges: [] }),
    1,
  );
  const probes = new ProbeSchedule(clusterConfig);
  const statuses = [0, 1].map((partitionId): PartitionStatus => ({
    partitionId,
    term: 1,
    revision: 0,
    machines: [
      machineStatusOf(`m-${partitionId}`, { free, byPriority: [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, byPriority] }),
    ],
    missing: NO_RESOURCES,
    running: [],
  }));
  const assign = (now: number): ReturnType<typeof assignTasks> =>
    assignTasks({
      now,
      probes,
      jobs: jobs.live.values(),
      statuses,
      pendingAssignments: [],
      clusterConfig,
      types: new Map(),
      maxAssignments: 12,
      preempts: true,
      heldBack: null,
      groups: null,
    });
  return { jobs, probes, assign };
}

test('a crash-looping job is assigned one task at a time, with growing pauses, to alternating partitions, forever', () => {
  const { probes, assign } = crashLoopingJob();
  const times: number[] = [];
  const partitionIds: number[] = [];
  for (let now = 0; now < clusterConfig.cancellationBoundMs * 20; now += clusterConfig.heartbeatIntervalMs / 10) {
    const { assignments, unschedulable } = assign(now);
    assert.equal(unschedulable.length, 0);
    if (assignments.length === 0) continue;
    const { added } = assignments[0]!;
    assert.deepEqual([added.length, added[0]!.count], [1, 1]);
    times.push(now);
    partitionIds.push(added[0]!.partitionId);
    probes.probeStarted(spec.id, added[0]!.partitionId, now);
  }
  // The first probe starts at once; the pauses then grow up to the cancellation bound.
  const pauses = times.slice(1).map((at, i) => at - times[i]!);
  assert.equal(times[0], 0);
  assert.ok(pauses[0]! <= clusterConfig.heartbeatIntervalMs * 3);
  assert.ok(pauses.every((pause, i) => pause >= (pauses[i - 1] ?? 0) - clusterConfig.heartbeatIntervalMs));
  assert.ok(pauses.at(-1)! <= clusterConfig.cancellationBoundMs * 1.1 && pauses.length >= 18);
  assert.ok(partitionIds.every((partitionId, i) => i === 0 || partitionId !== partitionIds[i - 1]));
});

test('a probe waits for free resources: it preempts nothing and creates no demand for machines', () => {
  const available = capacityOf({ cpus: 8, gpus: 4, memoryGb: 32 });
  const { assign } = crashLoopingJob(available, NO_RESOURCES);
  assert.deepEqual([assign(0).assignments.length, assign(0).unschedulable.length], [0, 0]);
});

test('a job is assigned as a whole after a long enough probe, and needs a longer probe after it fails again', () => {
  const { jobs, probes, assign } = crashLoopingJob();
  const job = jobs.live.get(spec.id)!;
  const isLive = (id: string): boolean => jobs.live.has(id);
  const reviewWithRunning = (now: number, tasks: number): void => probes.review(isLive, [spec.id], () => tasks, now);
  const timeUntilProven = (from: number): number => {
    for (let now = from; ; now += clusterConfig.heartbeatIntervalMs) {
      reviewWithRunning(now, 1);
      if (probes.isProven(spec.id)) return now - from;
    }
  };
  reviewWithRunning(0, 0);
  assert.equal(mustBeProbed(job, probes), true);
  const first = timeUntilProven(1000);
  const { assignments } = assign(9000);
  assert.ok(assignments.flatMap((a) => a.added).reduce((n, range) => n + range.count, 0) > 1);
  probes.crashLoopMarkRemoved(spec.id);
  reviewWithRunning(10_000, 0);
  assert.equal(probes.isProven(spec.id), false);
  assert.ok(timeUntilProven(11_000) >= first * 2);
  // The run time of an interrupted probe starts again from zero.
  probes.crashLoopMarkRemoved(spec.id);
  reviewWithRunning(60_000, 1);
  reviewWithRunning(61_000, 0);
  reviewWithRunning(62_000, 1);
  assert.equal(probes.isProven(spec.id), false);
});
