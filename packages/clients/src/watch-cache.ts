// An in-memory copy of the keys below a prefix of the key-value store, updated by polling the store's changes.
import type { Change, StateEvent, StateItem } from '@gingerlock/wire';
import type { Clock } from './ports';
import type { KeyValueStore } from './key-value-store';

/**
 * Called for each change of the copy. `value`: undefined if the key was removed; `version`: the revision of the change.
 */
export type OnChange = (key: string, value: unknown, version: number) => void;

/** Dependencies and settings of a `WatchCache`. */
export interface WatchCacheOptions {
  readonly keyValueStore: KeyValueStore;
  readonly clock: Clock;
  /** All keys that begin with this prefix are copied. */
  readonly prefix: string;
  /** Shortest time between the starts of two reads, in milliseconds. */
  readonly minIntervalMs: number;
  /** Time between the starts of two reads when no read is requested, in milliseconds. */
  readonly idleIntervalMs: number;
  /**
   * Called with a function that applies all changes of one read or commit, which it has to call once; `onChange` is
   * called for each of them meanwhile.
   */
  readonly applyChanges?: (apply: () => void) => void;
  /** Must not throw: an exception would abort the read and lose the rest of its changes. */
  readonly onChange: OnChange;
  /** Called when a read failed. The watch cache retries by itself. */
  readonly onError: (error: unknown) => void;
}

/** A caller of `linearizableRead` who waits for a read that has not begun yet. */
interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/**
 * A copy of a prefix of the key-value store, with these guarantees:
 * - The copy has all changes up to `revision`. It may have later ones, such as those of `applyOwn`.
 * - Changes of a key are applied in the order of their versions; an older one that arrives late is ignored.
 * - After `linearizableRead` the copy has every change that any controller made before the call.
 * - `onChange` is called within the call that changes the copy, before other code sees the new state.
 */
export class WatchCache {
  /** The copy has all changes up to this revision. */
  revision = 0;
  /** Whether the copy is complete. False until the first full read, and after missed changes until the next one. */
  loaded = false;
  /** When the last successful read began, by the steady clock; null before the first one. */
  lastContactAt: number | null = null;
  /** Number of failed reads since the last successful one. */
  failures = 0;
  /** Revision of the last change of each existing key. */
  readonly #versionsByKey = new Map<string, number>();
  /** Own removals that no read has confirmed yet: a read under way may still return the removed key. */
  readonly #removalVersionsByKey = new Map<string, number>();
  #waiters: Waiter[] = [];
  #hintedRevision = 0;
  #isReading = false;
  #readStartedAt = -Infinity;
  #cancelTimer: (() => void) | null = null;
  #stopped = false;
  #onSync: () => void = () => undefined;

  constructor(readonly options: WatchCacheOptions) {}

  /** The revision of the key's last change in the copy; 0 if the copy has no such key. */
  version(key: string): number {
    return this.#versionsByKey.get(key) ?? 0;
  }

  /** Starts reading until stopped. `onSync` is called after every successful read, once its changes are applied. */
  start(onSync: () => void = () => undefined): void {
    this.#onSync = onSync;
    this.#schedule();
  }

  /** Starts no more reads. Callers of `linearizableRead` that wait for the next one get no answer. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  /**
   * Resolves after a read that began after this call. Rejects if that read, or one under way at the call, fails.
   */
  linearizableRead(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#waiters.push({ resolve, reject });
      this.#schedule();
    });
  }

  /** Schedules a read, because the store has changes up to this revision. */
  hint(revision: number): void {
    if (revision <= this.revision || revision <= this.#hintedRevision) return;
    this.#hintedRevision = revision;
    this.#schedule();
  }

  /**
   * Applies changes that this controller committed at `revision`, before a read returns them. Ignores them if the copy
   * has reached that revision already: otherwise a key that was removed later would reappear and stay.
   */
  applyOwn(changes: readonly Change[], revision: number): void {
    if (revision <= this.revision) return;
    this.#applyTogether(() => {
      for (const change of changes) {
        if ('put' in change) this.#apply(change.put, change.value, revision);
        else {
          this.#removalVersionsByKey.set(change.remove, revision);
          this.#apply(change.remove, undefined, revision);
        }
      }
    });
  }

  #applyTogether(apply: () => void): void {
    const { applyChanges } = this.options;
    if (applyChanges === undefined) apply();
    else applyChanges(apply);
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

  /** Sets the timer of the next read, and replaces the one set before. */
  #schedule(): void {
    if (this.#isReading || this.#stopped) return;
    const { clock, minIntervalMs, idleIntervalMs } = this.options;
    const isReadWanted =
      this.#waiters.length > 0 || this.#hintedRevision > this.revision || (!this.loaded && this.failures === 0);
    // After a failure reads are no more frequent than when idle, even if callers wait.
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
        throw new Error('the changes since the last read are not available, reading all keys again');
      }
      this.#applyTogether(() => this.#applyEvents(followed));
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
    // The protocol guarantees no order: if the removal of a key came before an older change, the key would reappear.
    const inOrder = [...events].sort((a, b) => a.version - b.version);
    for (const { key, value, version } of inOrder) this.#apply(key, value, version);
    this.revision = Math.max(this.revision, revision);
    for (const [key, version] of this.#removalVersionsByKey)
      if (version <= this.revision) this.#removalVersionsByKey.delete(key);
  }

  /** Reads all keys, and removes from the copy those that no longer exist. */
  async #load(): Promise<void> {
    const { items, revision } = await this.options.keyValueStore.list(this.options.prefix);
    this.#applyTogether(() => this.#applyList(items, revision));
    this.revision = Math.max(this.revision, revision);
    this.loaded = true;
  }

  #applyList(items: readonly StateItem[], revision: number): void {
    const listedKeys = new Set(items.map((item) => item.key));
    for (const [key, version] of [...this.#versionsByKey]) {
      if (!listedKeys.has(key) && version <= revision) this.#apply(key, undefined, revision);
    }
    for (const { key, value, version } of items) this.#apply(key, value, version);
  }
}
