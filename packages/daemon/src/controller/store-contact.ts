// How recent this controller's knowledge of the key-value store is: the bounds on answers to workers and users rest on
// it.
import type { WatchCache } from '@gingerlock/clients';
import type { PeerConfirmation } from '../peers/peer-confirmation';

/** The age that peers are shown of a contact that there never was, in milliseconds. */
const NO_CONTACT_AGE_MS = 1e9;

/** Times of this controller's contact with the key-value store. */
export class StoreContact {
  constructor(
    readonly watchCache: WatchCache,
    readonly confirmation: PeerConfirmation,
  ) {}

  /**
   * Up to when no submission, cancellation or acquisition can have been stored that this controller has not seen: by
   * its own reads, or during an outage of the store by the confirmation of all peers.
   */
  coveredUntil(): number {
    return Math.max(this.watchCache.lastContactAt ?? -Infinity, this.confirmation.confirmedAt);
  }

  /** Milliseconds since the last successful read of the store began. */
  ageMs(now: number): number {
    const { lastContactAt } = this.watchCache;
    return lastContactAt === null ? NO_CONTACT_AGE_MS : now - lastContactAt;
  }
}
