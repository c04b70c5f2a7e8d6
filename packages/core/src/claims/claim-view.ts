/**
 * What placement, planning and the queries read of a claim table. They know this interface alone, and the table calls
 * them.
 */
import type { MachineType } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Job } from '../jobs/jobs';
import type { MemberPolicy } from './member-policy';
import type { Reservations } from './reservations';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/** A claim table as seen by those that do not change it. Moments are steady milliseconds. */
export interface ClaimView {
  readonly clusterConfig: ClusterConfig;
  /** Whether waiting tasks may preempt work of lower priority. */
  readonly preempts: boolean;
  /** Resources that are kept free for certain tasks. */
  readonly reservations: Reservations;
  /** Decides on the members of replica groups. */
  readonly members: MemberPolicy;
  /** Where a job is not to be started for a while, because it failed there. */
  readonly failures: { isExcluded(job: string, machine: string, now: number): boolean };
  /** By name: the machines that have sent a heartbeat to this owner. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Machines of the membership that may run tasks of an earlier owner. */
  readonly unconfirmedMachines: ReadonlyMap<string, string>;
  /** By job and task index. */
  readonly tasksByJob: ReadonlyMap<string, ReadonlyMap<number, TaskEntry>>;
  /** The machine types that are known now, by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** Whether no machine can hold a task of an earlier owner any more. */
  readonly isFencingOver: boolean;
  /** When this owner acquired the partition. */
  readonly openedAt: number;
  /** When the fencing period ends at the latest, save for machines that this owner has answered itself. */
  readonly fencedUntil: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[];
  /** The waiting tasks of the job; none of a cancelled one. */
  waitingTasks(job: Job): Iterable<TaskEntry> & Iterator<TaskEntry>;
  /** The machine's type; undefined: the cloud has not listed it yet. */
  typeOf(machine: Machine): MachineType | undefined;
  /** What a machine has left after its claims and the orphaned tasks that it reports. */
  freeResources(machine: Machine): Resources;
  /** Whether new tasks may be granted to the machine at all. */
  mayTakeWork(machine: Machine, now: number): boolean;
  /** Whether the machine has missed so many heartbeats that it may have failed. */
  isSuspect(machine: Machine, now: number): boolean;
  /** Whether the job failed wherever it was started, by its record or by what was seen in this partition. */
  isCrashLooping(job: Job): boolean;
  /** Whether a waiting task may be started: of a crash-looping job only a single probe, and once. */
  mayStart(task: TaskEntry): boolean;
  /** How long until the machine's next heartbeat, about, or 0 if one can be requested. */
  nextHeartbeatInMs(machine: Machine, now: number): number;
  /** Whether to request a heartbeat from the machine now. */
  mayRequestHeartbeat(machine: Machine, now: number): boolean;
}
