// Health checks, which tell load balancers whether they may send users to this controller.
import type { Clock } from '@gingerlock/clients';
import { refusal, type Reply } from '../api/reply';
import type { PeerFailureDetector } from '../peers/peer-failure-detector';
import type { ControllerContext } from './controller-context';
import type { StoreContact } from './store-contact';

/** A controller is out of contact after this many heartbeat intervals without a read of the store. */
const STALE_CONTACT_INTERVALS = 2;

/** Answers health checks (`GET /up`). */
export class HealthCheck {
  readonly #clock: Clock;

  constructor(
    readonly context: ControllerContext,
    readonly storeContact: StoreContact,
    readonly peerFailureDetector: PeerFailureDetector,
  ) {
    this.#clock = context.clock;
  }

  /**
   * Replies 200 if users may be sent here. Replies 503 if the cluster state is not loaded yet, or if this controller
   * has lost contact with the store while a peer still has it. If all controllers have lost contact, all of them reply
   * 200: users get errors either way.
   */
  up(): Reply {
    const now = this.#clock.now();
    const { watchCache, clusterState, clusterConfig } = this.context;
    if (!watchCache.loaded || clusterState.meta === null) return refusal(503, 'starting');
    const isStale = this.storeContact.ageMs(now) > clusterConfig.heartbeatIntervalMs * STALE_CONTACT_INTERVALS;
    return isStale && this.peerFailureDetector.anyHasContact(now)
      ? refusal(503, 'state service is out of reach')
      : { status: 200, body: null };
  }
}
