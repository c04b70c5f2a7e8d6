// Which controllers this process hears, since when without a gap, and what they say of their contact with the state
// service.
import type { Clock } from '@gingerlock/clients';
import type { PeerLink } from '@gingerlock/peer';

/** What a peer last said of its contact with the state service. */
interface PeerContact {
  readonly ageMs: number;
  readonly at: number;
  /** Since when it has had contact without a gap; now, if it has none. */
  readonly since: number;
}

export class PeerFailureDetector {
  /** Controllers that this process has heard of, and since when without a gap; null: silent now. */
  readonly #heardSince = new Map<string, number | null>();
  readonly #contact = new Map<string, PeerContact>();

  constructor(
    readonly link: PeerLink,
    readonly clock: Clock,
    readonly heartbeatIntervalMs: number,
  ) {}

  /** Whether this process has ever heard the controller. */
  wasSeen(node: string): boolean {
    return this.#heardSince.has(node);
  }

  recordHeartbeat(node: string, now: number): void {
    if ((this.#heardSince.get(node) ?? null) === null) this.#heardSince.set(node, now);
  }

  /** Notes which connections have fallen silent. */
  tick(): void {
    for (const node of this.#heardSince.keys()) if (!this.link.alive(node)) this.#heardSince.set(node, null);
  }

  /** This process stood still: nobody was heard without a gap. */
  resumedAfterStall(): void {
    for (const node of this.#heardSince.keys()) this.#heardSince.set(node, null);
  }

  /** Notes what a peer says of its contact with the state service, and since when it has had that without a gap. */
  recordContact(node: string, ageMs: number, now: number): void {
    const known = this.#contact.get(node);
    const hasContact = ageMs <= this.heartbeatIntervalMs;
    this.#contact.set(node, { ageMs, at: now, since: hasContact && known !== undefined ? known.since : now });
  }

  /** Whether the controller has been heard of for so long without a gap, and has just read the state service. */
  isHealthy(node: string, forMs: number): boolean {
    const now = this.clock.now();
    const heardSince = this.#heardSince.get(node) ?? now;
    const contact = this.#contact.get(node);
    if (contact === undefined || now - heardSince < forMs || now - contact.since < forMs) return false;
    return now - contact.at <= this.heartbeatIntervalMs && contact.ageMs <= this.heartbeatIntervalMs;
  }

  /** Whether any peer that is heard has contact with the state service. */
  anyHasContact(now: number): boolean {
    return [...this.#contact].some(
      ([node, c]) =>
        this.link.alive(node) && now - c.at < this.heartbeatIntervalMs * 2 && c.ageMs < this.heartbeatIntervalMs,
    );
  }
}
