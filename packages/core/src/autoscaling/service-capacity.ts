// What machines have for services, in GPUs: batch work makes way for them.
import { type MachineType, PRIORITIES } from '@gingerlock/wire';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';

/** Work of this priority and of less urgent ones makes way for services. */
export const BATCH_PRIORITY = PRIORITIES.indexOf('normal');

/** GPUs that a machine has for new services: those that are free, and those of batch work. */
export function gpusForServices({ byPriority, free }: MachineStatus): number {
  return byPriority.reduce((sum, { gpus }, priority) => sum + (priority >= BATCH_PRIORITY ? gpus : 0), free.gpus);
}

/** GPUs that ordinary machines that take work have for new services. */
export function freeServiceGpus(machines: Iterable<MachineStatus>): number {
  let gpus = 0;
  for (const machine of machines) if (!machine.spot && machine.takesWork) gpus += gpusForServices(machine);
  return gpus;
}

/**
 * How many GPUs ordinary machines should have free: for new services, as a share of what is in use, and for the
 * services whose heartbeats new owners still await.
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
