// Controllers that are short of changes ask the others, and those with changes to spare grant some of theirs.
import type { RateLimiter, Clock } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

interface RateRequest {
  readonly at: number;
  /** Who has answered: a copy of an answer grants nothing. */
  readonly grantedBy: Set<string>;
}

export class RateSharing {
  /** Requests that may still be answered. */
  readonly #open = new Map<string, RateRequest>();

  constructor(
    readonly rateLimiter: RateLimiter,
    readonly peers: PeerChannel,
    readonly clock: Clock,
    /** How long an answer counts. */
    readonly patienceMs: number,
  ) {}

  tick(now: number): void {
    const writes = this.rateLimiter.missingWrites();
    if (writes > 0) {
      const id = this.peers.nextRequestId();
      this.#open.set(id, { at: now, grantedBy: new Set() });
      this.peers.broadcast({ kind: 'BudgetRequest', id, writes });
    }
    for (const [id, request] of this.#open) if (now - request.at > this.patienceMs) this.#open.delete(id);
  }

  onRequest(from: string, { id, writes }: PeerMessages['BudgetRequest']): void {
    const granted = this.rateLimiter.lend(writes);
    if (granted > 0) this.peers.send(from, { kind: 'BudgetGrant', id, writes: granted });
  }

  onGrant(from: string, { id, writes }: PeerMessages['BudgetGrant']): void {
    const request = this.#open.get(id);
    if (request === undefined || request.grantedBy.has(from)) return;
    request.grantedBy.add(from);
    this.rateLimiter.borrow(writes);
  }
}
