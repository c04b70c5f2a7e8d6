import { type ClusterConfig, Job, type MachineStatus, NO_RESOURCES, type Team } from '@gingerlock/core';
import type { JobSpec } from '@gingerlock/wire';
import { PRIORITIES } from '@gingerlock/wire';

export function teamOf(name: string, gpus: number, gpusMax = 1000): Team {
  return { name, cpus: 0, cpusMax: 0, gpus, gpusMax };
}

export function clusterConfigOf(teams: readonly Team[]): ClusterConfig {
  return {
    controllerCount: 3,
    zones: ['a', 'b'],
    teams: new Map(teams.map((team) => [team.name, team])),
    heartbeatIntervalMs: 1000,
    workerLeaseMs: 6000,
    cancellationBoundMs: 20_000,
    maxClockSkewMs: 100,
    cloudListLagMs: 2000,
    maxAssignedTasks: Infinity,
  };
}

/** A job with the first `assigned` tasks assigned to partition 0. */
export function jobOf(id: string, overrides: Partial<JobSpec> = {}, assigned = 0): Job {
  const job = new Job(id);
  job.spec = {
    id,
    jobClass: 'any',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    tasks: 4,
    cpus: 1,
    gpus: 1,
    memoryGb: 1,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 60,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...overrides,
  };
  job.effectivePriority = PRIORITIES.indexOf(job.spec.priority);
  if (assigned > 0) job.assignedRanges = [{ from: 0, count: assigned, partitionId: 0, zone: null, term: 3 }];
  return job;
}

export function machineStatusOf(name: string, overrides: Partial<MachineStatus> = {}): MachineStatus {
  return {
    name,
    type: 'box',
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    free: NO_RESOURCES,
    byPriority: [NO_RESOURCES, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES],
    images: [],
    takesWork: true,
    draining: false,
    evictionNotice: false,
    isQuarantined: false,
    empty: false,
    emptyMs: 0,
    silentMs: 0,
    ...overrides,
  };
}
