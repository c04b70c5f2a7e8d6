// A copy of a prefix of the key-value store in memory, kept up by polling the store's changes.
import type { Change, StateEvent } from '@gingerlock/wire';
import type { Clock } from './ports';
import type { KeyValueStore } from './key-value-store';

/**
 * Hears of each change of the copy. `value`: undefined if the key was removed; `version`: the revision of the change.
 */
export type OnChange = (key: string, value: unknown, version: number) => void;

/** What a watch cache works with. */
export interface WatchCacheOptions {
  readonly keyValueStore: KeyValueStore;
  readonly clock: Clock;
  /** All keys that begin with it are copied. */
  readonly prefix: string;
  /** Least time between the beginnings of two reads, in milliseconds. */
  readonly minIntervalMs: number;
  /** Time between the beginnings of two reads when nobody asks for one, in milliseconds. */
  readonly idleIntervalMs: number;
  /** Must not throw: an exception would abort the read and lose the rest of its changes. */
  readonly onChange: OnChange;
  /** A read failed. It is tried again by itself. */
  readonly onError: (error: unknown) => void;
}

/** A caller of `linearizableRead` who waits for a read that has not begun yet. */
interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/**
 * What it guarantees:
 * - The copy has all changes up to `revision`. Of later ones it may have some: those of `applyOwn`.
 * - For each key changes are applied in the order of their versions; an older one that comes late is ignored.
 * - After `linearizableRead` the copy has every change that was carried out before the call, by whichever controller.
 * - `onChange` is called within the call that changes the copy, before anything else sees the new state.
 */
export class WatchCache {
  /** All changes up to here are in the copy. */
  revision = 0;
  /** Whether the copy is complete. False at first, and again when changes were missed until all has been read anew. */
  loaded = false;
  /** When the last successful read began, by the steady clock; null: there was none. */
  lastContactAt: number | null = null;
  /** Reads that failed since the last successful one. */
  failures = 0;
  /** Of the keys that exist. */
  readonly #versionsByKey = new Map<string, number>();
  /** Own removals that no read has confirmed yet: a read under way may still bring the key's earlier state. */
  readonly #removalVersionsByKey = new Map<string, number>();
  #waiters: Waiter[] = [];
  #hintedRevision = 0;
  #isReading = false;
  #readStartedAt = -Infinity;
  #cancelTimer: (() => void) | null = null;
  #stopped = false;
  #onSync: () => void = () => undefined;

  constructor(readonly options: WatchCacheOptions) {}

  /** The revision of the key's last change in the copy; 0: there is no such key. */
  version(key: string): number {
    return this.#versionsByKey.get(key) ?? 0;
  }

  /** Begins to read until stopped. `onSync` is called after every successful read, once the copy has all of it. */
  start(onSync: () => void = () => undefined): void {
    this.#onSync = onSync;
    this.#schedule();
  }

  /** Begins no more reads. Those who wait for one are not answered. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  /**
   * Resolves after a read that began after this call; rejects if that read fails, or one under way at the call does.
   */
  linearizableRead(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#waiters.push({ resolve, reject });
      this.#schedule();
    });
  }

  /** Something has changed up to this revision: it is read soon. */
  hint(revision: number): void {
    if (revision <= this.revision || revision <= this.#hintedRevision) return;
    this.#hintedRevision = revision;
    this.#schedule();
  }

  /**
   * Applies changes that this controller has made itself at the revision, ahead of reading them. If the copy is past
   * that revision already, they are left alone: a key that was removed since would come back for ever.
   */
  applyOwn(changes: readonly Change[], revision: number): void {
    if (revision <= this.revision) return;
    for (const change of changes) {
      if ('put' in change) this.#apply(change.put, change.value, revision);
      else {
        this.#removalVersionsByKey.set(change.remove, revision);
        this.#apply(change.remove, undefined, revision);
      }
    }
  }

  #apply(key: string, value: unknown, version: number): void {
    if (version < this.version(key) || version < (this.#removalVersionsByKey.get(key) ?? 0)) return;
    if (value === undefined) {
      if (!this.#versionsByKey.has(key)) return;
      this.#versionsByKey.delete(key);
    } else {
      if (this.#versionsByKey.get(key) === version) return;
      this.#versionsByKey.set(key, version);
    }
    this.options.onChange(key, value, version);
  }

  /** Sets the timer of the next read, in place of the one that was set. */
  #schedule(): void {
    if (this.#isReading || this.#stopped) return;
    const { clock, minIntervalMs, idleIntervalMs } = this.options;
    const isReadWanted =
      this.#waiters.length > 0 || this.#hintedRevision > this.revision || (!this.loaded && this.failures === 0);
    // After a failure the store is not asked more often than when idle, however many callers wait.
    const intervalMs = isReadWanted && this.failures === 0 ? minIntervalMs : idleIntervalMs;
    const delayMs = Math.max(0, this.#readStartedAt + intervalMs - clock.now());
    this.#cancelTimer?.();
    this.#cancelTimer = clock.after(delayMs, () => {
      this.#cancelTimer = null;
      void this.#read();
    });
  }

  async #read(): Promise<void> {
    if (this.#isReading || this.#stopped) return;
    this.#isReading = true;
    const startedAt = this.options.clock.now();
    this.#readStartedAt = startedAt;
    const waiters = this.#waiters;
    this.#waiters = [];
    try {
      if (!this.loaded) await this.#load();
      const followed = await this.options.keyValueStore.follow(this.options.prefix, this.revision);
      if (followed === null) {
        this.loaded = false;
        throw new Error('changes are too old to follow, reading all again');
      }
      this.#applyEvents(followed);
      this.lastContactAt = startedAt;
      this.failures = 0;
      this.#onSync();
      for (const waiter of waiters) waiter.resolve();
    } catch (error) {
      this.failures++;
      this.options.onError(error);
      for (const waiter of [...waiters, ...this.#waiters]) waiter.reject(error);
      this.#waiters = [];
    } finally {
      this.#isReading = false;
      this.#schedule();
    }
  }

  #applyEvents({ events, revision }: { readonly events: readonly StateEvent[]; readonly revision: number }): void {
    // The protocol promises no order: a key that was set and then removed would come back if the removal stood first.
    const inOrder = [...events].sort((a, b) => a.version - b.version);
    for (const { key, value, version } of inOrder) this.#apply(key, value, version);
    this.revision = Math.max(this.revision, revision);
    for (const [key, version] of this.#removalVersionsByKey)
      if (version <= this.revision) this.#removalVersionsByKey.delete(key);
  }

  /** Reads all keys, and removes from the copy those that are gone. */
  async #load(): Promise<void> {
    const { items, revision } = await this.options.keyValueStore.list(this.options.prefix);
    const listedKeys = new Set(items.map((item) => item.key));
    for (const [key, version] of [...this.#versionsByKey]) {
      if (!listedKeys.has(key) && version <= revision) this.#apply(key, undefined, revision);
    }
    for (const { key, value, version } of items) this.#apply(key, value, version);
    this.revision = Math.max(this.revision, revision);
    this.loaded = true;
  }
}
