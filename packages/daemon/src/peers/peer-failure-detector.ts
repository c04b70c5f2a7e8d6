// Tracks which controllers are alive, since when without a gap, and how recently each has read the key-value store.
import type { Clock } from '@gingerlock/clients';
import type { PeerLink } from '@gingerlock/peer';

/** A peer's report of its contact with the store is used for this many heartbeat intervals. */
const CONTACT_INTERVALS = 2;

/** A peer's contact with the key-value store, as reported in its last heartbeat. */
interface PeerContact {
  /** Age of the peer's last read of the store when it sent the heartbeat. */
  readonly ageMs: number;
  readonly receivedAt: number;
  /** Since when the peer has had contact without a gap; the arrival time of the heartbeat if it has none. */
  readonly contactSince: number;
}

/** Tracks the liveness of the other controllers and their contact with the key-value store. */
export class PeerFailureDetector {
  /** Since when each controller that was ever alive has been so without a gap; null if it is silent now. */
  readonly #aliveSince = new Map<string, number | null>();
  readonly #contactByNode = new Map<string, PeerContact>();

  constructor(
    readonly link: PeerLink,
    readonly clock: Clock,
    readonly heartbeatIntervalMs: number,
  ) {}

  /** Whether this process has ever received a message from the controller. */
  wasSeen(node: string): boolean {
    return this.#aliveSince.has(node);
  }

  /** Records a message from the controller, which counts as a heartbeat. */
  recordHeartbeat(node: string, now: number): void {
    if ((this.#aliveSince.get(node) ?? null) === null) this.#aliveSince.set(node, now);
  }

  /** Records which controllers have fallen silent. */
  tick(): void {
    for (const node of this.#aliveSince.keys()) if (!this.link.isAlive(node)) this.#aliveSince.set(node, null);
  }

  /** Records that this process stalled, which counts as a gap for every controller. */
  resumedAfterStall(): void {
    for (const node of this.#aliveSince.keys()) this.#aliveSince.set(node, null);
  }

  /** Records the controller's report that it read the store `ageMs` ago. */
  recordContact(node: string, ageMs: number, now: number): void {
    const known = this.#contactByNode.get(node);
    const hasContact = ageMs <= this.heartbeatIntervalMs;
    this.#contactByNode.set(node, {
      ageMs,
      receivedAt: now,
      contactSince: hasContact && known !== undefined ? known.contactSince : now,
    });
  }

  /** Whether the controller has been alive and in contact with the store for `forMs` without a gap, and still is. */
  isHealthy(node: string, forMs: number): boolean {
    const now = this.clock.now();
    const aliveSince = this.#aliveSince.get(node) ?? now;
    const contact = this.#contactByNode.get(node);
    if (contact === undefined || now - aliveSince < forMs || now - contact.contactSince < forMs) return false;
    return now - contact.receivedAt <= this.heartbeatIntervalMs && contact.ageMs <= this.heartbeatIntervalMs;
  }

  /** Whether any controller that is alive has contact with the store. */
  anyHasContact(now: number): boolean {
    return [...this.#contactByNode].some(
      ([node, { receivedAt, ageMs }]) =>
        this.link.isAlive(node) &&
        now - receivedAt < this.heartbeatIntervalMs * CONTACT_INTERVALS &&
        ageMs < this.heartbeatIntervalMs,
    );
  }
}
