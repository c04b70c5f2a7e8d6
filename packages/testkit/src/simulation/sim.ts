// Simulated time and seeded random numbers.
import type { Clock } from '@gingerlock/clients';

/** Returns a generator (mulberry32) of numbers from 0 to below 1; the same seed gives the same scenario. */
export function seeded(seed: number): () => number {
  let a = seed >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = Math.imul(a ^ (a >>> 15), a | 1);
    t = (t + Math.imul(t ^ (t >>> 7), t | 61)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Time and random numbers for stand-ins, simulated or real. */
export interface Scheduler {
  /** The current time, in milliseconds. */
  readonly now: number;
  readonly random: () => number;
  /** Runs a function once after `ms` milliseconds; returns a function that cancels it. */
  after(ms: number, run: () => void): () => void;
}

/** Simulated time. Events run in order of their times; pending promises settle between two events. */
export class Sim implements Scheduler {
  now = 0;
  readonly random: () => number;
  readonly #heap: Event[] = [];
  #order = 0;

  constructor(seed: number) {
    this.random = seeded(seed);
  }

  after(ms: number, run: () => void): () => void {
    const event: Event = { at: this.now + Math.max(0, ms), order: this.#order++, run, cancelled: false };
    const heap = this.#heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!before(event, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = event;
    return () => {
      event.cancelled = true;
    };
  }

  #pop(): Event | undefined {
    const heap = this.#heap;
    const top = heap[0];
    const last = heap.pop();
    if (top === undefined || last === undefined || heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) child++;
      if (!before(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }

  /** Runs all events up to the time `until`, and advances the time to it. */
  async run(until: number): Promise<void> {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const event = this.#pop()!;
      if (event.cancelled) continue;
      this.now = event.at;
      event.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.now = until;
  }

  /** Creates the clock of a process, with a rate error and a wall clock offset; its timers end with the process. */
  clock(
    drift: number,
    wallClockOffsetMs: () => number,
    isAlive: () => boolean,
    on: (run: () => void) => void = (run) => run(),
  ): Clock {
    const start = this.now;
    return {
      now: () => (this.now - start) * (1 + drift),
      wallNow: () => 1_700_000_000_000 + this.now + wallClockOffsetMs(),
      after: (ms, callback) => {
        let isCancelled = false;
        const cancel = this.after(ms / (1 + drift), () =>
          on(() => {
            if (!isCancelled && isAlive()) callback();
          }),
        );
        return () => {
          isCancelled = true;
          cancel();
        };
      },
      random: this.random,
    };
  }
}

function before(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
