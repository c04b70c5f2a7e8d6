// What the modules of one controller share: settings, clock, log, clients, and the view of the cluster state.
import { ATTEMPTS_PER_TERM, type ClusterConfig, type SpareCapacity } from '@gingerlock/core';
import type { Clock, Http, KeyValueStore, Urgency, WatchCache } from '@gingerlock/clients';
import type { Change, Condition } from '@gingerlock/wire';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';
import { Committer } from '../state/commit-with-retry';
import { TransactionSizeLimit } from '../state/transaction-size-limit';
import type { Announcements } from './announcements';
import type { Log } from './log';
import { RefusalLog } from './refusal-log';
import type { StoreLease } from './store-lease-keeper';
import type { WorkTimer } from './work-timer';

/** Time between two recovery scans of an owner, in milliseconds. Source: DESIGN. */
const RECOVERY_SCAN_INTERVAL_MS = 5000;

/** Ticks of a controller in one heartbeat interval. */
const TICKS_PER_HEARTBEAT_INTERVAL = 15;

/** The watch cache is fresh if its last read began less than this many heartbeat intervals ago. */
const FRESH_INTERVALS = 2;

/** Maximum lag of the state that users see of a job that has not ended, in milliseconds. Source: PROTOCOL. */
export const DISPLAY_LAG_MS = 3000;

/** Limits that are not derived from the settings; tests lower them. */
export interface ControllerLimits {
  /** How many tasks an owner may start under one term. */
  readonly attemptsPerTerm: number;
}

const DEFAULT_LIMITS: ControllerLimits = { attemptsPerTerm: ATTEMPTS_PER_TERM };

/** Size of a value in the key-value store, in bytes. Attempt numbers of late terms are bigints, which JSON lacks. */
export function jsonBytes(value: unknown): number {
  try {
    return Buffer.byteLength(JSON.stringify(value));
  } catch {
    const text = JSON.stringify(value, (_key, field: unknown) => (typeof field === 'bigint' ? Number(field) : field));
    return Buffer.byteLength(text);
  }
}

/** The options of a `ControllerContext`. */
export interface ControllerContextOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly http: Http;
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clusterState: ClusterState;
  readonly storeLease: StoreLease;
  readonly announcements: Announcements;
  readonly workTimer: WorkTimer;
  /** Returns the free capacity on ordinary machines of all other partitions, from their latest statuses. */
  readonly spareCapacity: (exceptPartitionId: number) => SpareCapacity[];
  readonly limits?: Partial<ControllerLimits>;
}

/** Gives the modules of one controller their shared dependencies. It holds no state of its own. */
export class ControllerContext {
  readonly settings: Settings;
  readonly clusterConfig: ClusterConfig;
  readonly clock: Clock;
  readonly log: Log;
  /** Logs messages of peers and workers that can't be decoded. */
  readonly refusals: RefusalLog;
  readonly http: Http;
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clusterState: ClusterState;
  readonly announcements: Announcements;
  readonly workTimer: WorkTimer;
  readonly limits: ControllerLimits;
  /** Time between two recovery scans of an owner. */
  readonly recoveryScanIntervalMs = RECOVERY_SCAN_INTERVAL_MS;
  /** Time between two ticks of a controller. */
  readonly tickMs: number;
  /** See `ControllerContextOptions.spareCapacity`. */
  readonly spareCapacity: (exceptPartitionId: number) => SpareCapacity[];
  readonly #storeLease: StoreLease;
  readonly #committer: Committer;

  constructor(options: ControllerContextOptions) {
    this.settings = options.settings;
    this.clusterConfig = options.settings.clusterConfig;
    this.clock = options.clock;
    this.log = options.log;
    this.refusals = new RefusalLog(options.log, options.clock);
    this.http = options.http;
    this.keyValueStore = options.keyValueStore;
    this.watchCache = options.watchCache;
    this.clusterState = options.clusterState;
    this.announcements = options.announcements;
    this.workTimer = options.workTimer;
    this.spareCapacity = options.spareCapacity;
    this.limits = { ...DEFAULT_LIMITS, ...options.limits };
    const { heartbeatIntervalMs } = this.clusterConfig;
    this.tickMs = heartbeatIntervalMs / TICKS_PER_HEARTBEAT_INTERVAL;
    this.#storeLease = options.storeLease;
    this.#committer = new Committer({ ...options, heartbeatIntervalMs, listener: options.announcements });
  }

  /** See `StoreLease.id`. */
  get leaseId(): number | null {
    return this.#storeLease.id;
  }

  /** See `StoreLease.grantedAt`. */
  get leaseGrantedAt(): number {
    return this.#storeLease.grantedAt;
  }

  /** See `StoreLease.isValid`. */
  isLeaseValid(): boolean {
    return this.#storeLease.isValid();
  }

  /** Whether the value is within the smallest size limit that the key-value store may have. */
  fitsValue(value: unknown): boolean {
    return jsonBytes(value) <= this.settings.valueBytes;
  }

  /** Creates a counter for the operations of one transaction, limited to what the key-value store accepts. */
  transactionSizeLimit(): TransactionSizeLimit {
    return new TransactionSizeLimit(this.settings.maxTransactionOps);
  }

  /** Whether the watch cache is loaded and its last read is recent. */
  isFresh(): boolean {
    const { loaded, lastContactAt } = this.watchCache;
    if (!loaded || lastContactAt === null) return false;
    return this.clock.now() - lastContactAt < this.clusterConfig.heartbeatIntervalMs * FRESH_INTERVALS;
  }

  /** See `Committer.recordCommit`. */
  recordCommit(changes: readonly Change[], revision: number): void {
    this.#committer.recordCommit(changes, revision);
  }

  /** See `Committer.commitWithRetry`. */
  commitWithRetry(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    isStillWanted: () => boolean,
  ): Promise<number> {
    return this.#committer.commitWithRetry(urgency, conditions, changes, isStillWanted);
  }
}
