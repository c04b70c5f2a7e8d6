// For how long machines have sent no heartbeat that their owners could have received.
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';
import type { KnownMachine } from './machine-inventory';

/** Whether the machine has been silent for so long that what it holds will most likely be wanted elsewhere. */
export function isSuspect(machine: MachineStatus, clusterConfig: ClusterConfig): boolean {
  return machine.silentMs > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
}

/** Since when each partition's owner has published its status to this leader. */
export class OwnerHistory {
  readonly #byPartition = new Map<number, { readonly term: number; readonly since: number }>();

  /** Takes the statuses of all partitions that have an owner now. */
  observe(statuses: readonly PartitionStatus[], now: number): void {
    for (const { partitionId, term } of statuses) {
      if (this.#byPartition.get(partitionId)?.term !== term) this.#byPartition.set(partitionId, { term, since: now });
    }
    const current = new Set(statuses.map(({ partitionId }) => partitionId));
    for (const partitionId of this.#byPartition.keys())
      if (!current.has(partitionId)) this.#byPartition.delete(partitionId);
  }

  /**
   * Since when the machine's heartbeats could have been received and were not; Infinity: its partition has no owner.
   * A new owner or a new leader has to be given the time to receive one first: silence from before proves nothing,
   * and healthy machines would be returned for it.
   */
  silentSince({ name, zone, lastHeartbeatAt, upSince }: KnownMachine, partitioner: Partitioner): number {
    const owner = this.#byPartition.get(partitioner.partitionOf(name, zone));
    if (owner === undefined) return Infinity;
    return Math.max(lastHeartbeatAt ?? -Infinity, upSince ?? -Infinity, owner.since);
  }
}
