import type { CloudMachine, MachineType } from '@gingerlock/wire';
import {
  capacityOf,
  type MachineStatus,
  NO_RESOURCES,
  Partitioner,
  type PartitionStatus,
  subtractResources,
} from '../src/index';
import { BOX, CLUSTER_CONFIG, machineStatusOf } from './fixtures';

export const clusterConfig = { ...CLUSTER_CONFIG, controllers: 2, zones: ['a', 'b'] };
export const type: MachineType = { ...BOX, cpus: 8, memoryGb: 32, fetchGbPerS: 5, bootS: 10, zones: ['a', 'b'] };
export const types = new Map([[type.name, type]]);
export const limits = { headroom: 0, maxOrdinaryMachines: Infinity, maxSpotMachines: Infinity };

export function listed(name: string, ageS: number): CloudMachine {
  return { name, addr: '', type: 'box', zone: 'a', spot: false, state: 'running', ageS };
}

/** The status of a machine on which replicas use `gpus` GPUs. */
export function used(name: string, gpus: number, overrides: Partial<MachineStatus> = {}): MachineStatus {
  const usedResources = { ...NO_RESOURCES, cpus: gpus * 2, gpus, memoryGb: gpus * 8 };
  return machineStatusOf(name, {
    free: subtractResources(capacityOf({ cpus: 8, gpus: 4, memoryGb: 32 }), usedResources),
    byPriority: [usedResources, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES],
    ...overrides,
  });
}

export const PARTITIONER = new Partitioner(2);

export function statuses(term: number, machines: readonly MachineStatus[]): PartitionStatus[] {
  return [0, 1].map((partitionId) => ({
    partitionId,
    term,
    revision: 1,
    machines: machines.filter((m) => PARTITIONER.partitionOf(m.name, m.zone) === partitionId),
    missing: NO_RESOURCES,
    running: [],
  }));
}
