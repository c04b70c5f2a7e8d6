// What a machine is for at the moment, as the leader derives it from its owner's status.
import type { MachineStatus } from '../scheduling/partition-status';

/**
 * in use:  it holds tasks, or may.
 * planned: it holds nothing, and its owner expects waiting tasks to be started there.
 * idle:    it holds nothing, and no waiting task is planned for it.
 */
export type MachineUse = 'in use' | 'planned' | 'idle';

/**
 * The use of a machine. Statuses have no field for it: one that is `empty` holds nothing, so what it has by priority is
 * what is planned. Owners of earlier versions do not publish what is planned; their machines are either in use or idle.
 */
export function machineUse({ empty, byPriority }: Pick<MachineStatus, 'empty' | 'byPriority'>): MachineUse {
  if (!empty) return 'in use';
  const isPlanned = byPriority.some(({ cpus, gpus, memoryGb }) => cpus > 0 || gpus > 0 || memoryGb > 0);
  return isPlanned ? 'planned' : 'idle';
}
