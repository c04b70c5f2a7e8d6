// Whether workers can reach this controller. One that is cut off from them keeps its store lease and so its partitions,
// though every heartbeat has to be relayed by another controller: if that lasts, the partitions should go to one that
// the workers reach.
import type { ClusterConfig } from '@gingerlock/core';

/** Heartbeats that are relayed for this many worker leases, with none that comes directly, show that the cut lasts. */
const CUT_OFF_LEASES = 1;

/** Relayed heartbeats of a partition that come further apart than this many heartbeat intervals are no evidence. */
const MAX_RELAY_GAP_INTERVALS = 3;

/** The latest uninterrupted series of relayed heartbeats of a partition. */
interface RelayedSeries {
  readonly beganAt: number;
  readonly lastAt: number;
}

/** Notes on which way the heartbeats for this controller come. Times are of the steady clock. */
export class WorkerConnectivity {
  /** When a heartbeat last came directly from a worker; at first, when this controller started. */
  #directAt: number;
  readonly #relayedByPartition = new Map<number, RelayedSeries>();

  constructor(
    readonly clusterConfig: ClusterConfig,
    now: number,
  ) {
    this.#directAt = now;
  }

  /** A worker, of whichever partition, has reached this controller. */
  recordDirect(now: number): void {
    this.#directAt = now;
    this.#relayedByPartition.clear();
  }

  /** Another controller has relayed a heartbeat of a worker of the partition. */
  recordRelayed(partitionId: number, now: number): void {
    const series = this.#currentSeries(partitionId, now);
    this.#relayedByPartition.set(partitionId, { beganAt: series?.beganAt ?? now, lastAt: now });
  }

  /** Whether the workers of the partition send heartbeats, and have long been unable to send them here directly. */
  isCutOff(partitionId: number, now: number): boolean {
    const series = this.#currentSeries(partitionId, now);
    if (series === null) return false;
    const cutOffMs = this.clusterConfig.workerLeaseMs * CUT_OFF_LEASES;
    return now - series.beganAt >= cutOffMs && now - this.#directAt >= cutOffMs;
  }

  /** Null: no heartbeat of the partition was relayed lately. */
  #currentSeries(partitionId: number, now: number): RelayedSeries | null {
    const series = this.#relayedByPartition.get(partitionId);
    const maxGapMs = this.clusterConfig.heartbeatIntervalMs * MAX_RELAY_GAP_INTERVALS;
    return series === undefined || now - series.lastAt > maxGapMs ? null : series;
  }
}
