// Which partitions this controller gives up while it could go on owning them, and when.
import type { PartitionOwner } from '../owner/partition-owner';
import type { ControllerContext } from '../controller/controller-context';
import type { AcquisitionOrder, PeerLiveness } from './acquisition-order';
import type { OwnershipManager } from './ownership-manager';
import type { WorkerConnectivity } from './worker-connectivity';

/** For how many worker leases a partition stays away from a home that its workers could not reach. */
const CUT_OFF_RETURN_LEASES = 6;

/** What the decisions rest on. */
export interface PartitionReleasesOptions {
  readonly context: ControllerContext;
  readonly ownership: OwnershipManager;
  readonly order: AcquisitionOrder;
  readonly peers: PeerLiveness;
  readonly workerConnectivity: WorkerConnectivity;
}

/** The partitions owned here, by partition. */
type OwnersById = ReadonlyMap<number, PartitionOwner>;

/** Looks at each tick which partitions to release. */
export class PartitionReleases {
  #returnedAt = -Infinity;

  constructor(readonly options: PartitionReleasesOptions) {}

  /** Releases what is to be released now. */
  tick(owners: OwnersById, now: number): void {
    this.#releaseUnreachable(owners, now);
    this.#releaseExhausted(owners);
    this.#returnToHome(owners, now);
  }

  /** Whether the watch cache is recent and the last read of the store succeeded. */
  #hasStoreContact(): boolean {
    const { context } = this.options;
    return context.fresh() && context.watchCache.failures === 0;
  }

  /**
   * Gives a partition whose workers have long been unable to reach this controller to one that they do reach. Relaying
   * carries them meanwhile, but costs a heartbeat seconds whenever the direct way is tried again.
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
   * Gives up partitions whose terms run out of attempt numbers: whoever acquires them, mostly this controller, does so
   * under a new term.
   */
  #releaseExhausted(owners: OwnersById): void {
    const { context, ownership } = this.options;
    if (!context.fresh()) return;
    for (const { ownershipTerm, claimTable } of [...owners.values()]) {
      if (ownershipTerm.state !== 'held' || !claimTable.needsNewTerm) continue;
      ownership.release(ownershipTerm, 'attempt numbers exhausted');
    }
  }

  /**
   * Returns a partition to its home once that is healthy: else rolling restarts leave one controller with most of the
   * fleet, and its failure costs the most. One at a time, and not while anything is wrong: the workers of the partition
   * have to find their new owner.
   */
  #returnToHome(owners: OwnersById, now: number): void {
    const { context, ownership, order, peers } = this.options;
    const { workerLeaseMs } = context.clusterConfig;
    if (now - this.#returnedAt < workerLeaseMs || !this.#hasStoreContact()) return;
    for (const { partitionId, ownershipTerm, claimTable } of owners.values()) {
      const home = order.homeOf(partitionId);
      if (home === context.settings.node || ownershipTerm.state !== 'held' || !claimTable.isFencingOver) continue;
      // A home that released the partition itself, as its workers did not reach it, gets it back later.
      const patienceMs = ownershipTerm.releasedBy === home ? workerLeaseMs * CUT_OFF_RETURN_LEASES : workerLeaseMs;
      if (now - ownershipTerm.acquiredAt < patienceMs || !peers.isHealthy(home, workerLeaseMs)) continue;
      if (!ownership.release(ownershipTerm, 'return to home')) continue;
      this.#returnedAt = now;
      return;
    }
  }
}
