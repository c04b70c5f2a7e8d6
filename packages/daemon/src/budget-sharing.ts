// Controllers that are short of changes ask the others, and those with changes to spare grant some of theirs.
import type { Budget, Clock } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

interface BudgetRequest {
  readonly at: number;
  /** Who has answered: a copy of an answer grants nothing. */
  readonly grantedBy: Set<string>;
}

export class BudgetSharing {
  /** Requests that may still be answered. */
  readonly #open = new Map<string, BudgetRequest>();

  constructor(
    readonly budget: Budget,
    readonly peers: PeerChannel,
    readonly clock: Clock,
    /** How long an answer counts. */
    readonly patienceMs: number,
  ) {}

  tick(now: number): void {
    const writes = this.budget.shortOfWrites();
    if (writes > 0) {
      const id = this.peers.nextRequestId();
      this.#open.set(id, { at: now, grantedBy: new Set() });
      this.peers.broadcast({ kind: 'BudgetRequest', id, writes });
    }
    for (const [id, request] of this.#open) if (now - request.at > this.patienceMs) this.#open.delete(id);
  }

  onRequest(from: string, { id, writes }: PeerMessages['BudgetRequest']): void {
    const granted = this.budget.lend(writes);
    if (granted > 0) this.peers.send(from, { kind: 'BudgetGrant', id, writes: granted });
  }

  onGrant(from: string, { id, writes }: PeerMessages['BudgetGrant']): void {
    const request = this.#open.get(id);
    if (request === undefined || request.grantedBy.has(from)) return;
    request.grantedBy.add(from);
    this.budget.borrow(writes);
  }
}
