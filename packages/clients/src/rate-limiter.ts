// This controller's share of the key-value store's rate limits.
import { GingerlockError } from '@gingerlock/wire';
import type { Clock } from './ports';

/** What requests are for, the most urgent first: in this order they leave the queue. */
export const URGENCY = { renew: 0, cancel: 1, accept: 2, assign: 3, finish: 4, rest: 5 } as const;
/** The number of an urgency; the smaller one goes first. */
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

/** A request was never sent, because the rate limit did not admit it in the time that it could wait. */
export class OverloadedError extends GingerlockError {
  override readonly name = 'OverloadedError';
  override readonly code = 'OVERLOADED';

  /**
   * @param writes how many changes the request has
   * @param patienceMs how long it could wait
   */
  constructor(writes: number, patienceMs: number) {
    super(`request with ${writes} changes not sent: not admitted by the store's rate limit within ${patienceMs} ms`);
  }
}

/** The share of its own limit that a lender keeps, so that a user's next job or cancellation need not wait. */
const LENDER_RESERVE = 0.4;

/** The shortest pause before the queue is looked at again, in seconds. */
const MIN_PAUSE_S = 0.002;

/** A request that waits to be admitted. */
interface QueuedRequest {
  readonly urgency: Urgency;
  readonly writes: number;
  readonly patienceMs: number;
  /** Steady time at which it is refused. */
  readonly until: number;
  readonly admit: () => void;
  readonly refuse: (error: Error) => void;
}

function totalWrites(requests: readonly QueuedRequest[]): number {
  return requests.reduce((sum, { writes }) => sum + writes, 0);
}

/**
 * This controller's share of the key-value store's limits: two token buckets, one of requests and one of changes, each
 * with a capacity of one second. All controllers together stay below the limits because each keeps to its share.
 */
export class RateLimiter {
  #availableRequests: number;
  #availableWrites: number;
  #filledAt: number;
  /** In the order of admission: by urgency, then by arrival. */
  #queue: QueuedRequest[] = [];
  #cancelTimer: (() => void) | null = null;

  constructor(
    readonly clock: Clock,
    readonly requestsPerS: number,
    readonly writesPerS: number,
  ) {
    // An earlier process may just have spent the burst.
    this.#availableRequests = requestsPerS / 2;
    this.#availableWrites = writesPerS / 2;
    this.#filledAt = clock.now();
  }

  /**
   * Resolves when a request with `writes` changes may be sent; rejects with an `OverloadedError` after `patienceMs`.
   */
  acquire(urgency: Urgency, writes: number, patienceMs: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const until = this.clock.now() + patienceMs;
      const entry: QueuedRequest = { urgency, writes, patienceMs, until, admit: resolve, refuse: reject };
      let position = this.#queue.length;
      while (position > 0 && this.#queue[position - 1]!.urgency > urgency) position--;
      this.#queue.splice(position, 0, entry);
      this.#pump();
    });
  }

  /** An estimate of how long a request of this urgency with one change would wait now, in milliseconds. */
  waitMs(urgency: Urgency): number {
    this.#fill();
    const ahead = this.#queue.filter((queued) => queued.urgency <= urgency);
    return Math.max(
      0,
      ((totalWrites(ahead) + 1 - this.#availableWrites) / this.writesPerS) * 1000,
      ((ahead.length + 1 - this.#availableRequests) / this.requestsPerS) * 1000,
    );
  }

  #fill(): void {
    const now = this.clock.now();
    const elapsedS = (now - this.#filledAt) / 1000;
    this.#filledAt = now;
    this.#availableRequests = Math.min(this.requestsPerS, this.#availableRequests + elapsedS * this.requestsPerS);
    // What others have lent may exceed this controller's own share.
    if (this.#availableWrites < this.writesPerS) {
      this.#availableWrites = Math.min(this.writesPerS, this.#availableWrites + elapsedS * this.writesPerS);
    }
  }

  /** The unused share of the changes that may be sent at once, from 0 to 1; 0 while requests are queued. */
  spareWriteShare(): number {
    this.#fill();
    return this.#queue.length > 0 ? 0 : Math.max(0, this.#availableWrites / this.writesPerS);
  }

  /** How many changes are queued beyond what may be sent now. */
  missingWrites(): number {
    if (this.#queue.length === 0) return 0;
    this.#fill();
    return Math.ceil(Math.max(0, totalWrites(this.#queue) - this.#availableWrites));
  }

  /**
   * Takes up to `requestedWrites` out of this controller's limit for a peer that is short of them; returns how many.
   * They are taken out before the peer learns of them, so all controllers together never exceed the store's limit: if
   * the message is lost, they lapse.
   */
  lend(requestedWrites: number): number {
    this.#fill();
    if (this.#queue.some(({ writes }) => writes > 0)) return 0;
    const spare = Math.floor(this.#availableWrites - this.writesPerS * LENDER_RESERVE);
    const lent = Math.min(requestedWrites, spare);
    if (lent <= 0) return 0;
    this.#availableWrites -= lent;
    return lent;
  }

  /** Adds changes that a peer has lent. */
  borrow(writes: number): void {
    this.#fill();
    this.#availableWrites += writes;
    this.#pump();
  }

  /** Refuses what has waited too long, admits what may be sent now, and sets a timer for the next request. */
  #pump(): void {
    this.#fill();
    this.#refuseExpired();
    this.#admit();
    this.#cancelTimer?.();
    this.#cancelTimer = null;
    const next = this.#queue[0];
    if (next === undefined) return;
    this.#cancelTimer = this.clock.after(this.#pauseS(next) * 1000, () => {
      this.#cancelTimer = null;
      this.#pump();
    });
  }

  #refuseExpired(): void {
    const now = this.clock.now();
    this.#queue = this.#queue.filter(({ until, writes, patienceMs, refuse }) => {
      if (until >= now) return true;
      refuse(new OverloadedError(writes, patienceMs));
      return false;
    });
  }

  #admit(): void {
    for (let next = this.#queue[0]; next !== undefined; next = this.#queue[0]) {
      if (this.#availableRequests < 1 || this.#availableWrites < this.#neededWrites(next)) break;
      this.#queue.shift();
      this.#availableRequests -= 1;
      this.#availableWrites -= next.writes;
      next.admit();
    }
  }

  /** A transaction larger than the bucket is admitted when the bucket is full, and leaves it in debt. */
  #neededWrites({ writes }: QueuedRequest): number {
    return Math.min(writes, this.writesPerS);
  }

  /** The time until both buckets hold enough for the request, in seconds. */
  #pauseS(next: QueuedRequest): number {
    return Math.max(
      (1 - this.#availableRequests) / this.requestsPerS,
      (this.#neededWrites(next) - this.#availableWrites) / this.writesPerS,
      MIN_PAUSE_S,
    );
  }
}
