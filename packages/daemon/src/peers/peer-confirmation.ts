// During an outage of the state service: whether the peers confirm that they too lack it and know of nothing newer.
// Then no cancellation and no takeover exists that this controller has not seen, and it may go on answering its
// workers.
import type { WatchCache, KeyValueStore } from '@gingerlock/clients';
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
    readonly keyValueStore: KeyValueStore,
    readonly watchCache: WatchCache,
    readonly peers: PeerChannel,
    /** Time between two requests. */
    readonly intervalMs: number,
  ) {}

  /** `needed`: there is something that a confirmation could keep going. */
  tick(now: number, needed: boolean): void {
    const { watchCache, peers } = this;
    if (!needed || watchCache.failures === 0 || watchCache.lastContactAt === null) {
      this.#request = null;
      return;
    }
    if (this.#request !== null && now - this.#request.at < this.intervalMs) return;
    this.#request = { id: peers.nextRequestId(), at: now, confirmedBy: new Set() };
    peers.broadcast({ kind: 'ConfirmationRequest', id: this.#request.id, revision: watchCache.revision });
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
    const { keyValueStore, watchCache } = this;
    const { lastContactAt } = watchCache;
    if (!watchCache.loaded || lastContactAt === null || watchCache.failures === 0) return false;
    const doubt = keyValueStore.outcomeUnknownSince;
    const clean = keyValueStore.pendingTransactions === 0 && (doubt === null || lastContactAt > doubt);
    return clean && keyValueStore.highestRevision <= revision;
  }
}
