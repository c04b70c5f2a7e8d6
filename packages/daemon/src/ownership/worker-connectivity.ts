// Whether workers can reach this controller. One that is cut off from them keeps its state lease and so its partitions, though every
// report has to come through another controller: if that lasts, its partitions had better go to one that they reach.
import type { ClusterConfig } from '@gingerlock/core';

/** Reports that are relayed for so many worker leases, with none that comes directly, show a cut that lasts. */
const CUT_LEASES = 1;

/** Reports of a partition that come less often than this, in report intervals, say nothing. */
const RELAY_GAP_INTERVALS = 3;

interface Relayed {
  readonly since: number;
  readonly last: number;
}

export class WorkerConnectivity {
  #directAt: number;
  /** By partition: since when its reports are relayed without a long gap. */
  readonly #relayed = new Map<number, Relayed>();

  constructor(
    readonly clusterConfig: ClusterConfig,
    now: number,
  ) {
    this.#directAt = now;
  }

  /** A worker, of whichever partition, has reached this controller. */
  recordDirect(now: number): void {
    this.#directAt = now;
    this.#relayed.clear();
  }

  /** Another controller has relayed a report of a worker of the partition. */
  recordRelayed(partitionId: number, now: number): void {
    const known = this.#relayed.get(partitionId);
    const goesOn =
      known !== undefined && now - known.last <= this.clusterConfig.heartbeatIntervalMs * RELAY_GAP_INTERVALS;
    this.#relayed.set(partitionId, { since: goesOn ? known.since : now, last: now });
  }

  /** Whether the workers of the partition report, and for long have not been able to do so here. */
  isCutOff(partitionId: number, now: number): boolean {
    const relayed = this.#relayed.get(partitionId);
    if (relayed === undefined || now - relayed.last > this.clusterConfig.heartbeatIntervalMs * RELAY_GAP_INTERVALS)
      return false;
    const cutMs = this.clusterConfig.workerLeaseMs * CUT_LEASES;
    return now - relayed.since >= cutMs && now - this.#directAt >= cutMs;
  }
}
