/**
 * One term of ownership of a resource, a partition or the leadership, from its acquisition to its end. An object for
 * each: what is known, claimed or written under one term can never be taken for that of another, though the controller
 * is the same.
 */
import type { Condition } from '@gingerlock/wire';
import { KEYS, termRecord } from '@gingerlock/wire';
import { type ClusterConfig, timerMarginMs, workerLeaseBoundMs } from '../cluster/cluster-config';
import { acquisitionBoundMs } from './ownership-timing';
import type { Transaction } from './transaction';

/**
 * held:     ours.
 * resuming: ours; our state lease had lapsed, and the hold is being written again under the same term.
 * ended:    ours no more, for ever.
 */
export type OwnershipTermState = 'held' | 'resuming' | 'ended';

/** To which states a term may go from each. */
const TRANSITIONS: Record<OwnershipTermState, readonly OwnershipTermState[]> = {
  held: ['resuming', 'ended'],
  resuming: ['held', 'ended'],
  ended: [],
};

/** The controller that owned the resource before, and may go on for a while. */
export interface PreviousOwner {
  readonly node: string;
  /** Time of day (ms) of the last failover up to and including its own acquisition; 0: there was none. */
  readonly failoverAt: number;
}

/** What is known of a term of ownership when the resource has been acquired. */
export interface OwnershipTermOptions {
  readonly clusterConfig: ClusterConfig;
  /** Name of the resource in its keys. */
  readonly resource: string;
  /** Number of the term: each acquisition of the resource has a higher one. */
  readonly term: number;
  /** Version of the owner record that the acquisition wrote. */
  readonly version: number;
  /** When this controller went on as the owner, in steady milliseconds; the acquisition was carried out before. */
  readonly acquiredAt: number;
  /** Time of day (ms) written with the acquisition; 0: no earlier owner may go on. */
  readonly failoverAt: number;
  readonly hadOwner: boolean;
  /** The controller that released the resource for others before this term; null: none did. */
  readonly releasedBy: string | null;
  /** Whom to ask whether it has ended; null: nobody. */
  readonly previousOwner: PreviousOwner | null;
  /** Time of day (ms) at `acquiredAt`. */
  readonly wallNow: number;
}

/** One term of ownership, and up to when tasks that were started before it may still run. */
export class OwnershipTerm {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  readonly version: number;
  readonly acquiredAt: number;
  readonly releasedBy: string | null;
  /** Time of day (ms) written with the acquisition; 0: none was. */
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
    // DESIGN: tasks of an earlier owner are granted again only once the old workers' leases have surely expired.
    const leasesExpiredAt = options.hadOwner ? acquiredAt + workerLeaseBoundMs(this.clusterConfig) : acquiredAt;
    this.#fencedUntil = Math.max(leasesExpiredAt, this.#endOfEarlierOwners(failoverAt, acquiredAt, wallNow));
  }

  /** The present state. */
  get state(): OwnershipTermState {
    return this.#state;
  }

  /** Whether workers may be answered, and records written, as the owner. */
  get isCurrent(): boolean {
    return this.#state !== 'ended';
  }

  /** Up to when tasks of earlier owners that no machine has reported may still run; steady milliseconds. */
  get fencedUntil(): number {
    return this.#fencedUntil;
  }

  /** Whom to ask whether its ownership has ended, so that the fencing period ends sooner; null: nobody. */
  get previousOwner(): PreviousOwner | null {
    return this.#previousOwner;
  }

  /**
   * Every write as the owner is conditional on this: the owner record is still the one that this term's acquisition
   * wrote.
   */
  get condition(): Condition {
    return { key: KEYS.owner(this.resource), version: this.version };
  }

  /** Changes the state; only `Ownership` calls it. Throws if `TRANSITIONS` has no such change. */
  transition(next: OwnershipTermState): void {
    if (!TRANSITIONS[this.#state].includes(next)) {
      throw new Error(`${this.resource}, term ${this.term}: no move from ${this.#state} to ${next}`);
    }
    this.#state = next;
  }

  /**
   * The write that confirms the time written with the acquisition as a bound on when it was carried out, so that later
   * owners may count from it; null: no time was written, or the resource is not surely held now.
   */
  confirmAcquisition(): Transaction | null {
    if (this.#state !== 'held' || this.#failoverAt === 0) return null;
    const confirmation = { put: KEYS.confirmedTerm(this.resource), value: termRecord.write(this.term) };
    return { conditions: [this.condition], changes: [confirmation] };
  }

  /**
   * Asked after our acquisition, the previous owner said that it does not own the resource and never will under an
   * earlier term: it answers no worker, and the leases that it granted expire within a worker lease from `now`. For
   * owners before it the time of its own failover counts. Brings `fencedUntil` forward, never back.
   */
  confirmPreviousOwnerEnded(node: string, now: number, wallNow: number): void {
    if (this.#state !== 'held' || this.#previousOwner?.node !== node) return;
    const leasesExpiredAt = now + workerLeaseBoundMs(this.clusterConfig);
    const earlierOwnersEndedAt = this.#endOfEarlierOwners(this.#previousOwner.failoverAt, now, wallNow);
    this.#fencedUntil = Math.min(this.#fencedUntil, Math.max(leasesExpiredAt, earlierOwnersEndedAt));
    this.#previousOwner = null;
  }

  /**
   * Steady time at which nothing runs any more that was started by owners before a failover. `failoverAt`: the time of
   * day written with that failover, at most `acquisitionBoundMs` before it was carried out; 0: there was none. An owner
   * stops answering workers so long after its last contact with the key-value store that its tasks end within
   * `cancellationBoundMs` of that; the rest allows for the skew of two clocks and for timers that fire late.
   */
  #endOfEarlierOwners(failoverAt: number, now: number, wallNow: number): number {
    if (failoverAt === 0) return now;
    const { cancellationBoundMs, maxClockSkewMs } = this.clusterConfig;
    const slackMs = acquisitionBoundMs(this.clusterConfig) + 2 * timerMarginMs(this.clusterConfig);
    return now + (failoverAt - wallNow) + cancellationBoundMs + 2 * maxClockSkewMs + slackMs;
  }
}
