// During an outage of the state service: whether the peers confirm that they too lack it and know of nothing newer. Then no
// cancellation and no takeover exists that this controller has not seen, and it may go on answering its workers.
import type { Replica, StateService } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

interface ConfirmationRequest {
  readonly id: string;
  readonly at: number;
  readonly confirmedBy: Set<string>;
}

export class PeerConfirmation {
  /** Up to when all peers have confirmed that nothing has happened that this controller has not seen. */
  confirmedAt = -Infinity;
  #request: ConfirmationRequest | null = null;

  constructor(
    readonly state: StateService,
    readonly replica: Replica,
    readonly peers: PeerChannel,
    /** Time between two requests. */
    readonly intervalMs: number,
  ) {}

  /** `needed`: there is something that a confirmation could keep going. */
  tick(now: number, needed: boolean): void {
    const { replica, peers } = this;
    if (!needed || replica.failures === 0 || replica.contactAt === null) {
      this.#request = null;
      return;
    }
    if (this.#request !== null && now - this.#request.at < this.intervalMs) return;
    this.#request = { id: peers.nextRequestId(), at: now, confirmedBy: new Set() };
    peers.broadcast({ kind: 'ConfirmationRequest', id: this.#request.id, revision: replica.revision });
  }

  onRequest(from: string, { id, revision }: PeerMessages['ConfirmationRequest'], contactAgeMs: number): void {
    this.peers.send(from, { kind: 'Confirmation', id, confirms: this.#canConfirm(revision), contactAgeMs });
  }

  onAnswer(from: string, { id, confirms }: PeerMessages['Confirmation']): void {
    const request = this.#request;
    if (request === null || request.id !== id || !confirms) return;
    request.confirmedBy.add(from);
    if (!this.peers.nodes.every((node) => request.confirmedBy.has(node))) return;
    this.confirmedAt = Math.max(this.confirmedAt, request.at);
  }

  /**
   * Whether we know of nothing past that revision. A process that has not reached the state service since its start
   * can't say what its predecessor has told users; nor can one that may have changed something without knowing.
   */
  #canConfirm(revision: number): boolean {
    const { state, replica } = this;
    const { contactAt } = replica;
    if (!replica.loaded || contactAt === null || replica.failures === 0) return false;
    const doubt = state.doubtfulSince;
    const clean = state.unanswered === 0 && (doubt === null || contactAt > doubt);
    return clean && state.seen <= revision;
  }
}
