// How a machine is used, as derived from its owner's status.
import type { MachineStatus } from '../scheduling/partition-status';

/**
 * How a machine is used:
 * - in use: it holds tasks, or may hold some.
 * - planned: it holds no tasks, and its owner plans to start waiting tasks there.
 * - idle: it holds no tasks, and none are planned for it.
 */
export type MachineUse = 'in use' | 'planned' | 'idle';

/**
 * Returns the use of a machine. Statuses have no field for it: a machine that is `empty` holds no tasks, so any
 * resources in `byPriority` are planned. Owners of earlier versions do not publish planned tasks; their machines are
 * either in use or idle.
 */
export function machineUse({ empty, byPriority }: Pick<MachineStatus, 'empty' | 'byPriority'>): MachineUse {
  if (!empty) return 'in use';
  const isPlanned = byPriority.some(({ cpus, gpus, memoryGb }) => cpus > 0 || gpus > 0 || memoryGb > 0);
  return isPlanned ? 'planned' : 'idle';
}
