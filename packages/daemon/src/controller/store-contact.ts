// Tracks how recent this controller's view of the key-value store is: its answers to workers and users depend on that.
import type { WatchCache } from '@gingerlock/clients';
import type { PeerConfirmation } from '../peers/peer-confirmation';

/** Age of the last contact as reported to peers if there was none yet, in milliseconds. */
const NEVER_READ_AGE_MS = 1e9;

/** Times of this controller's contact with the key-value store. */
export class StoreContact {
  constructor(
    readonly watchCache: WatchCache,
    readonly confirmation: PeerConfirmation,
  ) {}

  /**
   * Returns the time until which this controller has seen every stored submission, cancellation and acquisition: by its
   * own reads or, during an outage of the store, by the confirmation of all peers.
   */
  completeUntil(): number {
    return Math.max(this.watchCache.lastContactAt ?? -Infinity, this.confirmation.confirmedAt);
  }

  /** Milliseconds since the last successful read of the store began. */
  ageMs(now: number): number {
    const { lastContactAt } = this.watchCache;
    return lastContactAt === null ? NEVER_READ_AGE_MS : now - lastContactAt;
  }
}
