// This controller's share of the key-value store's rate limits.
import { GingerlockError } from '@gingerlock/wire';
import type { Clock } from './ports';

/** Purposes of requests, the most urgent first. Queued requests are admitted in this order. */
export const URGENCY = { renew: 0, cancel: 1, accept: 2, assign: 3, finish: 4, rest: 5 } as const;
/** One of the values of `URGENCY`; smaller values are admitted first. */
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

/** A request was not sent, because the rate limit did not admit it within its longest wait. */
export class OverloadedError extends GingerlockError {
  override readonly name = 'OverloadedError';
  override readonly code = 'OVERLOADED';

  /**
   * @param writes how many changes the request has
   * @param maxWaitMs longest wait of the request
   */
  constructor(writes: number, maxWaitMs: number) {
    super(`request with ${writes} changes not sent: not admitted by the store's rate limit within ${maxWaitMs} ms`);
  }
}

/** The share of its own limit that a lender keeps, so that the next request of a user does not wait. */
const LENDER_RESERVE = 0.4;

/** The shortest time between two passes over the queue, in seconds. */
const MIN_PAUSE_S = 0.002;

/** A request that waits to be admitted. */
interface QueuedRequest {
  readonly urgency: Urgency;
  readonly writes: number;
  readonly maxWaitMs: number;
  /** When the request is refused, in milliseconds of the steady clock. */
  readonly deadline: number;
  readonly admit: () => void;
  readonly refuse: (error: Error) => void;
}

function totalWrites(requests: readonly QueuedRequest[]): number {
  return requests.reduce((sum, { writes }) => sum + writes, 0);
}

/**
 * This controller's share of the key-value store's limits: two token buckets, one of requests and one of changes, each
 * with a capacity of one second. All controllers together stay within the limits because each stays within its share.
 */
export class RateLimiter {
  #availableRequests: number;
  #availableWrites: number;
  #refilledAt: number;
  /** In the order of admission: by urgency, then by arrival. */
  #queue: QueuedRequest[] = [];
  #cancelTimer: (() => void) | null = null;

  constructor(
    readonly clock: Clock,
    readonly requestsPerS: number,
    readonly writesPerS: number,
  ) {
    // The previous process of this controller may have used the burst just before it ended.
    this.#availableRequests = requestsPerS / 2;
    this.#availableWrites = writesPerS / 2;
    this.#refilledAt = clock.now();
  }

  /**
   * Resolves when a request with `writes` changes may be sent; rejects with an `OverloadedError` after `maxWaitMs`.
   */
  acquire(urgency: Urgency, writes: number, maxWaitMs: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const deadline = this.clock.now() + maxWaitMs;
      const entry: QueuedRequest = { urgency, writes, maxWaitMs, deadline, admit: resolve, refuse: reject };
      let position = this.#queue.length;
      while (position > 0 && this.#queue[position - 1]!.urgency > urgency) position--;
      this.#queue.splice(position, 0, entry);
      this.#processQueue();
    });
  }

  /** An estimate of how long a request of this urgency with one change would wait now, in milliseconds. */
  waitMs(urgency: Urgency): number {
    this.#refill();
    const ahead = this.#queue.filter((queued) => queued.urgency <= urgency);
    return Math.max(
      0,
      ((totalWrites(ahead) + 1 - this.#availableWrites) / this.writesPerS) * 1000,
      ((ahead.length + 1 - this.#availableRequests) / this.requestsPerS) * 1000,
    );
  }

  #refill(): void {
    const now = this.clock.now();
    const elapsedS = (now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    this.#availableRequests = Math.min(this.requestsPerS, this.#availableRequests + elapsedS * this.requestsPerS);
    // Changes lent by peers may exceed this controller's own share, and must not be cut off.
    if (this.#availableWrites < this.writesPerS) {
      this.#availableWrites = Math.min(this.writesPerS, this.#availableWrites + elapsedS * this.writesPerS);
    }
  }

  /** The unused share of the changes that may be sent at once, from 0 to 1; 0 while requests are queued. */
  spareWriteShare(): number {
    this.#refill();
    return this.#queue.length > 0 ? 0 : Math.max(0, this.#availableWrites / this.writesPerS);
  }

  /** How many changes are queued beyond what may be sent now. */
  missingWrites(): number {
    if (this.#queue.length === 0) return 0;
    this.#refill();
    return Math.ceil(Math.max(0, totalWrites(this.#queue) - this.#availableWrites));
  }

  /**
   * Takes up to `requestedWrites` out of this controller's limit for a peer that needs more; returns how many. They are
   * taken out before the peer learns of them, so all controllers together never exceed the store's limit. If the
   * message to the peer is lost, nobody uses them.
   */
  lend(requestedWrites: number): number {
    this.#refill();
    if (this.#queue.some(({ writes }) => writes > 0)) return 0;
    const spare = Math.floor(this.#availableWrites - this.writesPerS * LENDER_RESERVE);
    const lent = Math.min(requestedWrites, spare);
    if (lent <= 0) return 0;
    this.#availableWrites -= lent;
    return lent;
  }

  /** Adds changes that a peer has lent. */
  borrow(writes: number): void {
    this.#refill();
    this.#availableWrites += writes;
    this.#processQueue();
  }

  /** Refuses requests past their deadline, admits those that may be sent now, and sets a timer for the next one. */
  #processQueue(): void {
    this.#refill();
    this.#refuseExpired();
    this.#admit();
    this.#cancelTimer?.();
    this.#cancelTimer = null;
    const next = this.#queue[0];
    if (next === undefined) return;
    this.#cancelTimer = this.clock.after(this.#pauseS(next) * 1000, () => {
      this.#cancelTimer = null;
      this.#processQueue();
    });
  }

  #refuseExpired(): void {
    const now = this.clock.now();
    this.#queue = this.#queue.filter(({ deadline, writes, maxWaitMs, refuse }) => {
      if (deadline >= now) return true;
      refuse(new OverloadedError(writes, maxWaitMs));
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

  /** A transaction larger than the bucket is admitted when the bucket is full, and makes its level negative. */
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
