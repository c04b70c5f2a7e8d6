import type { ClusterConfig } from '@gingerlock/core';
import type { JobSpec, MachineType } from '@gingerlock/wire';
import { REPLICA_GROUP_DEFAULTS, type ReplicaGroupSettings } from '../src/index';

export const CLUSTER_CONFIG: ClusterConfig = {
  controllerCount: 3,
  zones: ['a', 'b', 'c'],
  teams: new Map(),
  heartbeatIntervalMs: 1000,
  workerLeaseMs: 6000,
  cancellationBoundMs: 20_000,
  maxClockSkewMs: 100,
  cloudListLagMs: 2000,
  maxAssignedTasks: Infinity,
};

export const SETTINGS: ReplicaGroupSettings = { ...REPLICA_GROUP_DEFAULTS, classes: new Set(['replicated']) };

export const MACHINE_TYPE: MachineType = {
  name: 'box',
  cpus: 8,
  gpus: 4,
  memoryGb: 32,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 4,
  spotPrice: 1,
  bootS: 10,
  zones: ['a', 'b', 'c'],
};

/** A service of three members. */
export function specOf(overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'j-1',
    jobClass: 'replicated',
    team: 'red',
    kind: 'service',
    priority: 'high',
    tasks: 3,
    cpus: 2,
    gpus: 1,
    memoryGb: 8,
    image: 'img',
    imageGb: 30,
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
    ...overrides,
  };
}
