// How long machines have been silent, that is, how long their owners have received no heartbeat from them.
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';
import type { KnownMachine } from './machine-inventory';

/** Whether the machine has been silent for so long that its tasks will probably have to run elsewhere. */
export function isSuspect(machine: MachineStatus, clusterConfig: ClusterConfig): boolean {
  return machine.silentMs > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
}

/** Tracks since when each partition's current owner has published its status to this leader. */
export class OwnerHistory {
  readonly #byPartition = new Map<number, { readonly term: number; readonly since: number }>();

  /** Applies the statuses of all partitions that have an owner now. */
  observe(statuses: readonly PartitionStatus[], now: number): void {
    for (const { partitionId, term } of statuses) {
      if (this.#byPartition.get(partitionId)?.term !== term) this.#byPartition.set(partitionId, { term, since: now });
    }
    const current = new Set(statuses.map(({ partitionId }) => partitionId));
    for (const partitionId of this.#byPartition.keys())
      if (!current.has(partitionId)) this.#byPartition.delete(partitionId);
  }

  /**
   * Returns since when the owner could have received a heartbeat of the machine and has not; Infinity if its partition
   * has no owner. The time before a new owner or leader took over is not counted, because healthy machines would
   * otherwise be returned before it has received a heartbeat from them.
   */
  silentSince({ name, zone, lastHeartbeatAt, upSince }: KnownMachine, partitioner: Partitioner): number {
    const owner = this.#byPartition.get(partitioner.partitionOf(name, zone));
    if (owner === undefined) return Infinity;
    return Math.max(lastHeartbeatAt ?? -Infinity, upSince ?? -Infinity, owner.since);
  }
}
