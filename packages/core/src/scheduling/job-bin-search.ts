// The leader's choice of machines for the tasks of one job, one task after the other.
import { groupBy } from '../cluster/group-by';
import type { Job } from '../jobs/jobs';
import {
  type ChoiceContext,
  chooseBin,
  otherPartitionCostMs,
  startCostMs,
  startOrPreemptionCostMs,
} from './bin-choice';
import { LowestCostQueue } from './lowest-cost-queue';
import { type MachineBin, mayRunIn } from './machine-bin';

/**
 * Finds for each task of a job the machine that `chooseBin` would choose. All machines are compared for the first task;
 * after that only the machine that took the task before has changed, so the cost of a task grows little with the
 * number of machines. The zones that the job may use must only become fewer.
 */
export class JobBinSearch {
  /** By partition, in the order of the bins; null: no second task has been placed yet. */
  #queueByPartition: ReadonlyMap<number, LowestCostQueue<MachineBin>> | null = null;
  #lastBin: MachineBin | null = null;

  constructor(
    readonly job: Job,
    readonly bins: readonly MachineBin[],
    readonly context: ChoiceContext,
    readonly allowsZone: (zone: string) => boolean,
  ) {}

  /**
   * Returns the bin with the lowest cost for one more task; undefined: the task fits in none. The caller allocates the
   * task in the bin before the next call. `lastPartitionId` is the partition of the task before it; undefined: none.
   */
  choose(lastPartitionId: number | undefined): MachineBin | undefined {
    const bin =
      this.#lastBin === null
        ? chooseBin(this.job, this.bins, this.context, this.allowsZone, lastPartitionId)
        : this.#chooseNext(this.#lastBin, lastPartitionId);
    this.#lastBin = bin ?? this.#lastBin;
    return bin;
  }

  #chooseNext(lastBin: MachineBin, lastPartitionId: number | undefined): MachineBin | undefined {
    if (this.#queueByPartition === null) this.#queueByPartition = this.#newQueues();
    else this.#queueByPartition.get(lastBin.partitionId)!.refresh(lastBin);
    let best: MachineBin | undefined;
    let bestCostMs = Infinity;
    for (const [partitionId, queue] of this.#queueByPartition) {
      const lowest = this.#lowestIn(queue);
      if (lowest === undefined) continue;
      const costMs = lowest.cost + otherPartitionCostMs(this.job, partitionId, this.context, lastPartitionId);
      if (costMs >= bestCostMs) continue;
      best = lowest.candidate;
      bestCostMs = costMs;
    }
    return best;
  }

  /** The best bin of a partition whose zone the job may still use; undefined: there is none. */
  #lowestIn(queue: LowestCostQueue<MachineBin>): { readonly candidate: MachineBin; readonly cost: number } | undefined {
    for (let lowest = queue.best(); lowest !== undefined; lowest = queue.best()) {
      if (this.allowsZone(lowest.candidate.machine.zone)) return lowest;
      // Its lower bound excludes it now.
      queue.refresh(lowest.candidate);
    }
    return undefined;
  }

  #newQueues(): Map<number, LowestCostQueue<MachineBin>> {
    const { job, context, allowsZone } = this;
    const binsByPartition = groupBy(this.bins, ({ partitionId }) => partitionId);
    const isAllowed = (bin: MachineBin): boolean => allowsZone(bin.machine.zone) && mayRunIn(job, bin);
    const costs = {
      lowerBound: (bin: MachineBin): number => (isAllowed(bin) ? startCostMs(job, bin, context) : Infinity),
      exact: (bin: MachineBin): number => startOrPreemptionCostMs(job, bin, context),
    };
    return new Map([...binsByPartition].map(([id, bins]) => [id, new LowestCostQueue(bins, costs)]));
  }
}
