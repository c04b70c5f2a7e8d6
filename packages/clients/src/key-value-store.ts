import {
  type Change,
  type Condition,
  decode,
  encode,
  eventsOf,
  leaseMap,
  leaseOf,
  listOf,
  revisionOf,
  STATE_PATHS,
  type StateEvent,
  type StateItem,
  txnMap,
} from '@gingerlock/wire';
import { type RateLimiter, OverloadedError, type Urgency, URGENCY } from './rate-limiter';
import { ResponseTooLargeError, type Clock, type Http, type HttpResponse, NoResponseError } from './ports';

export type CompareAndSwapResult =
  | { readonly kind: 'done'; readonly revision: number }
  /** A condition did not hold: nothing was changed. */
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'no lease' }
  /** Never carried out, and refused again however often it is sent: it is malformed or beyond a limit. */
  | { readonly kind: 'invalid' }
  /** Surely not carried out: refused, or never sent. */
  | { readonly kind: 'refused'; readonly why: string }
  /** It may have been carried out, or may be yet. */
  | { readonly kind: 'unknown'; readonly why: string };

/** The state service refused a request, or gave an answer that is none. */
export class StoreRejectedError extends Error {
  constructor(
    readonly status: number,
    what: string,
  ) {
    super(`${what}: status ${status}`);
    this.name = 'StoreRejectedError';
  }
}

export interface KeyValueStoreOptions {
  readonly http: Http;
  readonly addr: string;
  readonly rateLimiter: RateLimiter;
  readonly clock: Clock;
  readonly timeoutMs: number;
}

export class KeyValueStore {
  /** The highest revision that any answer has named. */
  highestRevision = 0;
  /** Transactions whose outcome is not known. */
  pendingTransactions = 0;

  constructor(readonly options: KeyValueStoreOptions) {}

  async #send(
    urgency: Urgency,
    writes: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    patienceMs?: number,
  ): Promise<HttpResponse> {
    const { http, addr, rateLimiter, timeoutMs } = this.options;
    // A large transaction may take longer than that to fill its place in the budget, and others wait before it.
    const patience = patienceMs ?? Math.max(timeoutMs, ((writes * 2) / rateLimiter.writesPerS) * 1000);
    await rateLimiter.acquire(urgency, writes, patience);
    return http(addr, method, path, body === null ? null : encode(body), timeoutMs);
  }

  #noteRevision(revision: number): number {
    if (revision > this.highestRevision) this.highestRevision = revision;
    return revision;
  }

  async list(prefix: string): Promise<{ items: StateItem[]; revision: number }> {
    const items: StateItem[] = [];
    let revision = 0;
    for (let after = '', more = true; more;) {
      const answer = await this.#send(URGENCY.rest, 0, 'GET', STATE_PATHS.list(prefix, after, 1000), null);
      if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'list');
      const page = listOf(decode(answer.body));
      // The pages are read one after the other: what changed meanwhile is followed from the first one's revision.
      if (after === '') revision = page.revision;
      items.push(...page.items);
      after = page.items.at(-1)?.key ?? after;
      more = page.more && page.items.length > 0;
    }
    this.#noteRevision(revision);
    return { items, revision };
  }

  /** Changes after a revision; null if that is too long ago, or they are too many, and all has to be read again. */
  async follow(prefix: string, after: number): Promise<{ events: StateEvent[]; revision: number } | null> {
    const answer = await this.#changesAfter(prefix, after);
    if (answer === null || answer.status === 410) return null;
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'follow');
    const followed = eventsOf(decode(answer.body));
    this.#noteRevision(followed.revision);
    return followed;
  }

  /** Null: they are more than an answer may hold. Asked for again and again, they only became more. */
  async #changesAfter(prefix: string, after: number): Promise<HttpResponse | null> {
    try {
      return await this.#send(URGENCY.cancel, 0, 'GET', STATE_PATHS.follow(prefix, after, 0), null);
    } catch (error) {
      if (error instanceof ResponseTooLargeError) return null;
      throw error;
    }
  }

  async compareAndSwap(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    patienceMs?: number,
  ): Promise<CompareAndSwapResult> {
    this.pendingTransactions++;
    let known = true;
    try {
      const answer = await this.#send(
        urgency,
        changes.length,
        'POST',
        STATE_PATHS.txn,
        txnMap(conditions, changes),
        patienceMs,
      );
      switch (answer.status) {
        case 200:
          return { kind: 'done', revision: this.#noteRevision(revisionOf(decode(answer.body))) };
        case 409:
          return { kind: 'conflict', revision: this.#noteRevision(revisionOf(decode(answer.body))) };
        case 400:
          return changes.some((c) => 'put' in c && c.lease !== undefined) ? { kind: 'no lease' } : { kind: 'invalid' };
        case 429:
        case 503:
          return { kind: 'refused', why: `status ${answer.status}` };
        default:
          known = false;
          return { kind: 'unknown', why: `status ${answer.status}` };
      }
    } catch (error) {
      if (error instanceof OverloadedError) return { kind: 'refused', why: error.message };
      known = false;
      return { kind: 'unknown', why: error instanceof Error ? error.message : 'failed' };
    } finally {
      this.pendingTransactions--;
      if (!known) this.outcomeUnknownSince = this.options.clock.now();
    }
  }

  /** When a transaction last went unanswered: it may be carried out yet. */
  outcomeUnknownSince: number | null = null;

  async grantLease(ttlMs: number): Promise<number> {
    const answer = await this.#send(URGENCY.renew, 0, 'POST', STATE_PATHS.leases, leaseMap(ttlMs));
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'lease');
    return leaseOf(decode(answer.body));
  }

  /** False: the lease has ended. */
  async renewLease(lease: number): Promise<boolean> {
    const answer = await this.#send(URGENCY.renew, 0, 'POST', STATE_PATHS.renew(lease), {});
    if (answer.status === 404) return false;
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'renew');
    return true;
  }
}

export { NoResponseError };
