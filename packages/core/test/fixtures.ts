import type { JobSpec, MachineType } from '@gingerlock/wire';
import { capacityOf, type ClusterConfig, type MachineStatus, NO_RESOURCES, type ScaleOutPlanInput } from '../src/index';

/** Settings of a small deployment; tests override what they need. */
export const CLUSTER_CONFIG: ClusterConfig = {
  controllerCount: 5,
  zones: ['a'],
  teams: new Map(),
  heartbeatIntervalMs: 1000,
  workerLeaseMs: 6000,
  cancellationBoundMs: 20_000,
  maxClockSkewMs: 100,
  cloudListLagMs: 2000,
  maxAssignedTasks: Infinity,
};

/** The status of a machine without tasks. */
export function machineStatusOf(name: string, overrides: Partial<MachineStatus> = {}): MachineStatus {
  return {
    name,
    type: 'box',
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    free: capacityOf({ cpus: 8, gpus: 4, memoryGb: 32 }),
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

/** A job of four small tasks. */
export function specOf(id: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    jobClass: 'batch',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    tasks: 4,
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
    estimateS: 1,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...overrides,
  };
}

/** A machine type with four GPUs. */
export const BOX: MachineType = {
  name: 'box',
  cpus: 16,
  gpus: 4,
  memoryGb: 64,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 4,
  spotPrice: 1,
  bootS: 5,
  zones: ['a'],
};

/** Input of a scale-out plan without machines, in which everything may be requested. */
export const SCALE_OUT_INPUT: Omit<ScaleOutPlanInput, 'clusterConfig' | 'types'> = {
  booting: [],
  drainingIdleMachines: [],
  known: [],
  maxOrdinaryMachines: Infinity,
  maxSpotMachines: Infinity,
  mayRequest: () => true,
  isSilent: () => false,
  wasRefused: () => false,
  isSpotOnly: () => false,
};
