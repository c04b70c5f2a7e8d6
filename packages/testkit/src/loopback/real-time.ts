// Real time, for stand-ins and for controllers.
import type { Clock } from '@gingerlock/clients';
import { type Scheduler, seeded } from '../simulation/sim';

/** The time of the machine and seeded chance, for stand-ins. */
export class RealTime implements Scheduler {
  readonly random: () => number;
  readonly #startedAt = performance.now();
  readonly #timers = new Set<NodeJS.Timeout>();
  #isStopped = false;

  constructor(seed: number) {
    this.random = seeded(seed);
  }

  /** Milliseconds since the construction. */
  get now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Runs it later; returns what cancels it. After `stop` nothing runs any more. */
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

  /** Gives up all that is still to run, and all that is scheduled from now on. */
  stop(): void {
    this.#isStopped = true;
    for (const timer of this.#timers) clearTimeout(timer);
  }
}

/** The clock of a controller, as the daemon has it. */
export const realClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  random: () => Math.random(),
};
