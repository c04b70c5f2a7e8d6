// What this controller owns now: the owner objects of its partitions, and the leader if it has the leadership.
import type { Leader } from '../leader/leader';
import type { PartitionOwner } from '../owner/partition-owner';
import type { ClusterStateListener } from '../state/cluster-state';

/**
 * Registry of the partitions owned here and of the leadership, filled by `OwnershipHandover`. It forwards changes of
 * the cluster state to the owners and the leader that they concern.
 */
export class OwnedResources implements ClusterStateListener {
  readonly #ownersById = new Map<number, PartitionOwner>();
  /** Null if this controller does not have the leadership. */
  leader: Leader | null = null;

  /** The owner objects of the partitions owned here, by partition id. */
  get ownersById(): ReadonlyMap<number, PartitionOwner> {
    return this.#ownersById;
  }

  /** The owner objects of the partitions owned here, in the order in which the partitions were acquired. */
  owners(): Iterable<PartitionOwner> {
    return this.#ownersById.values();
  }

  /** Whether the partition is owned here. */
  owns(partitionId: number): boolean {
    return this.#ownersById.has(partitionId);
  }

  addOwner(owner: PartitionOwner): void {
    this.#ownersById.set(owner.partitionId, owner);
  }

  removeOwner(partitionId: number): void {
    this.#ownersById.delete(partitionId);
  }

  /** See `ClusterStateListener`. */
  jobChanged(id: string): void {
    for (const owner of this.#ownersById.values()) owner.jobChanged(id);
  }

  /** See `ClusterStateListener`. */
  reclaimEnded(partitionId: number, revision: number): void {
    this.leader?.borrowing?.reclaimEnded(partitionId, revision);
  }

  /** See `ClusterStateListener`. */
  membershipChanged(partitionId: number, machine: string, isMember: boolean): void {
    this.#ownersById.get(partitionId)?.claimTable.setMember(machine, isMember);
  }

  /** Notifies the owners and the leader that this process stalled while its clocks ran, so timers fired late. */
  resumedAfterStall(now: number): void {
    for (const { claimTable } of this.#ownersById.values()) claimTable.resumedAfterStall(now);
    this.leader?.resumedAfterStall(now);
  }

  /** Applies the leader's directives: machines in `drain` get no more work, machines in `gone` no longer exist. */
  applyDirectives(drain: readonly string[], gone: readonly string[]): void {
    const draining = new Set(drain);
    for (const owner of this.#ownersById.values()) {
      for (const machine of owner.claimTable.machines.values()) machine.draining = draining.has(machine.name);
      for (const name of gone) {
        // The directive names no zone, so the machine is gone for every partition.
        if (!owner.claimTable.isGone(name)) owner.removeMachine(name);
      }
    }
  }
}
