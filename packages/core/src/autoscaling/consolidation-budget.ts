// Limits on consolidation: spare GPUs in the cluster, free GPUs in the zone, and one ordinary machine per partition.
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus } from '../scheduling/partition-status';
import { usableGpus } from './service-capacity';

/** A machine that could be consolidated. */
export interface ConsolidationCandidate {
  readonly machine: MachineStatus;
  /** GPUs of the tasks that would have to move to other machines. */
  readonly usedGpus: number;
  /** GPUs of a machine of this type. */
  readonly totalGpus: number;
  /** Price per hour and GPU. */
  readonly price: number;
}

/** Tracks the GPUs that can be spared while machines are chosen for consolidation. */
export class ConsolidationBudget {
  readonly #busyPartitions = new Set<number>();

  constructor(
    readonly partitioner: Partitioner,
    /** GPUs that can be spared, by kind of machine. */
    readonly spareGpus: { ordinary: number; spot: number },
    /** GPUs that are free on ordinary machines, by zone. */
    readonly freeGpusByZone: Map<string, number>,
  ) {}

  /**
   * Deducts the machine from the budget. Returns false, and deducts nothing, if its resources cannot be spared or its
   * replicas cannot move.
   */
  spend(candidate: ConsolidationCandidate): boolean {
    const { machine } = candidate;
    const kind = machine.spot ? 'spot' : 'ordinary';
    const costGpus = costOf(candidate);
    if (costGpus > this.spareGpus[kind]) return false;
    if (!machine.spot && !this.#moveWithinZone(candidate)) return false;
    this.spareGpus[kind] -= costGpus;
    return true;
  }

  /**
   * Counts the replicas of a machine as moved within its zone. Returns false if they do not fit there, or if another
   * machine of its partition is already being consolidated.
   */
  #moveWithinZone({ machine, usedGpus }: ConsolidationCandidate): boolean {
    const { name, zone, takesWork, free } = machine;
    const freeElsewhereGpus = (this.freeGpusByZone.get(zone) ?? 0) - (takesWork ? usableGpus(free) : 0);
    const partitionId = this.partitioner.partitionOf(name, zone);
    if (this.#busyPartitions.has(partitionId) || usedGpus > freeElsewhereGpus) return false;
    this.#busyPartitions.add(partitionId);
    this.freeGpusByZone.set(zone, freeElsewhereGpus - usedGpus);
    return true;
  }
}

/**
 * How many spare GPUs the cluster loses if the machine is consolidated. The free GPUs of a machine that takes no more
 * work are not counted as spare.
 */
function costOf({ machine, usedGpus, totalGpus }: ConsolidationCandidate): number {
  if (machine.takesWork) return totalGpus;
  return machine.spot ? 0 : usedGpus;
}
