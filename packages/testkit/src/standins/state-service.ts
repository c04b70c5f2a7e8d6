// A stand-in of the state service: the consensus-backed key-value store that controllers share, with its leases and its
// faults.
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
  transactionResponseMap,
  STATE_PATHS,
  type StateEvent,
  txnRequestOf,
} from '@gingerlock/wire';
import type { Scheduler } from '../simulation/sim';

function answer(status: number, map: unknown): HttpResponse {
  return { status, body: encode(map) };
}

/** What stands under a key. */
interface Entry {
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}

/** So many changes are kept for those who follow. */
const KEPT_EVENTS = 10_000;

/** What the service accepts: kilobytes of a value, changes of a transaction, and changes a second. */
export interface StateLimits {
  readonly valueKb: number;
  readonly txnOps: number;
  readonly writesPerS: number;
}

/** How little the protocol guarantees to those who follow changes or list keys. */
export interface StaleReads {
  /** So many changes are kept; who asks for older ones has to read all again. */
  readonly keptEvents: number;
  /** So many items come in one page of a list. */
  readonly pageItems: number;
}

/** Transactions that are carried out late are so after at least and at most so long. */
const LATE_WRITE_MS = { least: 2000, most: 12_000 };

/** How often expired leases are ended. */
const SWEEP_MS = 50;

/** Conditions of one transaction, as a multiple of the changes that it may have. */
const CONDITIONS_PER_CHANGE = 4;

