// Input and result of the leader's assignment.
import type { AssignedRange, MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Resources } from '../cluster/resources';
import type { Job } from '../jobs/jobs';
import type { GroupPlanner } from './group-planner';
import type { PartitionStatus } from './partition-status';
import type { ProbePolicy } from './probe-policy';

/** Where one more task of a job will run: the partition, its owner's term, and the zone that the task is bound to. */
export type Placement = Omit<AssignedRange, 'from' | 'count'>;

/** The machine that a task is meant for, and the resources that it needs there. */
export interface IntendedUse {
  readonly machine: string;
  readonly need: Resources;
}

/** An earlier assignment that its owner's status may not show yet. */
export interface PendingAssignment extends IntendedUse {
  /** Revision of the job's record that contains the assignment. */
  readonly revision: number;
  readonly partitionId: number;
}

/** Tasks of one job that are assigned to partitions. */
export interface Assignment {
  readonly job: Job;
  /** Ranges to add to the assigned ranges of the job's record. */
  readonly added: readonly AssignedRange[];
  /** Intended use of each task, counted against its machine's free resources until the owner's status shows it. */
  readonly intended: readonly IntendedUse[];
}

/** Tasks that their team's limit allows but that fit on no machine now. */
export interface UnschedulableDemand {
  readonly job: Job;
  readonly count: number;
  /** Zones that they may go to; null: any. */
  readonly zones: readonly string[] | null;
}

/** Where all members of a replica group will run. */
export interface GroupPlacement {
  readonly job: Job;
  /** Members in the order of their ranks. */
  readonly members: readonly (Placement & { readonly machine: string })[];
}

/**
 * Why a waiting replica group was not placed:
 * - backoff: it would fit, but the backoff after its last generation is not over.
 * - team limit: its team's limit does not allow all of its members.
 * - no machines: some members fit on no machine, as `missing` says.
 * - GPUs held back: all members fit, but would use GPUs that are held back for the guarantees of other teams.
 * - assignment full: the assignment had reached `maxAssignments` before the group's turn.
 */
export type GroupWaitReason = 'backoff' | 'team limit' | 'no machines' | 'GPUs held back' | 'assignment full';

/** A waiting replica group that was not placed, and the reason. */
export interface WaitingGroup {
  readonly job: Job;
  readonly why: GroupWaitReason;
}

/** The state of the cluster and the rules by which tasks are assigned. */
export interface AssignmentInput {
  /** Time in milliseconds, on the clock of `probes`. */
  readonly now: number;
  readonly probes: ProbePolicy;
  readonly jobs: Iterable<Job>;
  readonly statuses: readonly PartitionStatus[];
  readonly pendingAssignments: readonly PendingAssignment[];
  readonly clusterConfig: ClusterConfig;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** The most jobs whose tasks one assignment may place. */
  readonly maxAssignments: number;
  /** Whether tasks may be assigned to resources that are freed by preempting work of lower priority. */
  readonly preempts: boolean;
  /**
   * By team: unused GPUs of its guarantee that it has waiting work for. Other teams' work beyond their guarantees
   * leaves them free, and work within a guarantee is assigned first. Null: guarantees do not affect the assignment.
   */
  readonly heldBack: ReadonlyMap<string, number> | null;
  /** Null: there are no replica groups. */
  readonly groups: GroupPlanner | null;
}

/** The result of one assignment of all jobs. */
export interface AssignmentResult {
  readonly assignments: readonly Assignment[];
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly groups: readonly GroupPlacement[];
  readonly waitingGroups: readonly WaitingGroup[];
  /** Names of machines that fit members of a group that could not be placed as a whole. */
  readonly partlyFittingMachines: ReadonlySet<string>;
  /** Names of the machines on which groups in their backoff would fit now. */
  readonly backoffMachines: ReadonlySet<string>;
  /** By name of each machine that takes work: the resources that are left free on it. */
  readonly free: ReadonlyMap<string, Resources>;
}
