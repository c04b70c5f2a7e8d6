// A stand-in for the state service (PROTOCOL, "Controller nodes -> state service"): a consistent key-value store with
// leases, follow requests, and the limits of the settings. Each controller has an address of its own, so that the
// service can treat one controller differently.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setInterval, setTimeout, clearInterval } from 'node:timers';
import { serveHttp, unpack } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;
const MAX_LIST_BYTES = 512 * 1024;
const MAX_TXN_BYTES = 64 * 1024;

function bytesOf(value) {
  return Buffer.byteLength(JSON.stringify(value));
}

/** A token bucket with a burst of one second's worth. */
class Bucket {
  #tokens;
  #at = performance.now();

  constructor(perS) {
    this.perS = perS;
    this.#tokens = perS;
  }

  take(count) {
    const now = performance.now();
    this.#tokens = Math.min(this.perS, this.#tokens + ((now - this.#at) / 1000) * this.perS);
    this.#at = now;
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }
}

/** The service. `limits` is `facts.state` of the settings; `record` writes a line of the record. */
export class Store {
  data = new Map();
  ledger = 0;
  /** Whether every request is answered with 503. */
  isOut = false;
  /** The names of controllers whose requests are all answered with 503. */
  refused = new Set();
  /** `intercept(node, kind, request)`: returns null to execute a request, or what to do with it; for faults of a case. */
  intercept = () => null;
  /** Called with each change `{ key, data }` after its transaction; `data` is undefined for a removal. */
  onChange = () => undefined;
  #events = [];
  #droppedUpTo = 0;
  #leases = new Map();
  #nextLease = 1;
  #servers = [];
  #sortedKeys = null;

