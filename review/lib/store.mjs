// A stand-in for the state service: keys, transactions, holds and changes, as PROTOCOL describes them.
import { performance } from 'node:perf_hooks';
import { setInterval } from 'node:timers';
import { listen } from './wire.mjs';

/** Limits of PROTOCOL. */
const PAGE_ITEMS = 1000;
const KEPT_CHANGES = 10_000;

export class Store {
  revision = 0;
  /** By key: data, stamp and permit. */
  #entries = new Map();
  /** All keys in order; null: they have to be sorted anew. */
  #sorted = null;
  #changes = [];
  #droppedRevision = 0;
  #holds = new Map();
  #lastPermit = 0;

  get size() {
    return this.#entries.size;
  }

  async start(port) {
    setInterval(() => this.#endExpiredHolds(), 50).unref();
    await listen(port, (method, url, body) => this.#answer(method, new URL(url, 'http://store'), body));
  }

  /** Stores values as one change, as a transaction does. */
  setAll(pairs) {
    this.revision++;
    for (const [key, data] of pairs) this.#set(key, data, undefined);
  }

  #answer(method, url, body) {
    const path = url.pathname;
    if (method === 'POST' && path === '/txn') return this.#transact(body);
    if (method === 'POST' && path === '/holds') return this.#grant(body.ttl_ms);
    const renewal = /^\/holds\/(\d+)\/renew$/.exec(path);
    if (renewal !== null) return this.#renew(Number(renewal[1]));
    if (method === 'GET' && path === '/kv') return this.#list(url.searchParams);
    if (method === 'GET' && path === '/follow') return this.#follow(url.searchParams);
    return [400, { error: 'malformed' }];
  }

  #transact({ if: conditions, apply }) {
    if (apply.some(({ permit }) => permit !== undefined && !this.#holds.has(permit)))
      return [400, { error: 'no such lease' }];
    const failed = conditions.filter(({ k, stamp }) => (this.#entries.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return [409, { failed, ledger: this.revision }];
    if (apply.length > 0) this.revision++;
    for (const change of apply) {
      if (change.set === undefined) this.#remove(change.remove);
      else this.#set(change.set, change.data, change.permit);
    }
    return [200, { ledger: this.revision }];
  }

  #set(key, data, permit) {
    if (!this.#entries.has(key)) this.#sorted = null;
    this.#entries.set(key, { data, stamp: this.revision, permit });
    this.#note({ set: key, data, stamp: this.revision });
  }

  #remove(key) {
    if (!this.#entries.delete(key)) return;
    this.#sorted = null;
    this.#note({ remove: key, stamp: this.revision });
  }

  #note(change) {
    this.#changes.push(change);
    // Twice as many as are kept, so that the array is not shifted at each change.
    if (this.#changes.length < KEPT_CHANGES * 2) return;
    const dropped = this.#changes.splice(0, this.#changes.length - KEPT_CHANGES);
    this.#droppedRevision = dropped.at(-1).stamp;
  }

  #grant(ttlMs) {
    const permit = ++this.#lastPermit;
    this.#holds.set(permit, { ttlMs, until: performance.now() + ttlMs });
    return [200, { permit }];
  }

  #renew(permit) {
    const hold = this.#holds.get(permit);
    if (hold === undefined) return [404, {}];
    hold.until = performance.now() + hold.ttlMs;
    return [200, {}];
  }

  #endExpiredHolds() {
    for (const [permit, { until }] of this.#holds) {
      if (performance.now() <= until) continue;
      this.#holds.delete(permit);
      const keys = [...this.#entries].filter(([, entry]) => entry.permit === permit).map(([key]) => key);
      if (keys.length > 0) this.revision++;
      for (const key of keys) this.#remove(key);
    }
  }

  #list(params) {
    this.#sorted ??= [...this.#entries.keys()].sort();
    const under = params.get('under') ?? '';
    const first = firstAfter(this.#sorted, params.get('from') ?? '');
    const most = Math.min(PAGE_ITEMS, Number(params.get('most') ?? PAGE_ITEMS));
    const items = [];
    let index = first;
    for (; index < this.#sorted.length && items.length < most; index++) {
      const k = this.#sorted[index];
      if (!k.startsWith(under)) continue;
      const { data, stamp } = this.#entries.get(k);
      items.push({ k, data, stamp });
    }
    return [200, { items, more: index < this.#sorted.length, ledger: this.revision }];
  }

  #follow(params) {
    const from = Number(params.get('from'));
    if (from < this.#droppedRevision) return [410, { ledger: this.revision }];
    const under = params.get('under') ?? '';
    const later = this.#changes.slice(this.#changes.findLastIndex(({ stamp }) => stamp <= from) + 1);
    const events = later.filter((change) => (change.set ?? change.remove).startsWith(under));
    return [200, { ledger: this.revision, events }];
  }
}

/** The index of the first key after `from`. */
function firstAfter(sorted, from) {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle] <= from) low = middle + 1;
    else high = middle;
  }
  return low;
}
