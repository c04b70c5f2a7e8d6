// Tasks that are assigned to a partition which has no machine for them, and that their owner can't give back.
import type { MachineType } from '@gingerlock/wire';
import type { UnschedulableDemand } from './assignment-types';
import type { MachineStatus, PartitionStatus } from './partition-status';
import { fitsIn } from '../cluster/resources';
import { type Partitioner } from '../cluster/partitioner';
import { allowsMachine } from '../cluster/placement-constraints';
import { unfinishedIn } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';

export interface ImmovableDemandInput {
  readonly jobs: Iterable<Job>;
  readonly statuses: readonly PartitionStatus[];
  readonly types: ReadonlyMap<string, MachineType>;
  readonly partitioner: Partitioner;
  readonly zones: readonly string[];
  /** Whether the state service would not take the job's record, whatever its owners leave out of it. */
  readonly isFrozen: (job: Job) => boolean;
}

/**
 * An owner gives tasks back by a smaller record of their job. Where the state service takes none, as after its limit on values was lowered,
 * they can run in their partition alone: a machine has to be rented there, or they wait for ever.
 */
export function findImmovableDemand(input: ImmovableDemandInput): UnschedulableDemand[] {
  const immovable: UnschedulableDemand[] = [];
  for (const job of input.jobs) {
    if (job.cancelled || job.assignedRanges.length === 0 || !input.isFrozen(job)) continue;
    for (const status of input.statuses) {
      const count = waitingIn(job, status);
      if (count <= 0 || status.machines.some((machine) => couldTake(machine, job, input.types))) continue;
      immovable.push({ job, count, zones: zonesFor(job, status.partitionId, input) });
    }
  }
  return immovable;
}

/** How many tasks of the job wait in the partition; none while its summary is older than the assignment. */
function waitingIn(job: Job, { partitionId, revision, running }: PartitionStatus): number {
  if (revision < job.version) return 0;
  const assigned = job.assignedRanges
    .filter((range) => range.partitionId === partitionId)
    .reduce((n, range) => n + unfinishedIn(job, range), 0);
  return assigned - (running.find(([id]) => id === job.id)?.[1] ?? 0);
}

/** Whether tasks of the job could run on the machine, now or once it has room. */
function couldTake(machine: MachineStatus, { spec }: Job, types: ReadonlyMap<string, MachineType>): boolean {
  const type = types.get(machine.type);
  return (
    machine.takesWork &&
    type !== undefined &&
    fitsIn(spec, type) &&
    allowsMachine(spec, machine.type, machine.zone, machine.spot)
  );
}

/** The zones whose machines belong to the partition, some of them at least, and to which its tasks of the job are bound. */
function zonesFor(job: Job, partitionId: number, { partitioner, zones }: ImmovableDemandInput): string[] {
  const bound = new Set(
    job.assignedRanges.filter((range) => range.partitionId === partitionId).map((range) => range.zone),
  );
  return zones.filter(
    (zone) => partitioner.partitionsOf(zone).includes(partitionId) && (bound.has(null) || bound.has(zone)),
  );
}
