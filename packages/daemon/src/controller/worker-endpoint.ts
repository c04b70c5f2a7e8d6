// Receives the heartbeats that workers send to this controller, whichever controller owns their partition.
import { decodeHeartbeat, type Heartbeat } from '@gingerlock/wire';
import { malformed, refusal, type Reply } from '../api/reply';
import type { WorkerConnectivity } from '../ownership/worker-connectivity';
import type { HeartbeatRelay } from '../peers/heartbeat-relay';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';
import type { OwnerHeartbeats } from './owner-heartbeats';

/** The dependencies of `WorkerEndpoint`. */
export interface WorkerEndpointOptions {
  readonly context: ControllerContext;
  readonly owned: OwnedResources;
  readonly heartbeats: OwnerHeartbeats;
  readonly relay: HeartbeatRelay;
  readonly workerConnectivity: WorkerConnectivity;
}

/** Answers a heartbeat as the owner of the worker's partition, or redirects or relays it to the owner. */
export class WorkerEndpoint {
  constructor(readonly options: WorkerEndpointOptions) {}

  /** Replies to an encoded heartbeat: 400 if it can't be decoded, 503 while the partitions are not known yet. */
  async checkin(body: Buffer): Promise<Reply> {
    const { context, owned, heartbeats, relay, workerConnectivity } = this.options;
    let heartbeat: Heartbeat;
    try {
      heartbeat = decodeHeartbeat(body);
    } catch (error) {
      return malformed(error);
    }
    workerConnectivity.recordDirect(context.clock.now());
    const { partitioner } = context.clusterState;
    if (partitioner === null) return refusal(503, 'starting');
    const partitionId = partitioner.partitionOf(heartbeat.machine, heartbeat.zone);
    if (owned.owns(partitionId))
      return context.workTimer.run('heartbeat', () => heartbeats.answer(partitionId, heartbeat));
    return relay.forward(partitionId, heartbeat, body);
  }
}
