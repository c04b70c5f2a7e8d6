// Real time for stand-ins and controllers.
import type { Clock } from '@gingerlock/clients';
import { type Scheduler, seeded } from '../simulation/sim';

/** Real time and seeded random numbers for stand-ins. */
export class RealTime implements Scheduler {
  readonly random: () => number;
  readonly #startedAt = performance.now();
  readonly #timers = new Set<NodeJS.Timeout>();
  #isStopped = false;

  constructor(seed: number) {
    this.random = seeded(seed);
  }

  /** Milliseconds since construction. */
  get now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Runs a function once after `ms` milliseconds unless `stop` is called first; returns a function that cancels it. */
  after(ms: number, run: () => void): () => void {
    if (this.#isStopped) return () => undefined;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      run();
    }, ms);
    this.#timers.add(timer);
    return () => {
      clearTimeout(timer);
      this.#timers.delete(timer);
    };
  }

  /** Cancels all pending timers; functions scheduled later do not run either. */
  stop(): void {
    this.#isStopped = true;
    for (const timer of this.#timers) clearTimeout(timer);
  }
}

/** The real clock of a controller, equivalent to the daemon's. */
export const realClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  random: () => Math.random(),
};
