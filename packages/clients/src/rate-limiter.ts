import type { Clock } from './ports';

/** Most urgent first. */
export const URGENCY = { renew: 0, cancel: 1, accept: 2, assign: 3, finish: 4, rest: 5 } as const;
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

export class OverloadedError extends Error {
  constructor() {
    super('request budget is used up');
    this.name = 'OverloadedError';
  }
}

/** Of its own share a lender keeps this much at hand, so that a user's next job or cancellation need not wait. */
const LENDER_RESERVE = 0.4;

interface Waiting {
  readonly urgency: Urgency;
  readonly writes: number;
  readonly until: number;
  readonly go: () => void;
  readonly refuse: (error: Error) => void;
}

/**
 * This controller's share of the state service's limits: two token buckets, one of requests and one of changes. All
 * controllers together stay below the limits because each keeps to its share.
 */
export class RateLimiter {
  #requests: number;
  #writes: number;
  #filledAt: number;
  #queue: Waiting[] = [];
  #cancelTimer: (() => void) | null = null;

  constructor(
    readonly clock: Clock,
    readonly requestsPerS: number,
    readonly writesPerS: number,
  ) {
    // An earlier process may just have spent the burst.
    this.#requests = requestsPerS / 2;
    this.#writes = writesPerS / 2;
    this.#filledAt = clock.now();
  }

  /** Waits for the right to send a request with so many changes; gives up with `Overloaded` after `patienceMs`. */
  acquire(urgency: Urgency, writes: number, patienceMs: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const until = this.clock.now() + patienceMs;
      const entry: Waiting = { urgency, writes, until, go: resolve, refuse: reject };
      let at = this.#queue.length;
      while (at > 0 && this.#queue[at - 1]!.urgency > urgency) at--;
      this.#queue.splice(at, 0, entry);
      this.#pump();
    });
  }

  /** How long a request of this urgency would wait now, about. */
  waitMs(urgency: Urgency): number {
    this.#fill();
    const ahead = this.#queue.filter((w) => w.urgency <= urgency);
    const writes = ahead.reduce((sum, w) => sum + w.writes, 1);
    return Math.max(
      0,
      ((writes - this.#writes) / this.writesPerS) * 1000,
      ((ahead.length + 1 - this.#requests) / this.requestsPerS) * 1000,
    );
  }

  #fill(): void {
    const now = this.clock.now();
    const s = (now - this.#filledAt) / 1000;
    this.#filledAt = now;
    this.#requests = Math.min(this.requestsPerS, this.#requests + s * this.requestsPerS);
    // What others have lent may stand above our own share.
    if (this.#writes < this.writesPerS) {
      this.#writes = Math.min(this.writesPerS, this.#writes + s * this.writesPerS);
    }
  }

  /** Share of the changes that may go at once which is still unused; 0 while others wait for their turn. */
  spareWriteShare(): number {
    this.#fill();
    return this.#queue.length > 0 ? 0 : Math.max(0, this.#writes / this.writesPerS);
  }

  /** How many changes wait for their turn beyond what may go now. */
  missingWrites(): number {
    if (this.#queue.length === 0) return 0;
    this.#fill();
    return Math.ceil(Math.max(0, this.#queue.reduce((sum, w) => sum + w.writes, 0) - this.#writes));
  }

  /**
   * Gives up part of our room for changes to a controller that is short of it; returns how much. It is taken out here
   * before it is told, so all together never have more than the service allows: if the message is lost, it lapses.
   */
  lend(wanted: number): number {
    this.#fill();
    if (this.#queue.some((w) => w.writes > 0)) return 0;
    const spare = Math.min(wanted, Math.floor(this.#writes - this.writesPerS * LENDER_RESERVE));
    if (spare <= 0) return 0;
    this.#writes -= spare;
    return spare;
  }

  borrow(writes: number): void {
    this.#fill();
    this.#writes += writes;
    this.#pump();
  }

  #pump(): void {
    this.#fill();
    const now = this.clock.now();
    this.#queue = this.#queue.filter((w) => {
      if (w.until >= now) return true;
      w.refuse(new OverloadedError());
      return false;
    });
    for (;;) {
      const next = this.#queue[0];
      // A transaction larger than the bucket goes when the bucket is full, and leaves it in debt.
      if (next === undefined) break;
      if (this.#requests < 1 || this.#writes < Math.min(next.writes, this.writesPerS)) break;
      this.#queue.shift();
      this.#requests -= 1;
      this.#writes -= next.writes;
      next.go();
    }
    this.#cancelTimer?.();
    this.#cancelTimer = null;
    const next = this.#queue[0];
    if (next === undefined) return;
    const wait = Math.max(
      (1 - this.#requests) / this.requestsPerS,
      (Math.min(next.writes, this.writesPerS) - this.#writes) / this.writesPerS,
      0.002,
    );
    this.#cancelTimer = this.clock.after(wait * 1000, () => {
      this.#cancelTimer = null;
      this.#pump();
    });
  }
}
