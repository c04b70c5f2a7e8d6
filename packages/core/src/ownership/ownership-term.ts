// One ownership of a resource, a partition or the lead, from a takeover that was carried out to its end. An object for each:
// what is known, claimed or written under one tenure can never be taken for that of another, though the controller is the same.
import type { Condition } from '@gingerlock/wire';
import { KEYS, termRecord } from '@gingerlock/wire';
import { type ClusterConfig, timerMarginMs, workerLeaseBoundMs } from '../cluster/cluster-config';
import { acquisitionBoundMs } from './ownership-timing';
import type { Transaction } from './transaction';

/**
 * held:     ours.
 * resuming: ours; our state lease had lapsed, and the hold is being put back under the same term.
 * ended:    ours no more, for ever.
 */
export type OwnershipTermState = 'held' | 'resuming' | 'ended';

const MOVES: Record<OwnershipTermState, readonly OwnershipTermState[]> = {
  held: ['resuming', 'ended'],
  resuming: ['held', 'ended'],
  ended: [],
};

/** The controller that owned the resource before, and may go on for a while. */
export interface PreviousOwner {
  readonly node: string;
  /** Time of day (ms) of its own takeover from another controller; 0: there was none. */
  readonly failoverAt: number;
}

export interface OwnershipTermOptions {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  /** Version of the owner record that the takeover wrote. */
  readonly version: number;
  readonly acquiredAt: number;
  /** Time of day written with the takeover; 0: no earlier owner may go on. */
  readonly failoverAt: number;
  readonly hadOwner: boolean;
  /** The controller that gave the resource up for others before this tenure; null: none did. */
  readonly releasedBy: string | null;
  readonly previousOwner: PreviousOwner | null;
  readonly wallNow: number;
}

export class OwnershipTerm {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  readonly version: number;
  readonly acquiredAt: number;
  readonly releasedBy: string | null;
  readonly #failoverAt: number;
  #state: OwnershipTermState = 'held';
  #fencedUntil: number;
  #previousOwner: PreviousOwner | null;

  constructor(options: OwnershipTermOptions) {
    this.clusterConfig = options.clusterConfig;
    this.resource = options.resource;
    this.term = options.term;
    this.version = options.version;
    this.acquiredAt = options.acquiredAt;
    this.releasedBy = options.releasedBy;
    this.#failoverAt = options.failoverAt;
    this.#previousOwner = options.previousOwner;
    const { acquiredAt, failoverAt, wallNow } = options;
    // DESIGN: tasks of an earlier owner are granted again only once the old workers' leases have surely run out.
    const ownLeases = options.hadOwner ? acquiredAt + workerLeaseBoundMs(this.clusterConfig) : acquiredAt;
    this.#fencedUntil = Math.max(ownLeases, this.#failoverFencedUntil(failoverAt, acquiredAt, wallNow));
  }

  get state(): OwnershipTermState {
    return this.#state;
  }

  /** Whether workers may be answered, and records written, as the owner. */
  get isCurrent(): boolean {
    return this.#state !== 'ended';
  }

  /** Up to when tasks of earlier owners that are not heard of may still run. */
  get fencedUntil(): number {
    return this.#fencedUntil;
  }

  /** Whom to ask whether it has given the resource up, so that the fencing period ends sooner; null: nobody. */
  get previousOwner(): PreviousOwner | null {
    return this.#previousOwner;
  }

  /** Every write as the owner rests on this: the owner record is still the one that this tenure wrote. */
  get condition(): Condition {
    return { key: KEYS.owner(this.resource), version: this.version };
  }

  /** The one function that changes the state; only `Ownership` calls it. */
  move(next: OwnershipTermState): void {
    if (!MOVES[this.#state].includes(next)) {
      throw new Error(`${this.resource}, term ${this.term}: no move from ${this.#state} to ${next}`);
    }
    this.#state = next;
  }

  /** States that the time written with the takeover bounds when it happened; null: no time was written. */
  confirmAcquisition(): Transaction | null {
    if (this.#state !== 'held' || this.#failoverAt === 0) return null;
    const confirmed = { put: KEYS.confirmedTerm(this.resource), value: termRecord.write(this.term) };
    return { conditions: [this.condition], changes: [confirmed] };
  }

  /**
   * Asked after our takeover, the former owner said that it owns the resource no more and never will under an earlier term: it
   * answers nobody, and what it has answered ends within a worker lease. Owners before it are bound by its own takeover.
   */
  previousOwnerEnded(node: string, now: number, wallNow: number): void {
    if (this.#state !== 'held' || this.#previousOwner?.node !== node) return;
    const ownLeases = now + workerLeaseBoundMs(this.clusterConfig);
    const earlier = this.#failoverFencedUntil(this.#previousOwner.failoverAt, now, wallNow);
    this.#fencedUntil = Math.min(this.#fencedUntil, Math.max(ownLeases, earlier));
    this.#previousOwner = null;
  }

  /** When all is over that ran before a takeover of that time of day, up to `takeoverBoundMs` before it was carried out. */
  #failoverFencedUntil(failoverAt: number, now: number, wallNow: number): number {
    if (failoverAt === 0) return now;
    const { cancellationBoundMs, maxClockSkewMs } = this.clusterConfig;
    const slack = acquisitionBoundMs(this.clusterConfig) + 2 * timerMarginMs(this.clusterConfig);
    return now + (failoverAt - wallNow) + cancellationBoundMs + 2 * maxClockSkewMs + slack;
  }
}
