// During an outage of the key-value store: whether all peers confirm that they can't reach it either and know of
// nothing newer. Then no cancellation and no failover exists that this controller has not seen, and it may go on
// answering its workers.
import type { WatchCache, KeyValueStore } from '@gingerlock/clients';
import type { PeerMessages } from '@gingerlock/peer';
import type { PeerChannel } from './peer-channel';

/** The last request to all peers. */
interface ConfirmationRequest {
  readonly id: string;
  readonly sentAt: number;
  readonly confirmedBy: Set<string>;
}

/** Asks the peers for their confirmation, and gives them ours. */
export class PeerConfirmation {
  /**
   * The last moment at which, by all peers, nothing had happened that this controller has not seen; by our own clock.
   */
  confirmedAt = -Infinity;
  #request: ConfirmationRequest | null = null;

  constructor(
    readonly keyValueStore: KeyValueStore,
    readonly watchCache: WatchCache,
    readonly peers: PeerChannel,
    /** Time between two requests, in milliseconds. */
    readonly intervalMs: number,
  ) {}

  /** Sends the next request if it is due. `isNeeded`: something depends on a confirmation. */
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

  /** A peer asks whether we know of anything past its revision. */
  onRequest(from: string, { id, revision }: PeerMessages['ConfirmationRequest'], contactAgeMs: number): void {
    this.peers.send(from, { kind: 'Confirmation', id, confirms: this.#canConfirm(revision), contactAgeMs });
  }

  /** A peer has answered; what matters is when it was asked. */
  onAnswer(from: string, { id, confirms }: PeerMessages['Confirmation']): void {
    const request = this.#request;
    if (request === null || request.id !== id || !confirms) return;
    request.confirmedBy.add(from);
    if (!this.peers.nodes.every((node) => request.confirmedBy.has(node))) return;
    this.confirmedAt = Math.max(this.confirmedAt, request.sentAt);
  }

  /**
   * Whether we know of nothing past that revision. A process that has not reached the store since its start can't say
   * what the controller's earlier process has promised users; nor can one with a transaction whose outcome it does not
   * know.
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
