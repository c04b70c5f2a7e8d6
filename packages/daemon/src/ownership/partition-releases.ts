// Decides which partitions this controller releases although it could continue to own them, and when.
import type { PartitionOwner } from '../owner/partition-owner';
import type { ControllerContext } from '../controller/controller-context';
import type { AcquisitionOrder, PeerLiveness } from './acquisition-order';
import type { OwnershipManager } from './ownership-manager';
import type { WorkerConnectivity } from './worker-connectivity';

/** Worker leases for which a partition is not returned to a home that its workers could not reach. */
const CUT_OFF_RETURN_LEASES = 6;

/** Dependencies of `PartitionReleases`. */
export interface PartitionReleasesOptions {
  readonly context: ControllerContext;
  readonly ownership: OwnershipManager;
  readonly order: AcquisitionOrder;
  readonly peers: PeerLiveness;
  readonly workerConnectivity: WorkerConnectivity;
}

/** The owners of this controller's partitions, by partition. */
type OwnersById = ReadonlyMap<number, PartitionOwner>;

/** Checks at each tick which partitions to release. */
export class PartitionReleases {
  #returnedAt = -Infinity;

  constructor(readonly options: PartitionReleasesOptions) {}

  /** Releases the partitions that have to be released now. */
  tick(owners: OwnersById, now: number): void {
    this.#releaseUnreachable(owners, now);
    this.#releaseExhausted(owners);
    this.#returnToHome(owners, now);
  }

  /** Whether the watch cache is recent and the last read of the store succeeded. */
  #hasStoreContact(): boolean {
    const { context } = this.options;
    return context.isFresh() && context.watchCache.failures === 0;
  }

  /**
   * Releases a partition whose workers have long been unable to reach this controller, so that a controller that they
   * reach acquires it. Meanwhile others relay their heartbeats, but a heartbeat takes seconds longer whenever the
   * direct route is retried.
   */
  #releaseUnreachable(owners: OwnersById, now: number): void {
    if (!this.#hasStoreContact()) return;
    const { context, ownership, order, peers, workerConnectivity } = this.options;
    for (const { partitionId, ownershipTerm, claimTable } of [...owners.values()]) {
      if (ownershipTerm.state !== 'held' || !claimTable.isFencingOver) continue;
      if (!workerConnectivity.isCutOff(partitionId, now)) continue;
      if (!context.settings.peers.some(({ node }) => peers.isAlive(node))) continue;
      if (!ownership.release(ownershipTerm, 'workers unreachable')) continue;
      order.leaveToOthers(partitionId, now + context.clusterConfig.workerLeaseMs);
    }
  }

  /**
   * Releases partitions whose terms run out of attempt numbers. They are acquired under a new term, mostly by this
   * controller again.
   */
  #releaseExhausted(owners: OwnersById): void {
    const { context, ownership } = this.options;
    if (!context.isFresh()) return;
    for (const { ownershipTerm, claimTable } of [...owners.values()]) {
      if (ownershipTerm.state !== 'held' || !claimTable.needsNewTerm) continue;
      ownership.release(ownershipTerm, 'attempt numbers exhausted');
    }
  }

  /**
   * Returns a partition to its home once the home is healthy: otherwise rolling restarts leave one controller with most
   * of the fleet, and its failure has the largest effect. Returns one partition at a time, and only with store contact
   * and after its fencing period, because its workers have to find their new owner.
   */
  #returnToHome(owners: OwnersById, now: number): void {
    const { context, ownership, order, peers } = this.options;
    const { workerLeaseMs } = context.clusterConfig;
    if (now - this.#returnedAt < workerLeaseMs || !this.#hasStoreContact()) return;
    for (const { partitionId, ownershipTerm, claimTable } of owners.values()) {
      const home = order.homeOf(partitionId);
      if (home === context.settings.node || ownershipTerm.state !== 'held' || !claimTable.isFencingOver) continue;
      // A home that released the partition because workers could not reach it gets it back later.
      const minOwnedMs = ownershipTerm.releasedBy === home ? workerLeaseMs * CUT_OFF_RETURN_LEASES : workerLeaseMs;
      if (now - ownershipTerm.acquiredAt < minOwnedMs || !peers.isHealthy(home, workerLeaseMs)) continue;
      if (!ownership.release(ownershipTerm, 'return to home')) continue;
      this.#returnedAt = now;
      return;
    }
  }
}
