// Finds the partition and its owner for heartbeats that reach a controller which does not own the worker's partition.
import type { Heartbeat } from '@gingerlock/wire';
import type { Reply } from '../api/reply';
import type { WorkerConnectivity } from '../ownership/worker-connectivity';
import type { PartitionRouting } from '../peers/heartbeat-relay';
import type { PartitionStatuses } from '../peers/partition-statuses';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';
import type { OwnerHeartbeats } from './owner-heartbeats';

/** A machine counts as silent to its owner after this many heartbeat intervals without a heartbeat. */
const SILENT_INTERVALS = 2;

/** The dependencies of `PartitionRouter`. */
export interface PartitionRouterOptions {
  readonly context: ControllerContext;
  readonly owned: OwnedResources;
  readonly statuses: PartitionStatuses;
  readonly workerConnectivity: WorkerConnectivity;
  readonly heartbeats: OwnerHeartbeats;
}

/** Looks up partitions and their owners for `HeartbeatRelay`. */
export class PartitionRouter implements PartitionRouting {
  constructor(readonly options: PartitionRouterOptions) {}

  /** See `PartitionRouting`. */
  partitionOf({ machine, zone }: Heartbeat): number | undefined {
    return this.options.context.clusterState.partitioner?.partitionOf(machine, zone);
  }

  /**
   * Returns the owner of the partition as far as this controller knows; null if there is none now. An owner's status
   * may be newer than the watch cache, so a controller without contact with the store still redirects workers to the
   * right owner.
   */
  ownerOf(partitionId: number): string | null {
    const { context, statuses } = this.options;
    const resource = String(partitionId);
    const owner = context.clusterState.owners.get(resource);
    const received = statuses.of(partitionId);
    if (received !== undefined && received.status.term > (owner?.record.term ?? 0)) return received.owner;
    return context.clusterState.holds.has(resource) ? (owner?.record.node ?? null) : null;
  }

  /** See `PartitionRouting`. */
  owns(partitionId: number): boolean {
    return this.options.owned.owns(partitionId);
  }

  /** See `PartitionRouting`. */
  answer(partitionId: number, heartbeat: Heartbeat): Reply {
    return this.options.heartbeats.answer(partitionId, heartbeat);
  }

  /** See `PartitionRouting`. */
  onRelayed(partitionId: number): void {
    this.options.workerConnectivity.recordRelayed(partitionId, this.options.context.clock.now());
  }

  /** See `PartitionRouting`. */
  isSilentToOwner(partitionId: number, machine: string): boolean {
    const { context, statuses } = this.options;
    const received = statuses.of(partitionId);
    const machineStatus = received?.status.machines.find(({ name }) => name === machine);
    if (machineStatus === undefined) return false;
    const { heartbeatIntervalMs, workerLeaseMs } = context.clusterConfig;
    return (
      machineStatus.silentMs > heartbeatIntervalMs * SILENT_INTERVALS &&
      machineStatus.silentMs < workerLeaseMs &&
      context.clock.now() - received!.at < heartbeatIntervalMs
    );
  }
}
