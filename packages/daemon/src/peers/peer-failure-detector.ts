// Which controllers are alive, since when without a gap, and how recently each of them has read the key-value store.
import type { Clock } from '@gingerlock/clients';
import type { PeerLink } from '@gingerlock/peer';

/** For how many heartbeat intervals a peer's statement of its contact counts. */
const CONTACT_INTERVALS = 2;

/** A peer's contact with the key-value store, by its last heartbeat. */
interface PeerContact {
  /** How long before its heartbeat it had read the store. */
  readonly ageMs: number;
  readonly receivedAt: number;
  /** Since when it has had contact without a gap; when the heartbeat came, if it has none. */
  readonly contactSince: number;
}

/** Observes the other controllers for one process. */
export class PeerFailureDetector {
  /** By controller that was ever alive: since when it has been so without a gap; null: it is silent now. */
  readonly #aliveSince = new Map<string, number | null>();
  readonly #contactByNode = new Map<string, PeerContact>();

  constructor(
    readonly link: PeerLink,
    readonly clock: Clock,
    readonly heartbeatIntervalMs: number,
  ) {}

  /** Whether this process has ever had a heartbeat from the controller. */
  wasSeen(node: string): boolean {
    return this.#aliveSince.has(node);
  }

  /** A heartbeat of the controller has come. */
  recordHeartbeat(node: string, now: number): void {
    if ((this.#aliveSince.get(node) ?? null) === null) this.#aliveSince.set(node, now);
  }

  /** Records which controllers have fallen silent. */
  tick(): void {
    for (const node of this.#aliveSince.keys()) if (!this.link.isAlive(node)) this.#aliveSince.set(node, null);
  }

  /** This process has stalled: the gap counts for every controller. */
  resumedAfterStall(): void {
    for (const node of this.#aliveSince.keys()) this.#aliveSince.set(node, null);
  }

  /** The controller says that it read the store `ageMs` ago. */
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
