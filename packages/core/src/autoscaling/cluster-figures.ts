// Counts of machines and GPUs that the leader logs.
import type { MachineType } from '@gingerlock/wire';
import type { MachineStatus } from '../scheduling/partition-status';
import type { KnownMachine } from './machine-inventory';
import { machineUse } from './machine-use';
import { BATCH_PRIORITY } from './service-capacity';

/** Counts of all machines, and of the GPUs of ordinary machines. */
export interface ClusterFigures {
  /** Known ordinary machines. */
  ordinary: number;
  /** Known spot machines. */
  spot: number;
  /** Known machines that no owner's status contains. */
  unheardMachines: number;
  /** Machines that hold no tasks and for which no waiting task is planned. */
  idle: number;
  /** GPUs that services use. */
  used: number;
  /** GPUs that batch work uses. */
  batch: number;
  /** Free GPUs. */
  free: number;
}

/** Computes the counts from the known machines and their statuses. */
export function clusterFigures(
  known: Iterable<KnownMachine>,
  machines: readonly MachineStatus[],
  types: ReadonlyMap<string, MachineType>,
): ClusterFigures {
  const figures: ClusterFigures = { ordinary: 0, spot: 0, unheardMachines: 0, idle: 0, used: 0, batch: 0, free: 0 };
  for (const { spot } of known) figures[spot ? 'spot' : 'ordinary']++;
  figures.unheardMachines = figures.ordinary + figures.spot - machines.length;
  for (const machine of machines) {
    if (machineUse(machine) === 'idle') figures.idle++;
    if (machine.spot) continue;
    const batch = batchGpus(machine);
    figures.batch += batch;
    figures.free += machine.free.gpus;
    figures.used += (types.get(machine.type)?.gpus ?? 0) - machine.free.gpus - batch;
  }
  return figures;
}

function batchGpus({ byPriority }: MachineStatus): number {
  return byPriority.reduce((sum, { gpus }, priority) => sum + (priority >= BATCH_PRIORITY ? gpus : 0), 0);
}
