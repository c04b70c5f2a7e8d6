// Shares the store's write rate: a controller that needs more than its share borrows spare writes from the others.
import type { RateLimiter, Clock } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

/** A request to all other controllers. */
interface RateRequest {
  readonly sentAt: number;
  /** The peers that have granted writes; a repeated grant is ignored. */
  readonly grantedBy: Set<string>;
}

/** Lends and borrows writes for one controller. */
export class RateSharing {
  /** Requests that may still be answered, by id. */
  readonly #openRequests = new Map<string, RateRequest>();

  constructor(
    readonly rateLimiter: RateLimiter,
    readonly peers: PeerChannel,
    readonly clock: Clock,
    /** A grant is accepted for this long after the request was sent. */
    readonly grantTimeoutMs: number,
  ) {}

  /** Requests writes if this controller is short of them, and drops requests that are too old. */
  tick(now: number): void {
    const writes = this.rateLimiter.missingWrites();
    if (writes > 0) {
      const id = this.peers.nextRequestId();
      this.#openRequests.set(id, { sentAt: now, grantedBy: new Set() });
      this.peers.broadcast({ kind: 'BudgetRequest', id, writes });
    }
    for (const [id, request] of this.#openRequests)
      if (now - request.sentAt > this.grantTimeoutMs) this.#openRequests.delete(id);
  }

  /** Grants spare writes to another controller that is short of them. */
  onRequest(from: string, { id, writes }: PeerMessages['BudgetRequest']): void {
    const granted = this.rateLimiter.lend(writes);
    if (granted > 0) this.peers.send(from, { kind: 'BudgetGrant', id, writes: granted });
  }

  /** Handles a grant from another controller. */
  onGrant(from: string, { id, writes }: PeerMessages['BudgetGrant']): void {
    const request = this.#openRequests.get(id);
    if (request === undefined || request.grantedBy.has(from)) return;
    request.grantedBy.add(from);
    this.rateLimiter.borrow(writes);
  }
}
