/**
 * The read-only view of a claim table for placement, planning and queries. They depend on this interface and not on the
 * table, because the table calls them.
 */
import type { MachineType } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Job } from '../jobs/jobs';
import type { MemberPolicy } from './member-policy';
import type { Reservations } from './reservations';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/** A read-only view of a claim table. Times are steady milliseconds. */
export interface ClaimView {
  readonly clusterConfig: ClusterConfig;
  /** Whether waiting tasks may preempt work of lower priority. */
  readonly preempts: boolean;
  /** Resources that are kept free for certain tasks. */
  readonly reservations: Reservations;
  /** Decides when members of replica groups are started and returned. */
  readonly members: MemberPolicy;
  /** Tells whether a job has failed, and on which machines it may not start for a while because it failed there. */
  readonly failures: {
    hasFailed(job: string): boolean;
    isExcluded(job: string, machine: string, now: number): boolean;
  };
  /** The machines that have sent a heartbeat to this owner, by name. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Addresses of the machines in the membership that may run tasks of an earlier owner, by name. */
  readonly unconfirmedMachines: ReadonlyMap<string, string>;
  /** The tasks of the partition, by job id and task index. */
  readonly tasksByJob: ReadonlyMap<string, ReadonlyMap<number, TaskEntry>>;
  /** The machine types that are known now, by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** Whether the fencing period is over: no machine can hold an unreported task of an earlier owner any more. */
  readonly isFencingOver: boolean;
  /** When this owner acquired the partition. */
  readonly acquiredAt: number;
  /** When the fencing period ends at the latest; machines that this owner has answered itself can prolong it. */
  readonly fencedUntil: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** The jobs that may have waiting tasks, in the order of `jobOrder`. */
  wakes(): readonly Job[];
  /** The waiting tasks of the job; none if the job is cancelled. */
  waitingTasks(job: Job): Iterable<TaskEntry> & Iterator<TaskEntry>;
  /** The machine's type; undefined if the cloud has not listed it yet. */
  typeOf(machine: Machine): MachineType | undefined;
  /** The resources left on a machine after its claims and the orphaned tasks that it reports. */
  freeResources(machine: Machine): Resources;
  /** Whether new tasks may be granted to the machine at all. */
  mayTakeWork(machine: Machine, now: number): boolean;
  /**
   * Whether the machine has been silent for more than `SUSPECT_INTERVALS` heartbeat intervals; see
   * `MachineTable.silentMs`.
   */
  isSuspect(machine: Machine, now: number): boolean;
  /** Whether the job failed wherever it was started, according to its record or to its failures in this partition. */
  isCrashLooping(job: Job): boolean;
  /** Whether a waiting task may be started; a crash-looping job may start only a single probe, once. */
  mayStart(task: TaskEntry): boolean;
  /** Approximate time until the machine's next heartbeat, in milliseconds; 0 if one can be requested. */
  nextHeartbeatInMs(machine: Machine, now: number): number;
  /** Whether to request a heartbeat from the machine now. */
  mayRequestHeartbeat(machine: Machine, now: number): boolean;
}