/** Shuffles in place (Fisher and Yates). */
function shuffled<T>(items: T[], random: () => number): T[] {
  for (let i = items.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items;
}

/** The state service. Its fields set faults, and count what was asked of it. */
export class SimStateService {
  /** What is stored, by key. */
  readonly data = new Map<string, Entry>();
  /** Grows by one with each transaction that changes something. */
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
  /** Set while reads are as the protocol allows at the worst: changes in any order, of each key the last one only. */
  staleReads: StaleReads | null = null;
  /** Enforced from the moment when they are set; until then what breaks a limit is only counted. */
  limits: StateLimits | null = null;
  /** Called with each key that a transaction has set, once all of it is carried out. */
  onStored: (key: string) => void = () => undefined;
  /** Called for each request that is refused for good. */
  onInvalid: (why: string) => void = () => undefined;
  /** Requests refused for their rate. */
  tooMany = 0;
  #writeTokens = 0;
  #filledAt = 0;
  /** The most changes of a transaction. */
  largestTxn = 0;
  /** The longest value, in characters of JSON. */
  largestValue = 0;
  /** Requests of anybody, and changes that transactions asked for. */
  requests = 0;
  changes = 0;
  /** Transactions that were carried out long after they had timed out. */
  carriedOutLate = 0;
  #events: StateEvent[] = [];
  #dropped = 0;
  #leases = new Map<number, { ttlMs: number; until: number }>();
  #nextLease = 1;

  constructor(readonly sim: Scheduler) {
    const sweep = (): void => {
      for (const [id, lease] of this.#leases) if (this.sim.now > lease.until) this.#end(id);
      this.sim.after(SWEEP_MS, sweep);
    };
    this.sim.after(SWEEP_MS, sweep);
  }

  /** Begins or ends an outage. */
  setOutage(isOut: boolean): void {
    this.outage = isOut;
    // An outage gives all leases their full time again.
    for (const lease of this.#leases.values()) lease.until = isOut ? Infinity : this.sim.now + lease.ttlMs;
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

  /** Ends a lease, and removes what was stored under it. */
  #end(id: number): void {
    this.#leases.delete(id);
    const keys = [...this.data].filter(([, entry]) => entry.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.data.delete(key);
      this.#recordEvent({ key, value: undefined, version: this.revision });
    }
  }

  #recordEvent(event: StateEvent): void {
    this.#events.push(event);
    if (this.#events.length > KEPT_EVENTS) this.#dropped = this.#events.shift()!.version;
  }

  /** Changes after a revision; null: they are not kept any more. */
  #eventsAfter(revision: number, prefix: string): StateEvent[] | null {
    if (revision < this.#dropped) return null;
    const later = this.#events.filter((event) => event.version > revision);
    const { staleReads } = this;
    if (staleReads !== null && later.length > staleReads.keptEvents) return null;
    const events = later.filter((event) => event.key.startsWith(prefix));
    if (staleReads === null) return events;
    const lastByKey = new Map(events.map((event) => [event.key, event]));
    return shuffled([...lastByKey.values()], this.sim.random);
  }

  /** Forgets changes, as if many had been made since. */
  forgetEvents(): void {
    this.#dropped = this.revision;
    this.#events = [];
  }

  /** Answers a request of the host `from`; the promise of one that gets no answer stays open. */
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
      else this.#carryOutLate(method, path, body);
      return new Promise(() => undefined);
    }
    return this.#carryOut(method, path, body);
  }

  /** Carries a transaction out seconds later, maybe after newer ones of the same controller. */
  #carryOutLate(method: string, path: string, body: Buffer): void {
    const { least, most } = LATE_WRITE_MS;
    this.sim.after(least + (most - least) * this.sim.random(), () => {
      if (this.#carryOut(method, path, body).status === 200) this.carriedOutLate++;
    });
  }

  /** The answer to a transaction that the limits do not allow; null: they allow it. */
  #refusalByLimits(conditions: readonly Condition[], changes: readonly Change[]): HttpResponse | null {
    const { limits } = this;
    if (limits === null) return null;
    const large = changes.find(
      (change) => 'put' in change && JSON.stringify(change.value).length > limits.valueKb * 1024,
    );
    const isTooLong = changes.length > limits.txnOps || conditions.length > limits.txnOps * CONDITIONS_PER_CHANGE;
    if (large !== undefined || isTooLong) {
      const why = large === undefined ? `${changes.length} changes` : `value of ${JSON.stringify(large).slice(0, 40)}`;
      this.onInvalid(why);
      return answer(400, { error: 'too large' });
    }
    if (this.#mayWrite(changes.length, limits.writesPerS)) return null;
    this.tooMany++;
    return answer(429, { error: 'too many changes' });
  }

  /** Takes so many changes out of what the rate allows now; false: it does not allow them. */
  #mayWrite(changes: number, writesPerS: number): boolean {
    const { now } = this.sim;
    const filled = this.#writeTokens + ((now - this.#filledAt) / 1000) * writesPerS;
    this.#writeTokens = Math.min(writesPerS, filled);
    this.#filledAt = now;
    if (this.#writeTokens < changes) return false;
    this.#writeTokens -= changes;
    return true;
  }

  #carryOut(method: string, path: string, body: Buffer): HttpResponse {
    const request = parseStateRequest(method, path);
    switch (request?.kind) {
      case undefined:
        return answer(400, { error: 'malformed' });
      case 'txn':
        return this.#compareAndSwap(body);
      case 'grant':
        return this.#grant(leaseTtlOf(decode(body)));
      case 'renew':
        return this.#renew(request.lease);
      case 'release':
        this.#end(request.lease);
        return answer(200, {});
      case 'list':
        return this.#list(request.prefix, request.after, request.limit);
      case 'follow': {
        const events = this.#eventsAfter(request.after, request.prefix);
        return events === null ? answer(410, {}) : answer(200, eventsMap(events, this.revision));
      }
    }
  }

  #compareAndSwap(body: Buffer): HttpResponse {
    const { conditions, changes } = txnRequestOf(decode(body));
    this.changes += changes.length;
    const refusal = this.#refusalByLimits(conditions, changes);
    if (refusal !== null) return refusal;
    this.largestTxn = Math.max(this.largestTxn, changes.length);
    if (changes.some((change) => 'put' in change && change.lease !== undefined && !this.#leases.has(change.lease)))
      return answer(400, { error: 'no such lease' });
    const failed = conditions.filter(({ key, version }) => (this.data.get(key)?.version ?? 0) !== version);
    const failedKeys = failed.map(({ key }) => key);
    if (failedKeys.length > 0) return answer(409, transactionResponseMap(this.revision, failedKeys));
    if (changes.length > 0) this.revision++;
    for (const change of changes) this.#apply(change);
    for (const change of changes) if ('put' in change) this.onStored(change.put);
    return answer(200, transactionResponseMap(this.revision));
  }

  #apply(change: Change): void {
    if ('put' in change) {
      const { put: key, value, lease } = change;
      this.largestValue = Math.max(this.largestValue, JSON.stringify(value).length);
      this.data.set(key, { value, version: this.revision, lease: lease ?? null });
      this.#recordEvent({ key, value, version: this.revision });
    } else if (this.data.delete(change.remove)) {
      this.#recordEvent({ key: change.remove, value: undefined, version: this.revision });
    }
  }

  #grant(ttlMs: number): HttpResponse {
    const id = this.#nextLease++;
    this.#leases.set(id, { ttlMs, until: this.sim.now + ttlMs });
    return answer(200, leaseGrantedMap(id));
  }

  #renew(id: number): HttpResponse {
    const lease = this.#leases.get(id);
    if (lease === undefined) return answer(404, {});
    lease.until = this.sim.now + lease.ttlMs;
    return answer(200, {});
  }

  #list(prefix: string, after: string, requestedItems: number): HttpResponse {
    const all = [...this.data]
      .filter(([key]) => key.startsWith(prefix) && key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const limit = Math.min(requestedItems, this.staleReads?.pageItems ?? Infinity);
    const items = all.slice(0, limit).map(([key, { value, version }]) => ({ key, value, version }));
    return answer(200, listMap(items, all.length > items.length, this.revision));
  }
}
