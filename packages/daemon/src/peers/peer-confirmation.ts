// During an outage of the key-value store, asks all peers to confirm that they can't reach it either and know of no
// newer revision. If all of them confirm, this controller has seen every cancellation and failover, and may continue to
// answer its workers.
import type { WatchCache, KeyValueStore } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

/** The last request to all peers. */
interface ConfirmationRequest {
  readonly id: string;
  readonly sentAt: number;
  readonly confirmedBy: Set<string>;
}

/** Requests confirmations from the peers, and answers their requests. */
export class PeerConfirmation {
  /** When the last request that all peers confirmed was sent: until then, this controller has seen every change. */
  confirmedAt = -Infinity;
  #request: ConfirmationRequest | null = null;

  constructor(
    readonly keyValueStore: KeyValueStore,
    readonly watchCache: WatchCache,
    readonly peers: PeerChannel,
    /** Time between two requests, in milliseconds. */
    readonly intervalMs: number,
  ) {}

  /** Sends the next request if it is due. `isNeeded`: whether this controller needs a confirmation. */
  tick(now: number, isNeeded: boolean): void {
    const { watchCache, peers } = this;
    if (!isNeeded || watchCache.failures === 0 || watchCache.lastContactAt === null) {
      this.#request = null;
      return;
    }
    if (this.#request !== null && now - this.#request.sentAt < this.intervalMs) return;
    this.#request = { id: peers.nextRequestId(), sentAt: now, confirmedBy: new Set() };
    peers.broadcast({ kind: 'ConfirmationRequest', id: this.#request.id, revision: watchCache.revision });
  }

  /** Answers a peer that asks whether this controller knows of nothing newer than the peer's revision. */
  onRequest(from: string, { id, revision }: PeerMessages['ConfirmationRequest'], contactAgeMs: number): void {
    this.peers.send(from, { kind: 'Confirmation', id, confirms: this.#canConfirm(revision), contactAgeMs });
  }

  /** Handles a peer's answer. A confirmation holds for the time when the request was sent. */
  onAnswer(from: string, { id, confirms }: PeerMessages['Confirmation']): void {
    const request = this.#request;
    if (request === null || request.id !== id || !confirms) return;
    request.confirmedBy.add(from);
    if (!this.peers.nodes.every((node) => request.confirmedBy.has(node))) return;
    this.confirmedAt = Math.max(this.confirmedAt, request.sentAt);
  }

  /**
   * Whether this controller can't reach the store either and knows of nothing newer than the revision. Returns false if
   * this process has not reached the store since its start, because it does not know what an earlier process of this
   * controller has told users. Also returns false while the outcome of a transaction is unknown.
   */
  #canConfirm(revision: number): boolean {
    const { keyValueStore, watchCache } = this;
    const { lastContactAt } = watchCache;
    if (!watchCache.loaded || lastContactAt === null || watchCache.failures === 0) return false;
    const unknownSince = keyValueStore.outcomeUnknownSince;
    const areOutcomesKnown =
      keyValueStore.pendingTransactions === 0 && (unknownSince === null || lastContactAt > unknownSince);
    return areOutcomesKnown && keyValueStore.highestRevision <= revision;
  }
}
