// GPUs that are available to services; services may preempt batch work.
import { type MachineType, MAX_REPORTED_TASK_BYTES, PRIORITIES } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';

/** Work of this priority or a less urgent one is batch work, which services may preempt. */
export const BATCH_PRIORITY = PRIORITIES.indexOf('normal');

/** The free GPUs that a task could use: none if the worker's report has no space for a further task. */
export function usableGpus({ gpus, reportBytes }: Pick<Resources, 'gpus' | 'reportBytes'>): number {
  return reportBytes < MAX_REPORTED_TASK_BYTES ? 0 : gpus;
}

/** GPUs of a machine that are available to new services: the free ones and those that batch work uses. */
export function gpusForServices({ byPriority, free, takesWork }: MachineStatus): number {
  let { gpus, reportBytes } = free;
  for (let priority = BATCH_PRIORITY; priority < byPriority.length; priority++) {
    gpus += byPriority[priority]!.gpus;
    reportBytes += byPriority[priority]!.reportBytes;
  }
  return takesWork ? usableGpus({ gpus, reportBytes }) : gpus;
}

/** GPUs available to new services on the ordinary machines that take work. */
export function freeServiceGpus(machines: Iterable<MachineStatus>): number {
  let gpus = 0;
  for (const machine of machines) if (!machine.spot && machine.takesWork) gpus += gpusForServices(machine);
  return gpus;
}

/**
 * How many GPUs should be available to services on ordinary machines: a share of those that services use, and the GPUs
 * of services that no machine has reported to the new owner of their partition (`missing`).
 */
export function headroomGpus(
  share: number,
  machines: Iterable<MachineStatus>,
  statuses: readonly PartitionStatus[],
  types: ReadonlyMap<string, MachineType>,
): number {
  let used = 0;
  for (const machine of machines) {
    const type = types.get(machine.type);
    if (type !== undefined && !machine.spot) used += type.gpus - gpusForServices(machine);
  }
  const missing = statuses.reduce((sum, status) => sum + status.missing.gpus, 0);
  return used * share + missing;
}
