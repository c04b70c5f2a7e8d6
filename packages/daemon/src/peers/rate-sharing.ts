// Controllers whose share of the write rate runs short borrow from the others, which lend what they can spare.
import type { RateLimiter, Clock } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

/** A request to all other controllers. */
interface RateRequest {
  readonly sentAt: number;
  /** Who has granted writes: a repeated message grants nothing more. */
  readonly grantedBy: Set<string>;
}

/** Lends and borrows writes for one controller. */
export class RateSharing {
  /** By id: requests that may still be answered. */
  readonly #openRequests = new Map<string, RateRequest>();

  constructor(
    readonly rateLimiter: RateLimiter,
    readonly peers: PeerChannel,
    readonly clock: Clock,
    /** For how long after a request a grant counts. */
    readonly patienceMs: number,
  ) {}

  /** Requests writes if some are missing, and drops requests that are too old. */
  tick(now: number): void {
    const writes = this.rateLimiter.missingWrites();
    if (writes > 0) {
      const id = this.peers.nextRequestId();
      this.#openRequests.set(id, { sentAt: now, grantedBy: new Set() });
      this.peers.broadcast({ kind: 'BudgetRequest', id, writes });
    }
    for (const [id, request] of this.#openRequests)
      if (now - request.sentAt > this.patienceMs) this.#openRequests.delete(id);
  }

  /** Another controller's writes run short. */
  onRequest(from: string, { id, writes }: PeerMessages['BudgetRequest']): void {
    const granted = this.rateLimiter.lend(writes);
    if (granted > 0) this.peers.send(from, { kind: 'BudgetGrant', id, writes: granted });
  }

  /** Another controller grants us writes. */
  onGrant(from: string, { id, writes }: PeerMessages['BudgetGrant']): void {
    const request = this.#openRequests.get(id);
    if (request === undefined || request.grantedBy.has(from)) return;
    request.grantedBy.add(from);
    this.rateLimiter.borrow(writes);
  }
}
