// Finds assigned tasks that have no machine in their partition and that its owner can't return to the leader.
import type { MachineType } from '@gingerlock/wire';
import { capacityOf, fitsIn } from '../cluster/resources';
import { type Partitioner } from '../cluster/partitioner';
import { allowsMachine } from '../cluster/placement-constraints';
import { countUnfinishedIn } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { MachineStatus, PartitionStatus } from './partition-status';
import type { UnschedulableDemand } from './assignment-types';

/** Input of `findImmovableDemand`. */
export interface ImmovableDemandInput {
  readonly jobs: Iterable<Job>;
  readonly statuses: readonly PartitionStatus[];
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  readonly partitioner: Partitioner;
  /** All zones. */
  readonly zones: readonly string[];
  /** Whether the key-value store would reject the job's record even without the ranges of any one partition. */
  readonly isRecordTooLarge: (job: Job) => boolean;
}

/**
 * Finds the tasks that can run only in their partition and have no machine there. An owner returns tasks to the leader
 * by writing a smaller record of their job. If the store rejects even that, as it may after its limit on values was
 * lowered, the tasks wait forever unless a machine is rented in the partition.
 */
export function findImmovableDemand(input: ImmovableDemandInput): UnschedulableDemand[] {
  const immovable: UnschedulableDemand[] = [];
  for (const job of input.jobs) {
    if (job.isCancelled || job.assignedRanges.length === 0 || !input.isRecordTooLarge(job)) continue;
    for (const status of input.statuses) {
      const count = waitingIn(job, status);
      if (count <= 0 || status.machines.some((machine) => couldTake(machine, job, input.types))) continue;
      immovable.push({ job, count, zones: zonesFor(job, status.partitionId, input) });
    }
  }
  return immovable;
}

/** How many tasks of the job wait in the partition; 0 while its status is older than the assignment. */
function waitingIn(job: Job, { partitionId, revision, running }: PartitionStatus): number {
  if (revision < job.version) return 0;
  const assigned = job.assignedRanges
    .filter((range) => range.partitionId === partitionId)
    .reduce((sum, range) => sum + countUnfinishedIn(job, range), 0);
  const runningCount = running.find(([id]) => id === job.id)?.[1] ?? 0;
  return assigned - runningCount;
}

/** Whether tasks of the job could run on the machine, now or after other tasks have freed its resources. */
function couldTake(machine: MachineStatus, { spec, need }: Job, types: ReadonlyMap<string, MachineType>): boolean {
  const type = types.get(machine.type);
  return (
    machine.takesWork &&
    type !== undefined &&
    fitsIn(need, capacityOf(type)) &&
    allowsMachine(spec, machine.type, machine.zone, machine.spot)
  );
}

/** The zones of the partition in which its tasks of the job may run. */
function zonesFor(job: Job, partitionId: number, { partitioner, zones }: ImmovableDemandInput): string[] {
  const boundZones = new Set(
    job.assignedRanges.filter((range) => range.partitionId === partitionId).map((range) => range.zone),
  );
  return zones.filter(
    (zone) => partitioner.partitionsOf(zone).includes(partitionId) && (boundZones.has(null) || boundZones.has(zone)),
  );
}
