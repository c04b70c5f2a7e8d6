// What the autoscaler is given and what it plans.
import type { MachineType } from '@gingerlock/wire';
import type { Partitioner } from '../cluster/partitioner';
import type { UnschedulableDemand } from '../scheduling/assignment-types';
import type { PartitionStatus } from '../scheduling/partition-status';
import type { PlannedScaleOut } from './scale-out-plan';

/** What the operators have set. */
export interface AutoscalerLimits {
  /** GPUs kept free on ordinary machines, as a share of those in use. */
  readonly headroom: number;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
}

/** The state of the cluster that a plan is made for. */
export interface AutoscalerInput {
  /** On the leader's clock, in milliseconds. */
  readonly now: number;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  readonly statuses: readonly PartitionStatus[];
  /** Tasks that fit nowhere, the most urgent first. */
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly partitioner: Partitioner;
  /** Names of machines that are neither emptied nor returned while idle. */
  readonly pinned?: ReadonlySet<string>;
}

/** What is to be rented, returned and drained now. */
export interface AutoscalerPlan {
  readonly scaleOut: PlannedScaleOut[];
  /** Names of machines to be returned. */
  readonly scaleIn: string[];
  /** Names of machines that are to get no more work. */
  readonly drain: string[];
}
