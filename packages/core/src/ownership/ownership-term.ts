/**
 * One term of ownership of a resource (a partition or the leadership), from its acquisition to its end. Each term is a
 * separate object, so that what is known, claimed or written under it is never attributed to another term of the same
 * controller.
 */
import type { Condition } from '@gingerlock/wire';
import { KEYS, termRecord } from '@gingerlock/wire';
import { type ClusterConfig, timerMarginMs, workerLeaseBoundMs } from '../cluster/cluster-config';
import { acquisitionBoundMs } from './ownership-timing';
import type { Transaction } from './transaction';

/**
 * held:     this controller is the owner.
 * resuming: this controller is the owner, and writes its hold again under the same term after its store lease expired.
 * ended:    this controller is not the owner under this term and never will be again.
 */
export type OwnershipTermState = 'held' | 'resuming' | 'ended';

/** The states to which a term may change from each state. */
const TRANSITIONS: Record<OwnershipTermState, readonly OwnershipTermState[]> = {
  held: ['resuming', 'ended'],
  resuming: ['held', 'ended'],
  ended: [],
};

/** The previous owner of the resource, which may still be active for a while. */
export interface PreviousOwner {
  readonly node: string;
  /** Time of day (ms) of the last failover up to and including its own acquisition; 0 if there was none. */
  readonly failoverAt: number;
}

/** Properties of an ownership term that are known once the resource has been acquired. */
export interface OwnershipTermOptions {
  readonly clusterConfig: ClusterConfig;
  /** Name of the resource in its keys. */
  readonly resource: string;
  /** Number of the term: each acquisition of the resource has a higher one. */
  readonly term: number;
  /** Version of the owner record that the acquisition wrote. */
  readonly version: number;
  /** Steady-clock time (ms) from which this controller acts as the owner, after the acquisition was carried out. */
  readonly acquiredAt: number;
  /** Time of day (ms) written with the acquisition; 0 if no earlier owner can still be active. */
  readonly failoverAt: number;
  readonly hadOwner: boolean;
  /** The previous owner if it released the resource; otherwise null. */
  readonly releasedBy: string | null;
  /** The controller to ask whether its ownership has ended; null if there is none to ask. */
  readonly previousOwner: PreviousOwner | null;
  /** Time of day (ms) at `acquiredAt`. */
  readonly wallNow: number;
}

/** One term of ownership, with the time until which tasks started before it may still run. */
export class OwnershipTerm {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  readonly version: number;
  readonly acquiredAt: number;
  readonly releasedBy: string | null;
  /** Time of day (ms) written with the acquisition; 0 if none was written. */
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
    // DESIGN: tasks of an earlier owner are granted again only after its workers' leases have certainly expired.
    const leasesExpiredAt = options.hadOwner ? acquiredAt + workerLeaseBoundMs(this.clusterConfig) : acquiredAt;
    this.#fencedUntil = Math.max(leasesExpiredAt, this.#endOfEarlierOwners(failoverAt, acquiredAt, wallNow));
  }

  /** The current state. */
  get state(): OwnershipTermState {
    return this.#state;
  }

  /** Whether this controller may answer workers and write records as the owner. */
  get isCurrent(): boolean {
    return this.#state !== 'ended';
  }

  /** Steady-clock time (ms) until which tasks of earlier owners that no machine has reported may still run. */
  get fencedUntil(): number {
    return this.#fencedUntil;
  }

  /** The controller to ask whether its ownership has ended, to shorten the fencing period; null if there is none. */
  get previousOwner(): PreviousOwner | null {
    return this.#previousOwner;
  }

  /**
   * The condition of every write as the owner: the owner record is still the one that this term's acquisition wrote.
   */
  get condition(): Condition {
    return { key: KEYS.owner(this.resource), version: this.version };
  }

  /** Changes the state; only `Ownership` calls it. Throws if `TRANSITIONS` does not allow the change. */
  transition(next: OwnershipTermState): void {
    if (!TRANSITIONS[this.#state].includes(next)) {
      throw new Error(`${this.resource}, term ${this.term}: invalid state transition from ${this.#state} to ${next}`);
    }
    this.#state = next;
  }

  /**
   * Returns the write that confirms the time written with the acquisition as a bound on when it was carried out, so
   * that later owners may count from it. Null if no time was written or the state is not `held`.
   */
  confirmAcquisition(): Transaction | null {
    if (this.#state !== 'held' || this.#failoverAt === 0) return null;
    const confirmation = { put: KEYS.confirmedTerm(this.resource), value: termRecord.write(this.term) };
    return { conditions: [this.condition], changes: [confirmation] };
  }

  /**
   * Shortens the fencing period after the previous owner has answered that it does not own the resource and never will
   * under an earlier term. It answers no workers, so the leases that it granted expire within a worker lease from
   * `now`. For owners before it, the time of its own failover counts. Never postpones `fencedUntil`.
   */
  confirmPreviousOwnerEnded(node: string, now: number, wallNow: number): void {
    if (this.#state !== 'held' || this.#previousOwner?.node !== node) return;
    const leasesExpiredAt = now + workerLeaseBoundMs(this.clusterConfig);
    const earlierOwnersEndedAt = this.#endOfEarlierOwners(this.#previousOwner.failoverAt, now, wallNow);
    this.#fencedUntil = Math.min(this.#fencedUntil, Math.max(leasesExpiredAt, earlierOwnersEndedAt));
    this.#previousOwner = null;
  }

  /**
   * Returns the steady-clock time (ms) by which all tasks started by owners before a failover have ended. `failoverAt`
   * is the time of day written with that failover, at most `acquisitionBoundMs` before it was carried out; 0 if there
   * was none. An owner stops answering workers early enough for its tasks to end within `cancellationBoundMs` of its
   * last contact with the key-value store. The rest allows for the skew of two clocks and for timers that fire late.
   */
  #endOfEarlierOwners(failoverAt: number, now: number, wallNow: number): number {
    if (failoverAt === 0) return now;
    const { cancellationBoundMs, maxClockSkewMs } = this.clusterConfig;
    const slackMs = acquisitionBoundMs(this.clusterConfig) + 2 * timerMarginMs(this.clusterConfig);
    return now + (failoverAt - wallNow) + cancellationBoundMs + 2 * maxClockSkewMs + slackMs;
  }
}
