// The figures of all machines that the leader logs.
import type { MachineType } from '@gingerlock/wire';
import type { MachineStatus } from '../scheduling/partition-status';
import type { KnownMachine } from './machine-inventory';
import { machineUse } from './machine-use';
import { BATCH_PRIORITY } from './service-capacity';

/** Counts of machines, and GPUs of the ordinary ones. */
export interface ClusterFigures {
  /** Machines that are known, by kind. */
  ordinary: number;
  spot: number;
  /** Machines that are known and in no owner's status. */
  unheardMachines: number;
  /** Machines that hold nothing and for which nothing is planned. */
  idle: number;
  /** GPUs that services use. */
  used: number;
  /** GPUs that batch work uses. */
  batch: number;
  /** GPUs that are free. */
  free: number;
}

/** Sums up the known machines and their statuses. */
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
