// Where the partitions and their owners are, for heartbeats that come to a controller which does not own the worker's
// partition.
import type { Heartbeat } from '@gingerlock/wire';
import type { Reply } from '../api/reply';
import type { WorkerConnectivity } from '../ownership/worker-connectivity';
import type { PartitionRouting } from '../peers/heartbeat-relay';
import type { PartitionStatuses } from '../peers/partition-statuses';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';
import type { OwnerHeartbeats } from './owner-heartbeats';

/** The owner of a partition misses a machine that has been silent to it for more than this many heartbeat intervals. */
const MISSED_INTERVALS = 2;

/** What the router looks things up in. */
export interface PartitionRouterOptions {
  readonly context: ControllerContext;
  readonly owned: OwnedResources;
  readonly statuses: PartitionStatuses;
  readonly workerConnectivity: WorkerConnectivity;
  readonly heartbeats: OwnerHeartbeats;
}

/** Answers what `HeartbeatRelay` asks about partitions. */
export class PartitionRouter implements PartitionRouting {
  constructor(readonly options: PartitionRouterOptions) {}

  /** See `PartitionRouting`. */
  partitionOf({ machine, zone }: Heartbeat): number | undefined {
    return this.options.context.clusterState.partitioner?.partitionOf(machine, zone);
  }

  /**
   * Who owns the partition, as far as this controller knows; null: nobody now. What an owner says of itself may be
   * newer than the watch cache: thus a controller without contact with the store still sends workers to the right
   * owner.
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
  missedByOwner(partitionId: number, machine: string): boolean {
    const { context, statuses } = this.options;
    const received = statuses.of(partitionId);
    const machineStatus = received?.status.machines.find(({ name }) => name === machine);
    if (machineStatus === undefined) return false;
    const { heartbeatIntervalMs, workerLeaseMs } = context.clusterConfig;
    return (
      machineStatus.silentMs > heartbeatIntervalMs * MISSED_INTERVALS &&
      machineStatus.silentMs < workerLeaseMs &&
      context.clock.now() - received!.at < heartbeatIntervalMs
    );
  }
}
