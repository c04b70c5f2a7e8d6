// What the leader's assignment is given and what it returns.
import type { AssignedRange, MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Resources } from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type { GroupPlanner } from './group-planner';
import type { PartitionStatus } from './partition-status';
import type { ProbePolicy } from './probe-policy';

/** Where one more task of a job is to run: the partition, its owner's term, and the zone that the task is bound to. */
export type Placement = Omit<AssignedRange, 'from' | 'count'>;

/** The machine that a task is meant for, and what it needs there. */
export interface IntendedUse {
  readonly machine: string;
  readonly need: Resources;
}

/** An earlier assignment that its owner's status may not show yet. */
export interface PendingAssignment extends IntendedUse {
  /** Revision of the job's record that holds it. */
  readonly revision: number;
  readonly partitionId: number;
}

/** Tasks of one job that are assigned to partitions. */
export interface Assignment {
  readonly job: Job;
  /** What is added to the assigned ranges of its record. */
  readonly added: readonly AssignedRange[];
  /** Which machine each task is meant for: counted against its free resources until the owner's status shows it. */
  readonly intended: readonly IntendedUse[];
}

/** Tasks that fit nowhere now, though their team's limit allows them. */
export interface UnschedulableDemand {
  readonly job: Job;
  readonly count: number;
  /** Zones that they may go to; null: any. */
  readonly zones: readonly string[] | null;
}

/** Where all members of a replica group are to run. */
export interface GroupPlacement {
  readonly job: Job;
  /** By rank. */
  readonly members: readonly (Placement & { readonly machine: string })[];
}

/**
 * Why a replica group that waits was not placed:
 * - backoff: it could be placed, but for the backoff after its last generation.
 * - team limit: its team's limit does not allow all of its members.
 * - no machines: some members fit on no machine, as `missing` says.
 * - GPUs held back: all members fit, but would use GPUs that are held back for the guarantees of other teams.
 * - assignment full: the assignment had reached its size before its turn.
 */
export type GroupWaitReason = 'backoff' | 'team limit' | 'no machines' | 'GPUs held back' | 'assignment full';

/** A replica group that waits and was not placed. */
export interface WaitingGroup {
  readonly job: Job;
  readonly why: GroupWaitReason;
}

/** The state of the cluster that tasks are assigned on. */
export interface AssignmentInput {
  /** In milliseconds, on the clock of `probes`. */
  readonly now: number;
  readonly probes: ProbePolicy;
  readonly jobs: Iterable<Job>;
  readonly statuses: readonly PartitionStatus[];
  readonly pendingAssignments: readonly PendingAssignment[];
  readonly clusterConfig: ClusterConfig;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** How many jobs may be assigned tasks at once. */
  readonly maxAssignments: number;
  /** Whether tasks may be assigned to resources that are freed by preempting work of lower priority. */
  readonly preempts: boolean;
  /**
   * By team: GPUs of its guarantee that it has work for and does not use, which others' work beyond their guarantees
   * leaves free. Work within a guarantee then goes first. Null: guarantees have no part in the order.
   */
  readonly heldBack: ReadonlyMap<string, number> | null;
  /** Null: there are no replica groups. */
  readonly groups: GroupPlanner | null;
}

/** What one assignment of all jobs has found. */
export interface AssignmentResult {
  readonly assignments: readonly Assignment[];
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly groups: readonly GroupPlacement[];
  readonly waitingGroups: readonly WaitingGroup[];
  /** Names of machines that fit some members of a group of which others fit nowhere. */
  readonly partlyFittingMachines: ReadonlySet<string>;
  /** Names of machines that groups could be placed on now but for their backoff. */
  readonly backoffMachines: ReadonlySet<string>;
  /** By name of each machine that takes work: what is left free on it. */
  readonly free: ReadonlyMap<string, Resources>;
}
