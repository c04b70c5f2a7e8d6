import { type ClusterConfig, Job, type MachineStatus, NO_RESOURCES, type Team } from '@gingerlock/core';
import type { JobSpec } from '@gingerlock/wire';
import { PRIORITIES } from '@gingerlock/wire';
import { CLUSTER_CONFIG, machineStatusOf as emptyMachineStatusOf, specOf } from '../../core/test/fixtures';

export function teamOf(name: string, gpus: number, gpusMax = 1000): Team {
  return { name, cpus: 0, cpusMax: 0, gpus, gpusMax };
}

export function clusterConfigOf(teams: readonly Team[]): ClusterConfig {
  const teamsByName = new Map(teams.map((team) => [team.name, team]));
  return { ...CLUSTER_CONFIG, controllerCount: 3, zones: ['a', 'b'], teams: teamsByName };
}

/** A job with the first `assigned` tasks assigned to partition 0. */
export function jobOf(id: string, overrides: Partial<JobSpec> = {}, assigned = 0): Job {
  const job = new Job(id);
  const small = { jobClass: 'any', cpus: 1, memoryGb: 1, imageGb: 1, spot: true, estimateS: 60 };
  job.spec = specOf(id, { ...small, ...overrides });
  job.effectivePriority = PRIORITIES.indexOf(job.spec.priority);
  if (assigned > 0) job.assignedRanges = [{ from: 0, count: assigned, partitionId: 0, zone: null, term: 3 }];
  return job;
}

/** The status of a machine that has nothing free. */
export function machineStatusOf(name: string, overrides: Partial<MachineStatus> = {}): MachineStatus {
  return emptyMachineStatusOf(name, { free: NO_RESOURCES, ...overrides });
}
