import type { Change } from '@gingerlock/wire';
import type { Clock } from './ports';
import type { KeyValueStore } from './key-value-store';

export type OnChange = (key: string, value: unknown, version: number) => void;

export interface WatchCacheOptions {
  readonly keyValueStore: KeyValueStore;
  readonly clock: Clock;
  readonly prefix: string;
  /** Least time between the beginnings of two reads. */
  readonly minIntervalMs: number;
  /** Time between two reads when nobody asks for one. */
  readonly idleIntervalMs: number;
  readonly onChange: OnChange;
  readonly onError: (error: unknown) => void;
}

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/**
 * A copy of all keys below a prefix, kept up by reads of what has changed since the last one. `barrier` waits for a
 * read that began after the call, so what is answered after it is no older than anything any controller has answered.
 */
export class WatchCache {
  /** All changes up to here are in the copy. */
  revision = 0;
  loaded = false;
  /** When the last successful read began; null: there was none. */
  lastContactAt: number | null = null;
  /** Reads that failed since then. */
  failures = 0;
  readonly #versions = new Map<string, number>();
  /** Removals of our own that the copy is ahead with. */
  readonly #removed = new Map<string, number>();
  #waiters: Waiter[] = [];
  #hintedRevision = 0;
  #reading = false;
  #readStartedAt = -Infinity;
  #cancelTimer: (() => void) | null = null;
  #stopped = false;
  #onSync: () => void = () => undefined;

  constructor(readonly options: WatchCacheOptions) {}

  version(key: string): number {
    return this.#versions.get(key) ?? 0;
  }

  /** Begins to read until stopped. `onSync` is called after every successful read, once the copy has all of it. */
  start(onSync: () => void = () => undefined): void {
    this.#onSync = onSync;
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  linearizableRead(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#waiters.push({ resolve, reject });
      this.#schedule();
    });
  }

  /** Something has changed up to this revision: read it soon. */
  hint(revision: number): void {
    if (revision <= this.revision || revision <= this.#hintedRevision) return;
    this.#hintedRevision = revision;
    this.#schedule();
  }

  /**
   * Takes changes that this controller has made itself, ahead of reading them. Those that have been read already are left
   * alone: the key may have been removed since, and came back for ever.
   */
  applyOwn(changes: readonly Change[], revision: number): void {
    if (revision <= this.revision) return;
    for (const c of changes) {
      if ('put' in c) this.#apply(c.put, c.value, revision);
      else {
        this.#removed.set(c.remove, revision);
        this.#apply(c.remove, undefined, revision);
      }
    }
  }

  #apply(key: string, value: unknown, version: number): void {
    if (version < (this.#versions.get(key) ?? 0) || version < (this.#removed.get(key) ?? 0)) return;
    if (value === undefined) {
      if (!this.#versions.has(key)) return;
      this.#versions.delete(key);
    } else {
      if (this.#versions.get(key) === version) return;
      this.#versions.set(key, version);
    }
    this.options.onChange(key, value, version);
  }

  #schedule(): void {
    if (this.#reading || this.#stopped) return;
    const { clock, minIntervalMs, idleIntervalMs } = this.options;
    const eager =
      this.#waiters.length > 0 || this.#hintedRevision > this.revision || (!this.loaded && this.failures === 0);
    // After a failure a read is tried again in its own time, however many ask.
    const interval = eager && this.failures === 0 ? minIntervalMs : idleIntervalMs;
    const wait = Math.max(0, this.#readStartedAt + interval - clock.now());
    this.#cancelTimer?.();
    this.#cancelTimer = clock.after(wait, () => {
      this.#cancelTimer = null;
      void this.#read();
    });
  }

  async #read(): Promise<void> {
    if (this.#reading || this.#stopped) return;
    this.#reading = true;
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
      // The protocol promises no order: a key that was set and then removed came back if the removal stood first.
      const events = [...followed.events].sort((a, b) => a.version - b.version);
      for (const e of events) this.#apply(e.key, e.value, e.version);
      this.revision = Math.max(this.revision, followed.revision);
      for (const [key, version] of this.#removed) if (version <= this.revision) this.#removed.delete(key);
      this.lastContactAt = startedAt;
      this.failures = 0;
      this.#onSync();
      for (const w of waiters) w.resolve();
    } catch (error) {
      this.failures++;
      this.options.onError(error);
      for (const w of [...waiters, ...this.#waiters]) w.reject(error);
      this.#waiters = [];
    } finally {
      this.#reading = false;
      this.#schedule();
    }
  }

  async #load(): Promise<void> {
    const { items, revision } = await this.options.keyValueStore.list(this.options.prefix);
    const listed = new Set(items.map((i) => i.key));
    for (const [key, version] of [...this.#versions]) {
      if (!listed.has(key) && version <= revision) this.#apply(key, undefined, revision);
    }
    for (const i of items) this.#apply(i.key, i.value, i.version);
    this.revision = Math.max(this.revision, revision);
    this.loaded = true;
  }
}
