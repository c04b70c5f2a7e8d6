// Keeps this controller's lease in the key-value store. Hold records are attached to it: when it expires, the store
// removes them.
import { type Clock, type KeyValueStore, sleep } from '@gingerlock/clients';
import { type ClusterConfig, MAX_CLOCK_DRIFT, storeLeaseMs, timerMarginMs } from '@gingerlock/core';
import type { Log } from './log';

/** The lease is renewed this many times within its time to live. */
const RENEWALS_PER_TTL = 4;

/** Read access to the state of the store lease. */
export interface StoreLease {
  /** The store's id of the lease, valid or not; null if none was granted or the last one has expired. */
  readonly id: number | null;
  /**
   * When the lease was granted, by the steady clock. Only reads after this time show which holds ended with the
   * previous lease.
   */
  readonly grantedAt: number;
  /** Whether the lease is certain not to have expired yet. */
  isValid(): boolean;
}

/** The dependencies of `StoreLeaseKeeper`. */
export interface StoreLeaseKeeperOptions {
  readonly clusterConfig: ClusterConfig;
  readonly clock: Clock;
  readonly keyValueStore: KeyValueStore;
  readonly log: Log;
}

/** Obtains the lease, renews it until stopped, and replaces it after an expiry. */
export class StoreLeaseKeeper implements StoreLease {
  #id: number | null = null;
  #grantedAt = -Infinity;
  /** Until when the lease is certain not to expire, by the steady clock. */
  #validUntil = -Infinity;
  #stopped = false;

  constructor(readonly options: StoreLeaseKeeperOptions) {}

  get id(): number | null {
    return this.#id;
  }

  get grantedAt(): number {
    return this.#grantedAt;
  }

  isValid(): boolean {
    return this.options.clock.now() < this.#validUntil;
  }

  /** Starts obtaining and renewing the lease. */
  start(): void {
    void this.#renewUntilStopped();
  }

  /** Stops the renewals and leaves the lease to expire. */
  stop(): void {
    this.#stopped = true;
  }

  async #renewUntilStopped(): Promise<void> {
    const { clusterConfig, clock, keyValueStore, log } = this.options;
    const ttlMs = storeLeaseMs(clusterConfig);
    while (!this.#stopped) {
      const sentAt = clock.now();
      try {
        if (this.#id === null) {
          this.#id = await keyValueStore.grantLease(ttlMs);
          this.#grantedAt = clock.now();
        } else if (!(await keyValueStore.renewLease(this.#id))) {
          this.#expired(this.#id);
          continue;
        }
        // Counted from when the request was sent, since the store may have started the lease then.
        this.#validUntil = sentAt + ttlMs * (1 - MAX_CLOCK_DRIFT) - timerMarginMs(clusterConfig) / 2;
      } catch (error) {
        log.info({ error: String(error) }, 'store lease renewal failed');
      }
      await sleep(clock, Math.max(0, sentAt + ttlMs / RENEWALS_PER_TTL - clock.now()) + 1);
    }
  }

  #expired(lease: number): void {
    this.options.log.info({ lease }, 'store lease expired');
    this.#id = null;
    this.#validUntil = -Infinity;
  }
}
