// What may be spared for emptying machines: GPUs in all, free GPUs of the same zone, and one machine a partition.
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus } from '../scheduling/partition-status';

/** A machine that could be emptied. */
export interface ConsolidationCandidate {
  readonly machine: MachineStatus;
  /** GPUs of the tasks that would have to go elsewhere. */
  readonly usedGpus: number;
  /** GPUs that a machine of the type has. */
  readonly totalGpus: number;
  /** Price per hour and GPU. */
  readonly price: number;
}

/** The GPUs that can be spared while machines are chosen for emptying. */
export class ConsolidationBudget {
  readonly #busyPartitions = new Set<number>();

  constructor(
    readonly partitioner: Partitioner,
    /** GPUs that can be spared, by kind of machine. */
    readonly spareGpus: { ordinary: number; spot: number },
    /** GPUs that are free on ordinary machines, by zone. */
    readonly freeGpusByZone: Map<string, number>,
  ) {}

  /** Counts the machine as emptied; false: its resources can't be spared, or what it holds fits nowhere in its zone. */
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
   * Counts the replicas of a machine as moved to others of its zone, if they fit and its partition empties no other.
   */
  #moveWithinZone({ machine, usedGpus }: ConsolidationCandidate): boolean {
    const { name, zone, takesWork, free } = machine;
    const freeElsewhereGpus = (this.freeGpusByZone.get(zone) ?? 0) - (takesWork ? free.gpus : 0);
    const partitionId = this.partitioner.partitionOf(name, zone);
    if (this.#busyPartitions.has(partitionId) || usedGpus > freeElsewhereGpus) return false;
    this.#busyPartitions.add(partitionId);
    this.freeGpusByZone.set(zone, freeElsewhereGpus - usedGpus);
    return true;
  }
}

/**
 * GPUs fewer to spare once the machine is emptied. What is free on one that takes no more work is not among the spare
 * ones.
 */
function costOf({ machine, usedGpus, totalGpus }: ConsolidationCandidate): number {
  if (machine.takesWork) return totalGpus;
  return machine.spot ? 0 : usedGpus;
}
