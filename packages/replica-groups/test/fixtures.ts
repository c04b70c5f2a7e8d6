import type { ClusterConfig } from '@gingerlock/core';
import type { JobSpec, MachineType } from '@gingerlock/wire';
import { BOX, CLUSTER_CONFIG as ONE_ZONE_CONFIG, specOf as arraySpecOf } from '../../core/test/fixtures';
import { REPLICA_GROUP_DEFAULTS, type ReplicaGroupSettings } from '../src/index';

const ZONES = ['a', 'b', 'c'];

export const CLUSTER_CONFIG: ClusterConfig = { ...ONE_ZONE_CONFIG, controllerCount: 3, zones: ZONES };

export const SETTINGS: ReplicaGroupSettings = { ...REPLICA_GROUP_DEFAULTS, classes: new Set(['replicated']) };

export const MACHINE_TYPE: MachineType = { ...BOX, cpus: 8, memoryGb: 32, bootS: 10, zones: ZONES };

/** A service of three members. */
export function specOf(overrides: Partial<JobSpec> = {}): JobSpec {
  const service = { jobClass: 'replicated', kind: 'service', priority: 'high', tasks: 3, estimateS: 0 } as const;
  return arraySpecOf('j-1', { ...service, ...overrides });
}
