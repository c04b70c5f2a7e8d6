// Detects whether workers can reach this controller. A controller that is cut off from its workers keeps its store
// lease and so its partitions, though every heartbeat has to be relayed by another controller. If that lasts, the
// partitions should go to a controller that the workers reach.
import type { ClusterConfig } from '@gingerlock/core';

/** Workers are cut off once heartbeats have been relayed, and none has come directly, for this many worker leases. */
const CUT_OFF_LEASES = 1;

/** A longer gap between relayed heartbeats of a partition, in heartbeat intervals, ends their series. */
const MAX_RELAY_GAP_INTERVALS = 3;

/** The latest uninterrupted series of relayed heartbeats of a partition. */
interface RelayedSeries {
  readonly beganAt: number;
  readonly lastAt: number;
}

/** Records whether heartbeats reach this controller directly or relayed. Times are of the steady clock. */
export class WorkerConnectivity {
  /** When a heartbeat last came directly from a worker; initially when this controller started. */
  #directAt: number;
  readonly #relayedByPartition = new Map<number, RelayedSeries>();

  constructor(
    readonly clusterConfig: ClusterConfig,
    now: number,
  ) {
    this.#directAt = now;
  }

  /** Records a heartbeat that came directly from a worker of any partition. */
  recordDirect(now: number): void {
    this.#directAt = now;
    this.#relayedByPartition.clear();
  }

  /** Records a heartbeat that another controller relayed for a worker of the partition. */
  recordRelayed(partitionId: number, now: number): void {
    const series = this.#currentSeries(partitionId, now);
    this.#relayedByPartition.set(partitionId, { beganAt: series?.beganAt ?? now, lastAt: now });
  }

  /**
   * Whether workers of the partition send heartbeats, but have long been unable to send them directly to this
   * controller.
   */
  isCutOff(partitionId: number, now: number): boolean {
    const series = this.#currentSeries(partitionId, now);
    if (series === null) return false;
    const cutOffMs = this.clusterConfig.workerLeaseMs * CUT_OFF_LEASES;
    return now - series.beganAt >= cutOffMs && now - this.#directAt >= cutOffMs;
  }

  /** Returns the current series; null if no heartbeat of the partition was relayed recently. */
  #currentSeries(partitionId: number, now: number): RelayedSeries | null {
    const series = this.#relayedByPartition.get(partitionId);
    const maxGapMs = this.clusterConfig.heartbeatIntervalMs * MAX_RELAY_GAP_INTERVALS;
    return series === undefined || now - series.lastAt > maxGapMs ? null : series;
  }
}
