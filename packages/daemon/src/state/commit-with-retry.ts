// Compare-and-swap repeated until its outcome is known.
import { type Clock, type KeyValueStore, sleep, type Urgency, type WatchCache } from '@gingerlock/clients';
import type { Change, Condition } from '@gingerlock/wire';
import type { Log } from '../controller/log';

/** The first pause between two attempts is this fraction of a heartbeat interval. It doubles up to a whole interval. */
const FIRST_PAUSE_INTERVALS = 20;

/** Hears of each transaction of this controller that was carried out. */
export interface CommitListener {
  /** `revision`: the store's revision at which the changes were made. */
  committed(revision: number): void;
}

/** What a committer works with. */
export interface CommitterOptions {
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
  readonly heartbeatIntervalMs: number;
  readonly listener: CommitListener;
}

/** Carries out transactions on the key-value store and enters those that are done into the watch cache. */
export class Committer {
  constructor(readonly options: CommitterOptions) {}

  /** Enters changes that were carried out at the revision into the watch cache, then tells the listener. */
  recordCommit(changes: readonly Change[], revision: number): void {
    this.options.watchCache.applyOwn(changes, revision);
    this.options.listener.committed(revision);
  }

  /**
   * Carries out a transaction, repeating the very same one until its outcome is known. Its conditions must be such that
   * they can hold only once: then a repetition of a transaction that was carried out conflicts instead of being done
   * twice.
   *
   * Returns the revision at which it was done; 0: not by this attempt, or it was abandoned because `isStillWanted`,
   * asked after each pause, said no. Unless abandoned, the watch cache is at or past the outcome then. A caller who
   * gets 0 must decide anew from the cache: a transaction whose first answer was lost may have been carried out all the
   * same.
   */
  async commitWithRetry(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    isStillWanted: () => boolean,
  ): Promise<number> {
    const { keyValueStore, clock, log, heartbeatIntervalMs } = this.options;
    for (
      let pauseMs = heartbeatIntervalMs / FIRST_PAUSE_INTERVALS;
      ;
      pauseMs = Math.min(pauseMs * 2, heartbeatIntervalMs)
    ) {
      const result = await keyValueStore.compareAndSwap(urgency, conditions, changes);
      switch (result.kind) {
        case 'done':
          this.recordCommit(changes, result.revision);
          return result.revision;
        case 'conflict':
        case 'no lease':
          // It may conflict with its own first attempt, whose answer was lost. Nothing may be decided anew before that
          // is seen: a task returned without its partition's knowing could be started there and by the next partition.
          while (!(await this.#caughtUp())) {
            await sleep(clock, pauseMs);
            if (!isStillWanted()) return 0;
          }
          return 0;
        case 'invalid':
          log.error({ keys: changes.map(keyOf) }, 'transaction rejected permanently');
          return 0;
        case 'refused':
        case 'unknown':
          log.debug({ kind: result.kind, why: result.why }, 'transaction will be retried');
          await sleep(clock, pauseMs);
          if (!isStillWanted()) return 0;
      }
    }
  }

  /** Reads the store once; false: the read failed. */
  async #caughtUp(): Promise<boolean> {
    try {
      await this.options.watchCache.linearizableRead();
      return true;
    } catch {
      return false;
    }
  }
}

function keyOf(change: Change): string {
  return 'put' in change ? change.put : change.remove;
}
