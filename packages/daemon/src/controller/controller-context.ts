// What the modules of one controller have in common: settings, clock, log, clients, and the view of the cluster state.
import { ATTEMPTS_PER_TERM, type ClusterConfig, type SpareCapacity } from '@gingerlock/core';
import type { Clock, Http, KeyValueStore, Urgency, WatchCache } from '@gingerlock/clients';
import type { Change, Condition } from '@gingerlock/wire';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';
import { Committer } from '../state/commit-with-retry';
import { TransactionSizeLimit } from '../state/transaction-size-limit';
import type { Announcements } from './announcements';
import type { Log } from './log';
import type { StoreLease } from './store-lease-keeper';

/** Time between two recovery scans of an owner, in milliseconds. Source: DESIGN. */
const SCAN_MS = 5000;

/** Ticks of a controller in one heartbeat interval. */
const TICKS_PER_HEARTBEAT_INTERVAL = 15;

/** The watch cache is fresh if its last read began less than this many heartbeat intervals ago. */
const FRESH_INTERVALS = 2;

/** What users are shown of a job that is not over may lag by this much, in milliseconds. Source: PROTOCOL. */
export const DISPLAY_LAG_MS = 3000;

/** Bounds that have other reasons than the settings; tests make them small. */
export interface ControllerLimits {
  /** How many tasks an owner may start under one term. */
  readonly attemptsPerTerm: number;
}

const LIMITS: ControllerLimits = { attemptsPerTerm: ATTEMPTS_PER_TERM };

/** Bytes of a value as the key-value store counts them. Attempt numbers of late terms are bigints, which JSON lacks. */
export function jsonBytes(value: unknown): number {
  try {
    return Buffer.byteLength(JSON.stringify(value));
  } catch {
    const text = JSON.stringify(value, (_key, field: unknown) => (typeof field === 'bigint' ? Number(field) : field));
    return Buffer.byteLength(text);
  }
}

/** What a context is made of. */
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
  /** Free capacity on ordinary machines of all other partitions, by the latest statuses of their owners. */
  readonly spareCapacity: (exceptPartitionId: number) => SpareCapacity[];
  readonly limits?: Partial<ControllerLimits>;
}

/** Handed to the modules of one controller. It holds no state of its own. */
export class ControllerContext {
  readonly settings: Settings;
  readonly clusterConfig: ClusterConfig;
  readonly clock: Clock;
  readonly log: Log;
  readonly http: Http;
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clusterState: ClusterState;
  readonly announcements: Announcements;
  readonly limits: ControllerLimits;
  /** Time between two recovery scans of an owner. */
  readonly scanMs = SCAN_MS;
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
    this.http = options.http;
    this.keyValueStore = options.keyValueStore;
    this.watchCache = options.watchCache;
    this.clusterState = options.clusterState;
    this.announcements = options.announcements;
    this.spareCapacity = options.spareCapacity;
    this.limits = { ...LIMITS, ...options.limits };
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
  get leaseSince(): number {
    return this.#storeLease.grantedAt;
  }

  /** See `StoreLease.isValid`. */
  leaseValid(): boolean {
    return this.#storeLease.isValid();
  }

  /** Whether the key-value store accepts the value, by the smallest limit that it may have. */
  fitsValue(value: unknown): boolean {
    return jsonBytes(value) <= this.settings.valueBytes;
  }

  /** An empty count of a transaction's entries against what the key-value store accepts at once. */
  transactionSizeLimit(): TransactionSizeLimit {
    return new TransactionSizeLimit(this.settings.maxTransactionOps);
  }

  /** Whether the watch cache is complete and was read lately. */
  fresh(): boolean {
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
