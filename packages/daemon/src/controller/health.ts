// Whether load balancers may send users to this controller.
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
   * 200: users may be sent here. 503: the cluster state is not loaded yet, or this controller has lost contact with the
   * store while a peer has it. During an outage for all controllers every one stays up: users get the errors either
   * way.
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
