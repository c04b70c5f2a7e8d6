import { ATTEMPTS_PER_TERM, type ClusterConfig, type SpareCapacity } from '@gingerlock/core';
import { type Clock, type Http, type WatchCache, sleep, type KeyValueStore, type Urgency } from '@gingerlock/clients';
import type { Change, Condition } from '@gingerlock/wire';
import type { Log } from './log';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';
import { TransactionSizeLimit } from '../state/transaction-size-limit';

/** DESIGN's recovery scan: every 5 seconds. */
const SCAN_MS = 5000;

/** How often a controller looks at everything, in parts of a report interval. */
const TICKS_PER_REPORT = 15;

/** What users are shown of a job that is not over may lag by this much, says the protocol. */
export const DISPLAY_LAG_MS = 3000;

/** Bounds that stand for other reasons than the settings; tests make them small. */
export interface ControllerLimits {
  /** How many tasks an owner may start under one term. */
  readonly attemptsPerTerm: number;
}

const LIMITS: ControllerLimits = { attemptsPerTerm: ATTEMPTS_PER_TERM };

/** How large a value is as the state service counts it. Attempts of late terms are bigints, for the codec. */
export function jsonBytes(value: unknown): number {
  try {
    return Buffer.byteLength(JSON.stringify(value));
  } catch {
    const text = JSON.stringify(value, (_key, part: unknown) => (typeof part === 'bigint' ? Number(part) : part));
    return Buffer.byteLength(text);
  }
}

/** What the parts of one controller have in common. */
export class ControllerContext {
  readonly clusterConfig: ClusterConfig;
  readonly limits: ControllerLimits;
  readonly scanMs = SCAN_MS;
  /** Time between two ticks of a controller. */
  readonly tickMs: number;
  /** Until when our state lease surely lasts, by our own clock. */
  leaseUntil = -Infinity;
  /** Since when we have it. What is read later shows whether our holds ended with the one before. */
  leaseSince = -Infinity;
  /** Tells the other controllers that something has changed. */
  announce: (revision: number) => void = () => undefined;
  /** Tells the other controllers that a user is being told that the job is cancelled. */
  announceCancelled: (job: string) => void = () => undefined;
  /** Free room on ordinary machines of all other parts, as their owners told of it last. */
  spareCapacity: (exceptPartitionId: number) => SpareCapacity[] = () => [];

  constructor(
    readonly settings: Settings,
    readonly clock: Clock,
    readonly log: Log,
    readonly keyValueStore: KeyValueStore,
    readonly watchCache: WatchCache,
    readonly clusterState: ClusterState,
    readonly http: Http,
    limits: Partial<ControllerLimits> = {},
  ) {
    this.limits = { ...LIMITS, ...limits };
    this.clusterConfig = settings.clusterConfig;
    this.tickMs = settings.clusterConfig.heartbeatIntervalMs / TICKS_PER_REPORT;
  }

  leaseValid(): boolean {
    return this.clock.now() < this.leaseUntil;
  }

  /** Whether the state service will take a value, by the smallest limit that it may have. */
  fitsValue(value: unknown): boolean {
    return jsonBytes(value) <= this.settings.valueBytes;
  }

  /** Counts what a transaction holds against what the state service takes at once. */
  transactionSizeLimit(): TransactionSizeLimit {
    return new TransactionSizeLimit(this.settings.txnOps);
  }

  /** The replica is complete and was read lately. */
  fresh(): boolean {
    const { loaded, lastContactAt } = this.watchCache;
    return (
      loaded && lastContactAt !== null && this.clock.now() - lastContactAt < this.clusterConfig.heartbeatIntervalMs * 2
    );
  }

  async #caughtUp(): Promise<boolean> {
    try {
      await this.watchCache.linearizableRead();
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Carries out a transaction until its outcome is known, repeating the very same one: its conditions can hold only
   * once. Returns the revision it was done at, or 0 if it was not; the replica is at or past the outcome then.
   */
  async commitWithRetry(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    isStillWanted: () => boolean,
  ): Promise<number> {
    for (
      let pause = this.clusterConfig.heartbeatIntervalMs / 20;
      ;
      pause = Math.min(pause * 2, this.clusterConfig.heartbeatIntervalMs)
    ) {
      const result = await this.keyValueStore.compareAndSwap(urgency, conditions, changes);
      if (result.kind === 'done') {
        this.watchCache.applyOwn(changes, result.revision);
        this.announce(result.revision);
        return result.revision;
      }
      if (result.kind === 'conflict' || result.kind === 'no lease') {
        // It may conflict with its own first try, whose answer was lost: nothing is decided anew before that is seen. A task
        // that was given back without its part's knowing could be started there and by the next part.
        while (!(await this.#caughtUp())) {
          await sleep(this.clock, pause);
          if (!isStillWanted()) return 0;
        }
        return 0;
      }
      if (result.kind === 'invalid') {
        this.log.error(
          { keys: changes.map((c) => ('put' in c ? c.put : c.remove)) },
          'transaction rejected permanently',
        );
        return 0;
      }
      this.log.debug({ kind: result.kind, why: result.why }, 'transaction will be retried');
      await sleep(this.clock, pause);
      if (!isStillWanted()) return 0;
    }
  }
}
