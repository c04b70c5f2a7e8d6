// One ownership of a resource, a partition or the lead, from a takeover that was carried out to its end. An object for each:
// what is known, claimed or written under one tenure can never be taken for that of another, though the controller is the same.
import type { Condition } from '@gingerlock/wire';
import { KEYS, termRecord } from '@gingerlock/wire';
import { type ClusterConfig, timerMarginMs, workerLeaseBoundMs } from './facts';
import { takeoverBoundMs } from './ownership-timing';
import type { Transaction } from './transaction';

/**
 * held:     ours.
 * resuming: ours; our state lease had lapsed, and the hold is being put back under the same term.
 * ended:    ours no more, for ever.
 */
export type TenureState = 'held' | 'resuming' | 'ended';

const MOVES: Record<TenureState, readonly TenureState[]> = {
  held: ['resuming', 'ended'],
  resuming: ['held', 'ended'],
  ended: [],
};

/** The controller that owned the resource before, and may go on for a while. */
export interface FormerOwner {
  readonly node: string;
  /** Time of day (ms) of its own takeover from another controller; 0: there was none. */
  readonly movedAt: number;
}

export interface TenureOptions {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  /** Version of the owner record that the takeover wrote. */
  readonly version: number;
  readonly takenAt: number;
  /** Time of day written with the takeover; 0: no earlier owner may go on. */
  readonly movedAt: number;
  readonly hadOwner: boolean;
  /** The controller that gave the resource up for others before this tenure; null: none did. */
  readonly releasedBy: string | null;
  readonly formerOwner: FormerOwner | null;
  readonly wallNow: number;
}

export class Tenure {
  readonly clusterConfig: ClusterConfig;
  readonly resource: string;
  readonly term: number;
  readonly version: number;
  readonly takenAt: number;
  readonly releasedBy: string | null;
  readonly #movedAt: number;
  #state: TenureState = 'held';
  #fencedUntil: number;
  #formerOwner: FormerOwner | null;

  constructor(options: TenureOptions) {
    this.clusterConfig = options.clusterConfig;
    this.resource = options.resource;
    this.term = options.term;
    this.version = options.version;
    this.takenAt = options.takenAt;
    this.releasedBy = options.releasedBy;
    this.#movedAt = options.movedAt;
    this.#formerOwner = options.formerOwner;
    const { takenAt, movedAt, wallNow } = options;
    // DESIGN: tasks of an earlier owner are granted again only once the old workers' leases have surely run out.
    const ownLeases = options.hadOwner ? takenAt + workerLeaseBoundMs(this.clusterConfig) : takenAt;
    this.#fencedUntil = Math.max(ownLeases, this.#movedFence(movedAt, takenAt, wallNow));
  }

  get state(): TenureState {
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
  get formerOwner(): FormerOwner | null {
    return this.#formerOwner;
  }

  /** Every write as the owner rests on this: the owner record is still the one that this tenure wrote. */
  get condition(): Condition {
    return { key: KEYS.owner(this.resource), version: this.version };
  }

  /** The one function that changes the state; only `Ownership` calls it. */
  move(next: TenureState): void {
    if (!MOVES[this.#state].includes(next)) {
      throw new Error(`${this.resource}, term ${this.term}: no move from ${this.#state} to ${next}`);
    }
    this.#state = next;
  }

  /** States that the time written with the takeover bounds when it happened; null: no time was written. */
  confirmTime(): Transaction | null {
    if (this.#state !== 'held' || this.#movedAt === 0) return null;
    const confirmed = { put: KEYS.timed(this.resource), value: termRecord.write(this.term) };
    return { conditions: [this.condition], changes: [confirmed] };
  }

  /**
   * Asked after our takeover, the former owner said that it owns the resource no more and never will under an earlier term: it
   * answers nobody, and what it has answered ends within a worker lease. Owners before it are bound by its own takeover.
   */
  formerOwnerEnded(node: string, now: number, wallNow: number): void {
    if (this.#state !== 'held' || this.#formerOwner?.node !== node) return;
    const ownLeases = now + workerLeaseBoundMs(this.clusterConfig);
    const earlier = this.#movedFence(this.#formerOwner.movedAt, now, wallNow);
    this.#fencedUntil = Math.min(this.#fencedUntil, Math.max(ownLeases, earlier));
    this.#formerOwner = null;
  }

  /** When all is over that ran before a takeover of that time of day, up to `takeoverBoundMs` before it was carried out. */
  #movedFence(movedAt: number, now: number, wallNow: number): number {
    if (movedAt === 0) return now;
    const { cancellationBoundMs, maxClockSkewMs } = this.clusterConfig;
    const slack = takeoverBoundMs(this.clusterConfig) + 2 * timerMarginMs(this.clusterConfig);
    return now + (movedAt - wallNow) + cancellationBoundMs + 2 * maxClockSkewMs + slack;
  }
}
