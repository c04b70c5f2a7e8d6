// What placement, packing and the queries read of a claim table. They know this interface alone, and the table calls them.
import type { MachineType } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Job } from '../jobs/jobs';
import type { MemberPolicy } from './member-policy';
import type { Reservations } from './reservations';
import type { Machine, TaskEntry } from './task-entry';

export interface ClaimView {
  readonly clusterConfig: ClusterConfig;
  /** Whether waiting tasks may have work of lower priority stopped. */
  readonly preempts: boolean;
  readonly reservations: Reservations;
  readonly members: MemberPolicy;
  readonly failures: { isExcluded(job: string, machine: string, now: number): boolean };
  readonly machines: ReadonlyMap<string, Machine>;
  /** Machines of the membership that may run tasks of an earlier owner. */
  readonly unconfirmedMachines: ReadonlyMap<string, string>;
  /** By job and number. */
  readonly tasksByJob: ReadonlyMap<string, ReadonlyMap<number, TaskEntry>>;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Whether no machine can hold a task of an earlier owner any more. */
  readonly isFencingOver: boolean;
  /** When this owner took the partition over, and when it is cleared at the latest; steady milliseconds. */
  readonly openedAt: number;
  readonly fencedUntil: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[];
  waitingTasks(job: Job): Iterable<TaskEntry> & Iterator<TaskEntry>;
  typeOf(machine: Machine): MachineType | undefined;
  /** What a machine has left, by its claims and by strays that it reports. */
  freeResources(machine: Machine): Resources;
  takesWork(machine: Machine, now: number): boolean;
  isSuspect(machine: Machine, now: number): boolean;
  isCrashLooping(job: Job): boolean;
  mayStart(task: TaskEntry): boolean;
  /** How long until the machine reports, about, or 0 if it can be called. */
  nextHeartbeatInMs(machine: Machine, now: number): number;
  mayRequestHeartbeat(machine: Machine, now: number): boolean;
}
