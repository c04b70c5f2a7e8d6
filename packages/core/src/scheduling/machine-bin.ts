// The machines as bins, into which one assignment packs tasks.
import { groupBy } from '../cluster/group-by';
import { addResources, fitsIn, NO_RESOURCES, type Resources, subtractResources } from '../cluster/resources';
import { allowsMachine } from '../cluster/placement-constraints';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput, PendingAssignment } from './assignment-types';
import type { MachineStatus, PartitionStatus } from './partition-status';

/** A machine that takes work, and the resources that the current assignment has left on it. */
export interface MachineBin {
  readonly machine: MachineStatus;
  readonly partitionId: number;
  /** Term of the partition's owner. */
  readonly term: number;
  free: Resources;
  /** By priority, the most urgent first: the resources that preempting work of that priority would free. */
  readonly byPriority: Resources[];
}

/** The bins of all machines that take work; resources that pending assignments will use are not free. */
export function machineBinsOf({ statuses, pendingAssignments }: AssignmentInput): MachineBin[] {
  const bins: MachineBin[] = [];
  const pendingByMachine = groupBy(pendingAssignments, ({ machine }) => machine);
  for (const status of statuses) {
    const { partitionId, term } = status;
    for (const machine of status.machines) {
      if (!machine.takesWork) continue;
      const free = freeAfterPending(machine, status, pendingByMachine.get(machine.name) ?? []);
      bins.push({ machine, partitionId, term, free, byPriority: [...machine.byPriority] });
    }
  }
  return bins;
}

/** The free resources of a machine less those of its pending assignments that the status does not reflect. */
function freeAfterPending(
  machine: MachineStatus,
  { partitionId, revision }: PartitionStatus,
  pendingAssignments: readonly PendingAssignment[],
): Resources {
  let { free } = machine;
  for (const pending of pendingAssignments) {
    if (pending.partitionId === partitionId && pending.revision > revision)
      free = subtractResources(free, pending.need);
  }
  return free;
}

/** Whether the job may run on the bin's machine, regardless of its free resources. */
export function mayRunIn(job: Job, { machine }: MachineBin): boolean {
  return allowsMachine(job.spec, machine.type, machine.zone, machine.spot);
}

/** The resources that would be free in the bin if all less urgent work were preempted. */
export function freeWithPreemption(bin: MachineBin, ownPriority: number): Resources {
  return bin.byPriority.slice(ownPriority + 1).reduce((sum, resources) => addResources(sum, resources), bin.free);
}

/**
 * The least urgent priority whose work may stay if all less urgent work is preempted to fit the task; null: the task
 * does not fit even if all work less urgent than it is preempted.
 */
export function leastUrgentPriorityKept(job: Job, bin: MachineBin): number | null {
  let available = bin.free;
  let priority = bin.byPriority.length - 1;
  for (; priority > job.ownPriority && !fitsIn(job.need, available); priority--)
    available = addResources(available, bin.byPriority[priority]!);
  return fitsIn(job.need, available) ? priority : null;
}

/** Allocates one task in the bin; while it does not fit, preempts the least urgent work that is left. */
export function allocateInBin(bin: MachineBin, job: Job): void {
  for (
    let priority = bin.byPriority.length - 1;
    priority > job.ownPriority && !fitsIn(job.need, bin.free);
    priority--
  ) {
    bin.free = addResources(bin.free, bin.byPriority[priority]!);
    bin.byPriority[priority] = NO_RESOURCES;
  }
  bin.free = subtractResources(bin.free, job.need);
}
