// Times the calculations that a controller makes without a pause, so that the log can name the one that stalled it.
import type { Clock } from '@gingerlock/clients';

/** A calculation without a pause. Callers pass one of these names; the log shows it. */
export type WorkName =
  'assignment' | 'changes of the store' | 'fleet plan' | 'heartbeat' | 'partition owner' | 'peer message' | 'status';

/** A calculation and how long it took, in milliseconds. */
export interface TimedWork {
  readonly name: WorkName;
  readonly durationMs: number;
}

/** Remembers the longest calculation since it was last asked. */
export class WorkTimer {
  #longest: TimedWork | null = null;

  constructor(readonly clock: Pick<Clock, 'now'>) {}

  /** Runs a synchronous calculation and returns its result. */
  run<Result>(name: WorkName, work: () => Result): Result {
    const startedAt = this.clock.now();
    try {
      return work();
    } finally {
      const durationMs = this.clock.now() - startedAt;
      if (this.#longest === null || durationMs > this.#longest.durationMs) this.#longest = { name, durationMs };
    }
  }

  /** Returns the longest calculation since the last call of this method; null if there was none. */
  takeLongest(): TimedWork | null {
    const longest = this.#longest;
    this.#longest = null;
    return longest;
  }
}
