// A stand-in for the state service, the consensus-backed key-value store that controllers share, with leases and
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

/** The stored value of a key. */
interface Entry {
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}

/** The number of change events kept for watch (`follow`) requests. */
const MAX_EVENTS = 10_000;

/** The limits of the service: kilobytes of a value, changes of a transaction, and changes per second. */
export interface StateLimits {
  readonly valueKb: number;
  readonly txnOps: number;
  readonly writesPerS: number;
}

/** Restrictions of watch and list answers that the protocol permits. */
export interface StaleReads {
  /** The number of changes kept; a client that needs older changes must read all keys again. */
  readonly keptEvents: number;
  /** The number of items in one page of a list. */
  readonly pageItems: number;
}

/** The shortest and longest delay of transactions that are executed late. */
const LATE_WRITE_MS = { least: 2000, most: 12_000 };

/** How often the service ends expired leases. */
const LEASE_CHECK_MS = 50;

/** The largest number of conditions of a transaction, as a multiple of its largest number of changes. */
const CONDITIONS_PER_CHANGE = 4;

/** Shuffles the items in place (Fisher-Yates) and returns them. */
function shuffled<T>(items: T[], random: () => number): T[] {
  for (let i = items.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items;
}

/** The state service stand-in. Its public fields set faults and count requests. */
export class SimStateService {
  /** The stored entries, by key. */
  readonly data = new Map<string, Entry>();
  /** Increases by one with each transaction or lease end that changes keys. */
  revision = 0;
  /** Every request is refused with 503. */
  outage = false;
  /** Controllers whose requests are all refused with 503. */
  readonly refusedControllers = new Set<string>();
  /** The share of transactions that get no answer, and whether they are executed at once or later. */
  unanswered: { readonly share: number; readonly atOnce: boolean } | null = null;
  /** Controllers whose transactions are never executed and get no answer; their other requests are served. */
  readonly transactionsLostFrom = new Set<string>();
  /** Controllers whose lease renewals are refused; their other requests are served. */
  readonly unrenewed = new Set<string>();
  /** By controller: the delay of its watch answers, which have the state at the time of the request. */
  readonly slowReadsOf = new Map<string, number>();
  /** While set, reads are as weak as the protocol allows: changes in any order, and only the last one of each key. */
  staleReads: StaleReads | null = null;
  /** The enforced limits; null: no limits are enforced, and only the largest transaction and value are recorded. */
  limits: StateLimits | null = null;
  /** Called with each key that a transaction has put, after the whole transaction is executed. */
  onStored: (key: string) => void = () => undefined;
  /** Called with the reason for each transaction refused with 400 because it exceeds a size limit. */
  onInvalid: (why: string) => void = () => undefined;
  /** The number of transactions refused because of the write rate limit. */
  rateLimited = 0;
  #writeTokens = 0;
  #tokensFilledAt = 0;
  /** The largest number of changes in a transaction. */
  largestTxn = 0;
  /** The length of the longest value, in characters of JSON. */
  largestValue = 0;
  /** The number of all requests, and of all changes in transactions. */
  requests = 0;
  changes = 0;
  /** The number of unanswered transactions that were executed successfully after a delay. */
  executedLate = 0;
  #events: StateEvent[] = [];
  #droppedRevision = 0;
  #leases = new Map<number, { ttlMs: number; until: number }>();
  #nextLease = 1;

  constructor(readonly sim: Scheduler) {
    const sweep = (): void => {
      for (const [id, lease] of this.#leases) if (this.sim.now > lease.until) this.#endLease(id);
      this.sim.after(LEASE_CHECK_MS, sweep);
    };
    this.sim.after(LEASE_CHECK_MS, sweep);
  }

  /** Begins or ends an outage. */
  setOutage(isOut: boolean): void {
    this.outage = isOut;
    // Leases do not expire during an outage, and get their full time to live at its end.
    for (const lease of this.#leases.values()) lease.until = isOut ? Infinity : this.sim.now + lease.ttlMs;
  }

  /** Whether the path is a renewal of a lease that has not ended. */
  #renewsLiveLease(path: string): boolean {
    const request = parseStateRequest('POST', path);
    return request?.kind === 'renew' && this.#leases.has(request.lease);
  }

  /** Stores a value without a change event. */
  put(key: string, value: unknown): void {
    this.data.set(key, { value, version: ++this.revision, lease: null });
  }

  /** Ends a lease and removes the keys attached to it. */
  #endLease(id: number): void {
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
    if (this.#events.length > MAX_EVENTS) this.#droppedRevision = this.#events.shift()!.version;
  }

  /** Returns the changes after a revision; null: some of them are no longer kept. */
  #eventsAfter(revision: number, prefix: string): StateEvent[] | null {
    if (revision < this.#droppedRevision) return null;
    const later = this.#events.filter((event) => event.version > revision);
    const { staleReads } = this;
    if (staleReads !== null && later.length > staleReads.keptEvents) return null;
    const events = later.filter((event) => event.key.startsWith(prefix));
    if (staleReads === null) return events;
    const lastByKey = new Map(events.map((event) => [event.key, event]));
    return shuffled([...lastByKey.values()], this.sim.random);
  }

  /** Drops all change events, as after many further changes. */
  dropEvents(): void {
    this.#droppedRevision = this.revision;
    this.#events = [];
  }

  /** Answers a request of the host `from`; the promise of a request that gets no answer never settles. */
  handle(method: string, path: string, body: Buffer, from: string): HttpResponse | Promise<HttpResponse> {
    this.requests++;
    if (this.outage || this.refusedControllers.has(from)) return answer(503, { error: 'trouble' });
    const kind = parseStateRequest(method, path)?.kind;
    if (kind === 'txn' && this.transactionsLostFrom.has(from)) return new Promise(() => undefined);
    if (kind === 'renew' && this.unrenewed.has(from) && this.#renewsLiveLease(path))
      return answer(503, { error: 'trouble' });
    const readMs = this.slowReadsOf.get(from);
    if (kind === 'follow' && readMs !== undefined) {
      const response = this.#execute(method, path, body);
      return new Promise((resolve) => this.sim.after(readMs, () => resolve(response)));
    }
    const { unanswered } = this;
    if (unanswered !== null && method === 'POST' && path === STATE_PATHS.txn && this.sim.random() < unanswered.share) {
      if (unanswered.atOnce) this.#execute(method, path, body);
      else this.#executeLate(method, path, body);
      return new Promise(() => undefined);
    }
    return this.#execute(method, path, body);
  }

  /** Executes a transaction seconds later, possibly after newer ones of the same controller. */
  #executeLate(method: string, path: string, body: Buffer): void {
    const { least, most } = LATE_WRITE_MS;
    this.sim.after(least + (most - least) * this.sim.random(), () => {
      if (this.#execute(method, path, body).status === 200) this.executedLate++;
    });
  }

  /** Returns the refusal of a transaction that exceeds the limits; null: the transaction is within the limits. */
  #refusalByLimits(conditions: readonly Condition[], changes: readonly Change[]): HttpResponse | null {
    const { limits } = this;
    if (limits === null) return null;
    const largeValue = changes.find(
      (change) => 'put' in change && JSON.stringify(change.value).length > limits.valueKb * 1024,
    );
    const hasTooManyItems = changes.length > limits.txnOps || conditions.length > limits.txnOps * CONDITIONS_PER_CHANGE;
    if (largeValue !== undefined || hasTooManyItems) {
      const reason =
        largeValue === undefined ? `${changes.length} changes` : `value of ${JSON.stringify(largeValue).slice(0, 40)}`;
      this.onInvalid(reason);
      return answer(400, { error: 'too large' });
    }
    if (this.#takeWriteTokens(changes.length, limits.writesPerS)) return null;
    this.rateLimited++;
    return answer(429, { error: 'too many changes' });
  }

  /** Takes the changes from the write token bucket; false: the rate limit does not allow them now. */
  #takeWriteTokens(changes: number, writesPerS: number): boolean {
    const { now } = this.sim;
    const filled = this.#writeTokens + ((now - this.#tokensFilledAt) / 1000) * writesPerS;
    this.#writeTokens = Math.min(writesPerS, filled);
    this.#tokensFilledAt = now;
    if (this.#writeTokens < changes) return false;
    this.#writeTokens -= changes;
    return true;
  }

  #execute(method: string, path: string, body: Buffer): HttpResponse {
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
        this.#endLease(request.lease);
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
