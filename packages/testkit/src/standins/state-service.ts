import type { HttpResponse } from '@gingerlock/clients';
import {
  type Change,
  type Condition,
  decode,
  encode,
  eventsMap,
  leaseGrantedMap,
  leaseTtlOf,
  listMap,
  parseStateRequest,
  revisionMap,
  STATE_PATHS,
  type StateEvent,
  txnRequestOf,
} from '@gingerlock/wire';
import type { Scheduler } from '../simulation/sim';

function answer(status: number, map: unknown): HttpResponse {
  return { status, body: encode(map) };
}

interface Entry {
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}

const KEPT_EVENTS = 10_000;

export interface StateLimits {
  readonly valueKb: number;
  readonly txnOps: number;
  readonly writesPerS: number;
}

/** How little the protocol lets a follower or a lister count on. */
export interface StaleReads {
  /** So many changes are kept; who asks for older ones has to read all again. */
  readonly keptEvents: number;
  /** So many items come in one page of a list. */
  readonly pageItems: number;
}

/** Conditions of one transaction, as a multiple of the changes that it may have. */
const CONDITIONS_PER_CHANGE = 4;

function shuffled<T>(items: T[], random: () => number): T[] {
  for (let i = items.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items;
}

/** A stand-in of the state service. */
export class SimStateService {
  readonly data = new Map<string, Entry>();
  revision = 0;
  /** Nobody is served. */
  outage = false;
  /** Those that alone are refused with 503, while the others are served. */
  readonly refused = new Set<string>();
  /** Share of transactions that get no answer, and whether they are carried out at once or later. */
  unanswered: { readonly share: number; readonly atOnce: boolean } | null = null;
  /** Controllers whose transactions get no answer and are never carried out, while all else of theirs is served. */
  readonly unansweredFrom = new Set<string>();
  /** Controllers that are refused the renewal of their leases alone. */
  readonly unrenewed = new Set<string>();
  /** By controller: how long the answers to its reads take, which are of the moment at which they were asked for. */
  readonly slowReadsOf = new Map<string, number>();
  /** Set while reads are as unhelpful as the protocol allows: changes in any order, of each key the last one only. */
  staleReads: StaleReads | null = null;
  /** Enforced from the moment when they are set; until then what breaks a limit is only counted. */
  limits: StateLimits | null = null;
  /** Hears of each key that a transaction has set, once all of it is carried out. */
  onStored: (key: string) => void = () => undefined;
  /** Hears of each request that is refused for good. */
  onInvalid: (why: string) => void = () => undefined;
  /** Requests refused for their rate. */
  tooMany = 0;
  #writeTokens = 0;
  #filledAt = 0;
  largestTxn = 0;
  largestValue = 0;
  /** All that was asked for, by anybody. */
  requests = 0;
  changes = 0;
  /** Transactions that were carried out long after they had been given up. */
  carriedOutLate = 0;
  #events: StateEvent[] = [];
  #dropped = 0;
  #leases = new Map<number, { ttlMs: number; until: number }>();
  #nextLease = 1;

  constructor(readonly sim: Scheduler) {
    const sweep = (): void => {
      for (const [id, lease] of this.#leases) if (this.sim.now > lease.until) this.#end(id);
      this.sim.after(50, sweep);
    };
    this.sim.after(50, sweep);
  }

  setOutage(on: boolean): void {
    this.outage = on;
    // An outage gives all leases their full time again.
    for (const lease of this.#leases.values()) lease.until = on ? Infinity : this.sim.now + lease.ttlMs;
  }

  /** Whether a request to renew a lease names one that has not ended. */
  #isLive(path: string): boolean {
    const request = parseStateRequest('POST', path);
    return request?.kind === 'renew' && this.#leases.has(request.lease);
  }

  /** Stores a value as if it had always been there. */
  put(key: string, value: unknown): void {
    this.data.set(key, { value, version: ++this.revision, lease: null });
  }

  #end(id: number): void {
    this.#leases.delete(id);
    const keys = [...this.data].filter(([, e]) => e.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.data.delete(key);
      this.#note({ key, value: undefined, version: this.revision });
    }
  }

  #note(event: StateEvent): void {
    this.#events.push(event);
    if (this.#events.length > KEPT_EVENTS) this.#dropped = this.#events.shift()!.version;
  }

  /** Changes after a revision; null: they are not kept any more. */
  #eventsAfter(revision: number, prefix: string): StateEvent[] | null {
    if (revision < this.#dropped) return null;
    const later = this.#events.filter((e) => e.version > revision);
    const { staleReads } = this;
    if (staleReads !== null && later.length > staleReads.keptEvents) return null;
    const events = later.filter((e) => e.key.startsWith(prefix));
    if (staleReads === null) return events;
    const last = new Map(events.map((e) => [e.key, e]));
    return shuffled([...last.values()], this.sim.random);
  }

  /** Forgets changes, as if many had been made since. */
  forgetEvents(): void {
    this.#dropped = this.revision;
    this.#events = [];
  }

  handle(method: string, path: string, body: Buffer, from: string): HttpResponse | Promise<HttpResponse> {
    this.requests++;
    if (this.outage || this.refused.has(from)) return answer(503, { error: 'trouble' });
    const kind = parseStateRequest(method, path)?.kind;
    if (kind === 'txn' && this.unansweredFrom.has(from)) return new Promise(() => undefined);
    if (kind === 'renew' && this.unrenewed.has(from) && this.#isLive(path)) return answer(503, { error: 'trouble' });
    const readMs = this.slowReadsOf.get(from);
    if (kind === 'follow' && readMs !== undefined) {
      const late = this.#carryOut(method, path, body);
      return new Promise((resolve) => this.sim.after(readMs, () => resolve(late)));
    }
    const { unanswered } = this;
    if (unanswered !== null && method === 'POST' && path === STATE_PATHS.txn && this.sim.random() < unanswered.share) {
      if (unanswered.atOnce) this.#carryOut(method, path, body);
      // After newer ones of the same controller, too.
      else {
        this.sim.after(2000 + 10_000 * this.sim.random(), () => {
          if (this.#carryOut(method, path, body).status === 200) this.carriedOutLate++;
        });
      }
      return new Promise(() => undefined);
    }
    return this.#carryOut(method, path, body);
  }

  /** The answer to a transaction that the limits do not allow; null: they allow it. */
  #capacityBackoffOf(conditions: readonly Condition[], changes: readonly Change[]): HttpResponse | null {
    const { limits } = this;
    if (limits === null) return null;
    const large = changes.find((c) => 'put' in c && JSON.stringify(c.value).length > limits.valueKb * 1024);
    if (
      large !== undefined ||
      changes.length > limits.txnOps ||
      conditions.length > limits.txnOps * CONDITIONS_PER_CHANGE
    ) {
      this.onInvalid(
        large === undefined ? `${changes.length} changes` : `value of ${JSON.stringify(large).slice(0, 40)}`,
      );
      return answer(400, { error: 'too large' });
    }
    const { now } = this.sim;
    const filled = this.#writeTokens + ((now - this.#filledAt) / 1000) * limits.writesPerS;
    this.#writeTokens = Math.min(limits.writesPerS, filled);
    this.#filledAt = now;
    if (this.#writeTokens < changes.length) {
      this.tooMany++;
      return answer(429, { error: 'too many changes' });
    }
    this.#writeTokens -= changes.length;
    return null;
  }

  #carryOut(method: string, path: string, body: Buffer): HttpResponse {
    const request = parseStateRequest(method, path);
    switch (request?.kind) {
      case undefined:
        return answer(400, { error: 'malformed' });
      case 'txn': {
        const { conditions, changes } = txnRequestOf(decode(body));
        this.changes += changes.length;
        const refusal = this.#capacityBackoffOf(conditions, changes);
        if (refusal !== null) return refusal;
        this.largestTxn = Math.max(this.largestTxn, changes.length);
        for (const c of changes) {
          if ('put' in c && c.lease !== undefined && !this.#leases.has(c.lease))
            return answer(400, { error: 'no such lease' });
        }
        const failed = conditions.filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version).map((c) => c.key);
        if (failed.length > 0) return answer(409, revisionMap(this.revision, failed));
        if (changes.length > 0) this.revision++;
        for (const c of changes) {
          if ('put' in c) {
            this.largestValue = Math.max(this.largestValue, JSON.stringify(c.value).length);
            this.data.set(c.put, { value: c.value, version: this.revision, lease: c.lease ?? null });
            this.#note({ key: c.put, value: c.value, version: this.revision });
          } else if (this.data.delete(c.remove)) {
            this.#note({ key: c.remove, value: undefined, version: this.revision });
          }
        }
        for (const c of changes) if ('put' in c) this.onStored(c.put);
        return answer(200, revisionMap(this.revision));
      }
      case 'grant': {
        const id = this.#nextLease++;
        const ttlMs = leaseTtlOf(decode(body));
        this.#leases.set(id, { ttlMs, until: this.sim.now + ttlMs });
        return answer(200, leaseGrantedMap(id));
      }
      case 'renew': {
        const lease = this.#leases.get(request.lease);
        if (lease === undefined) return answer(404, {});
        lease.until = this.sim.now + lease.ttlMs;
        return answer(200, {});
      }
      case 'release':
        this.#end(request.lease);
        return answer(200, {});
      case 'list': {
        const all = [...this.data]
          .filter(([key]) => key.startsWith(request.prefix) && key > request.after)
          .sort(([a], [b]) => (a < b ? -1 : 1));
        const limit = Math.min(request.limit, this.staleReads?.pageItems ?? Infinity);
        const items = all.slice(0, limit).map(([key, e]) => ({ key, value: e.value, version: e.version }));
        return answer(200, listMap(items, all.length > items.length, this.revision));
      }
      case 'follow': {
        const events = this.#eventsAfter(request.after, request.prefix);
        return events === null ? answer(410, {}) : answer(200, eventsMap(events, this.revision));
      }
    }
  }
}
