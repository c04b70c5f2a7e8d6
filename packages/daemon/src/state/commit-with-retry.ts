// Compare-and-swap that is retried until its outcome is known.
import { type Clock, type KeyValueStore, sleep, type Urgency, type WatchCache } from '@gingerlock/clients';
import type { Change, Condition } from '@gingerlock/wire';
import type { Log } from '../controller/log';

/**
 * The first pause between two attempts is a heartbeat interval divided by this. Pauses double up to a whole interval.
 */
const FIRST_PAUSE_DIVISOR = 20;

/** Notified of each transaction of this controller that was carried out. */
export interface CommitListener {
  /** `revision`: the store's revision at which the changes were made. */
  committed(revision: number): void;
}

/** Dependencies of `Committer`. */
export interface CommitterOptions {
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
  readonly heartbeatIntervalMs: number;
  readonly listener: CommitListener;
}

/** Carries out transactions on the key-value store and applies those carried out to the watch cache. */
export class Committer {
  constructor(readonly options: CommitterOptions) {}

  /** Applies changes that were carried out at the revision to the watch cache, then notifies the listener. */
  recordCommit(changes: readonly Change[], revision: number): void {
    this.options.watchCache.applyOwn(changes, revision);
    this.options.listener.committed(revision);
  }

  /**
   * Carries out a transaction, retrying it unchanged until its outcome is known. The caller has to choose conditions
   * that can hold only once: then a retry of a transaction that was carried out conflicts instead of being done twice.
   *
   * Returns the revision at which it was carried out. Returns 0 if this call did not carry it out, or abandoned it
   * because `isStillWanted`, called after each pause, returned false. Unless abandoned, the watch cache is then at or
   * past the outcome. A caller that gets 0 must check the cache before it acts: a transaction whose first answer was
   * lost may still have been carried out.
   */
  async commitWithRetry(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    isStillWanted: () => boolean,
  ): Promise<number> {
    const { keyValueStore, clock, log, heartbeatIntervalMs } = this.options;
    for (
      let pauseMs = heartbeatIntervalMs / FIRST_PAUSE_DIVISOR;
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
          // The conflict may be with its own first attempt, whose answer was lost. The caller must not act before the
          // cache shows that: an owner that has returned a task without learning of it could still start the task,
          // which the next partition starts too.
          while (!(await this.#catchUp())) {
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

  /** Reads the store once. Returns false if the read failed. */
  async #catchUp(): Promise<boolean> {
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
