// Input and output of the autoscaler.
import type { MachineType } from '@gingerlock/wire';
import type { Partitioner } from '../cluster/partitioner';
import type { UnschedulableDemand } from '../scheduling/assignment-types';
import type { PartitionStatus } from '../scheduling/partition-status';
import type { PlannedScaleOut } from './scale-out-plan';

/** The autoscaler's settings. */
export interface AutoscalerLimits {
  /** GPUs kept available to services on ordinary machines, as a share of the GPUs that services use there. */
  readonly headroom: number;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
}

/** The state of the cluster that a plan is made for. */
export interface AutoscalerInput {
  /** Time on the leader's clock, in milliseconds. */
  readonly now: number;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  readonly statuses: readonly PartitionStatus[];
  /** Tasks that fit on no machine, the most urgent first. */
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly partitioner: Partitioner;
  /** Names of machines that are neither consolidated nor returned while idle. */
  readonly pinned?: ReadonlySet<string>;
}

/** The machines to rent, return and drain now. */
export interface AutoscalerPlan {
  readonly scaleOut: PlannedScaleOut[];
  /** Names of the machines to return. */
  readonly scaleIn: string[];
  /** Names of the machines that get no more work. */
  readonly drain: string[];
}