  constructor(limits, record) {
    this.limits = limits;
    this.record = record;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.timer = setInterval(() => this.#endExpired(), 20);
  }

  /** Puts a value that was stored before the case begins. */
  preset(key, data) {
    this.ledger++;
    this.data.set(key, { data, stamp: this.ledger, permit: null });
    this.#sortedKeys = null;
    this.#droppedUpTo = this.ledger;
  }

  /** Sets the limits that hold from now on. */
  setLimits(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
  }

  /** Listens for one controller; returns the address. */
  async listenFor(node) {
    const server = await serveHttp((method, path, body) => this.#handle(node, method, path, body));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  stop() {
    clearInterval(this.timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Begins or ends an outage, which gives all leases their full time again. */
  setOutage(isOut) {
    this.isOut = isOut;
    this.record(`state service: outage ${isOut ? 'begins' : 'ends'}`);
    for (const lease of this.#leases.values()) lease.until = isOut ? Infinity : performance.now() + lease.ttlMs;
  }

  #endExpired() {
    const now = performance.now();
    for (const [id, lease] of [...this.#leases]) if (now > lease.until) this.#endLease(id);
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.data].filter(([, { permit }]) => permit === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.ledger++;
    for (const key of keys) this.#remove(key);
  }

  #remove(key) {
    if (!this.data.delete(key)) return;
    this.#sortedKeys = null;
    this.#event({ remove: key, stamp: this.ledger });
    this.onChange({ key, data: undefined });
  }

  #event(event) {
    this.#events.push(event);
    while (this.#events.length > KEPT_CHANGES) this.#droppedUpTo = this.#events.shift().stamp;
  }

  async #handle(node, method, path, body) {
    const url = new URL(path, 'http://state');
    const kind = url.pathname.split('/')[1];
    if (this.isOut || this.refused.has(node)) return { status: 503, body: { error: 'trouble' } };
    const request = method === 'POST' && kind === 'txn' ? unpack(body) : null;
    const fault = this.intercept(node, kind, request, path);
    if (fault?.status !== undefined) return fault;
    if (fault?.isLost === true) return null;
    if (fault?.executeAfterMs !== undefined) {
      setTimeout(() => this.#execute(method, url, body), fault.executeAfterMs);
      return null;
    }
    const answer = this.#execute(method, url, body);
    if (fault?.answerLost === true) return null;
    if (fault?.answerAfterMs !== undefined)
      await new Promise((resolve) => {
        setTimeout(resolve, fault.answerAfterMs);
      });
    return answer;
  }

  #execute(method, url, body) {
    const segments = url.pathname.split('/').slice(1);
    if (!this.requests.take(1)) return { status: 429, body: { error: 'too many requests' } };
    if (method === 'POST' && segments[0] === 'txn') return this.#transaction(unpack(body));
    if (method === 'POST' && segments[0] === 'holds' && segments.length === 1) return this.#grant(unpack(body).ttl_ms);
    if (method === 'POST' && segments[0] === 'holds' && segments[2] === 'renew')
      return this.#renew(Number(segments[1]));
    if (method === 'DELETE' && segments[0] === 'holds') {
      this.#endLease(Number(segments[1]));
      return { status: 200, body: {} };
    }
    if (method === 'GET' && segments[0] === 'kv' && segments.length === 1) return this.#list(url.searchParams);
    if (method === 'GET' && segments[0] === 'follow') return this.#follow(url.searchParams);
    return { status: 400, body: { error: 'malformed' } };
  }

  #transaction({ if: conditions, apply }) {
    const { value_kb: valueKb, txn_ops: ops } = this.limits;
    const isTooLarge =
      apply.length > ops ||
      conditions.length > ops * 4 ||
      bytesOf({ if: conditions, apply }) > MAX_TXN_BYTES ||
      apply.some(({ set, data }) => set !== undefined && bytesOf(data) > valueKb * 1024);
    if (isTooLarge) return { status: 400, body: { error: 'too large' } };
    if (!this.writes.take(apply.length)) return { status: 429, body: { error: 'too many changes' } };
    if (apply.some(({ set, permit }) => set !== undefined && typeof permit === 'number' && !this.#leases.has(permit)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions.filter(({ k, stamp }) => (this.data.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (apply.length > 0) this.ledger++;
    for (const { set, remove, data, permit } of apply) {
      if (set === undefined) this.#remove(remove);
      else {
        if (!this.data.has(set)) this.#sortedKeys = null;
        this.data.set(set, { data, stamp: this.ledger, permit: permit ?? null });
        this.#event({ set, data, stamp: this.ledger });
        this.onChange({ key: set, data });
      }
    }
    return { status: 200, body: { ledger: this.ledger } };
  }

  #grant(ttlMs) {
    const permit = this.#nextLease++;
    this.#leases.set(permit, { ttlMs, until: performance.now() + ttlMs });
    return { status: 200, body: { permit } };
  }

  #renew(permit) {
    const lease = this.#leases.get(permit);
    if (lease === undefined) return { status: 404, body: {} };
    lease.until = performance.now() + lease.ttlMs;
    return { status: 200, body: { permit } };
  }

  /** All keys in order; kept between two changes of the set of keys. */
  #keys() {
    this.#sortedKeys ??= [...this.data.keys()].sort();
    return this.#sortedKeys;
  }

  #list(params) {
    const under = params.get('under') ?? '';
    const from = params.get('from') ?? '';
    const most = Math.min(Number(params.get('most') ?? MAX_ITEMS), MAX_ITEMS);
    const keys = this.#keys();
    let index = 0;
    for (let end = keys.length; index < end;) {
      const middle = (index + end) >> 1;
      if (keys[middle] <= from) index = middle + 1;
      else end = middle;
    }
    const items = [];
    let more = false;
    for (let bytes = 0; index < keys.length; index++) {
      const k = keys[index];
      if (!k.startsWith(under)) continue;
      const { data, stamp } = this.data.get(k);
      bytes += bytesOf({ k, data, stamp }) + 1;
      if (items.length >= most || bytes > MAX_LIST_BYTES) {
        more = true;
        break;
      }
      items.push({ k, data, stamp });
    }
    return { status: 200, body: { items, more, ledger: this.ledger } };
  }

  #follow(params) {
    const under = params.get('under') ?? '';
    const from = Number(params.get('from'));
    if (from < this.#droppedUpTo) return { status: 410, body: { ledger: this.ledger } };
    const events = this.#events.filter(({ set, remove, stamp }) => stamp > from && (set ?? remove).startsWith(under));
    return { status: 200, body: { ledger: this.ledger, events } };
  }
}
