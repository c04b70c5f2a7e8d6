// Client of the consensus-backed key-value store: reads, compare-and-swap transactions and leases, within the rate
// limits.
import {
  type Change,
  type Condition,
  decode,
  encode,
  eventsOf,
  GingerlockError,
  leaseMap,
  leaseIdOf,
  listOf,
  revisionOf,
  STATE_PATHS,
  type StateEvent,
  type StateItem,
  transactionMap,
} from '@gingerlock/wire';
import { type RateLimiter, OverloadedError, type Urgency, URGENCY } from './rate-limiter';
import { type Clock, type Http, type HttpResponse, ResponseTooLargeError } from './ports';

/** Entries of one page of a list. */
const PAGE_ENTRIES = 1000;

/** A transaction may wait this many times as long as the rate limit takes to admit its writes. */
const WRITE_PATIENCE_FACTOR = 2;

/** What is known of the outcome of a transaction. */
export type CompareAndSwapResult =
  /** Carried out; all of its changes have this revision. */
  | { readonly kind: 'done'; readonly revision: number }
  /** A condition did not hold: nothing was changed. */
  | { readonly kind: 'conflict'; readonly revision: number }
  /** Not carried out: the lease that it names does not exist any more. */
  | { readonly kind: 'no lease' }
  /** Not carried out, and rejected again however often it is sent: it is malformed or beyond a limit. */
  | { readonly kind: 'invalid' }
  /** Surely not carried out: refused, or never sent. It may be sent again. */
  | { readonly kind: 'refused'; readonly why: string }
  /** It may have been carried out, or may be yet. */
  | { readonly kind: 'unknown'; readonly why: string };

/** The store rejected a request other than a transaction. */
export class StoreRejectedError extends GingerlockError {
  override readonly name = 'StoreRejectedError';
  override readonly code = 'STORE_REJECTED';

  /**
   * @param status the HTTP status of the answer
   * @param operation what was asked of the store
   */
  constructor(
    readonly status: number,
    operation: string,
  ) {
    super(`${operation}: status ${status}`);
  }
}

/** What a client of the store works with. */
export interface KeyValueStoreOptions {
  readonly http: Http;
  /** Host and port of the store. */
  readonly addr: string;
  readonly rateLimiter: RateLimiter;
  readonly clock: Clock;
  /** How long a request may take once it is sent, in milliseconds. */
  readonly timeoutMs: number;
}

/** All entries below a prefix, complete up to a revision. Some may be newer than that. */
export interface StoreListing {
  readonly items: StateItem[];
  readonly revision: number;
}

/** All changes below a prefix from one revision up to another, in no order. */
export interface StoreChanges {
  readonly events: StateEvent[];
  readonly revision: number;
}

/**
 * Sends each request once and repeats nothing. Reads and lease requests reject with `OverloadedError` if the rate
 * limiter does not admit them in time, with `NoResponseError` if no complete answer came, with `StoreRejectedError`,
 * and with `MalformedMessageError` if the answer can't be decoded.
 */
export class KeyValueStore {
  /** The highest revision that any answer has named. */
  highestRevision = 0;
  /** Transactions that are under way. */
  pendingTransactions = 0;
  /**
   * When a transaction last ended with an unknown outcome, by the steady clock: it may be carried out yet. Null: none
   * did.
   */
  outcomeUnknownSince: number | null = null;

  constructor(readonly options: KeyValueStoreOptions) {}

  /** Reads all entries below a prefix, page by page. */
  async list(prefix: string): Promise<StoreListing> {
    const items: StateItem[] = [];
    let revision = 0;
    for (let after = '', hasMore = true; hasMore;) {
      const answer = await this.#send(URGENCY.rest, 0, 'GET', STATE_PATHS.list(prefix, after, PAGE_ENTRIES), null);
      if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'list');
      const page = listOf(decode(answer.body));
      // The pages are read one after the other: what changed meanwhile is followed from the first one's revision.
      if (after === '') revision = page.revision;
      items.push(...page.items);
      after = page.items.at(-1)?.key ?? after;
      hasMore = page.more && page.items.length > 0;
    }
    this.#noteRevision(revision);
    return { items, revision };
  }

  /**
   * Reads the changes after a revision. Null: that is too long ago, or the changes are too many for one answer, and all
   * has to be listed again.
   */
  async follow(prefix: string, after: number): Promise<StoreChanges | null> {
    const answer = await this.#changesAfter(prefix, after);
    if (answer === null || answer.status === 410) return null;
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'follow');
    const changes = eventsOf(decode(answer.body));
    this.#noteRevision(changes.revision);
    return changes;
  }

  /** Null: the changes are more than an answer may hold. Asked for again and again, they would only become more. */
  async #changesAfter(prefix: string, after: number): Promise<HttpResponse | null> {
    try {
      return await this.#send(URGENCY.cancel, 0, 'GET', STATE_PATHS.follow(prefix, after, 0), null);
    } catch (error) {
      if (error instanceof ResponseTooLargeError) return null;
      throw error;
    }
  }

  /**
   * Makes all of the changes if all of the conditions hold, else none. Never rejects: the result says what is known of
   * the outcome. `patienceMs`: how long to wait for the rate limiter; by default long enough for a transaction of this
   * size.
   */
  async compareAndSwap(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    patienceMs?: number,
  ): Promise<CompareAndSwapResult> {
    this.pendingTransactions++;
    let result: CompareAndSwapResult;
    try {
      const request = transactionMap(conditions, changes);
      const answer = await this.#send(urgency, changes.length, 'POST', STATE_PATHS.txn, request, patienceMs);
      result = this.#outcomeOf(answer, changes);
    } catch (error) {
      result = outcomeOfError(error);
    }
    this.pendingTransactions--;
    if (result.kind === 'unknown') this.outcomeUnknownSince = this.options.clock.now();
    return result;
  }

  /** Throws if the answer can't be decoded. */
  #outcomeOf(answer: HttpResponse, changes: readonly Change[]): CompareAndSwapResult {
    switch (answer.status) {
      case 200:
        return { kind: 'done', revision: this.#noteRevision(revisionOf(decode(answer.body))) };
      case 409:
        return { kind: 'conflict', revision: this.#noteRevision(revisionOf(decode(answer.body))) };
      case 400:
        return changes.some((change) => 'put' in change && change.lease !== undefined)
          ? { kind: 'no lease' }
          : { kind: 'invalid' };
      case 429:
      case 503:
        return { kind: 'refused', why: `status ${answer.status}` };
      default:
        return { kind: 'unknown', why: `status ${answer.status}` };
    }
  }

  /** Grants a lease of the given length and returns its id. */
  async grantLease(ttlMs: number): Promise<number> {
    const answer = await this.#send(URGENCY.renew, 0, 'POST', STATE_PATHS.leases, leaseMap(ttlMs));
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'lease');
    return leaseIdOf(decode(answer.body));
  }

  /** Makes the lease last its whole length again. False: it has expired. */
  async renewLease(lease: number): Promise<boolean> {
    const answer = await this.#send(URGENCY.renew, 0, 'POST', STATE_PATHS.renew(lease), {});
    if (answer.status === 404) return false;
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'renew');
    return true;
  }

  /** Waits for the rate limiter, then sends. `writes`: the changes that count against the limit of writes. */
  async #send(
    urgency: Urgency,
    writes: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    patienceMs?: number,
  ): Promise<HttpResponse> {
    const { http, addr, rateLimiter, timeoutMs } = this.options;
    // A large transaction may take longer than the timeout to get its share of the writes, and others wait before it.
    const writesMs = ((writes * WRITE_PATIENCE_FACTOR) / rateLimiter.writesPerS) * 1000;
    await rateLimiter.acquire(urgency, writes, patienceMs ?? Math.max(timeoutMs, writesMs));
    return http(addr, method, path, body === null ? null : encode(body), timeoutMs);
  }

  #noteRevision(revision: number): number {
    if (revision > this.highestRevision) this.highestRevision = revision;
    return revision;
  }
}

function outcomeOfError(error: unknown): CompareAndSwapResult {
  if (error instanceof OverloadedError) return { kind: 'refused', why: error.message };
  return { kind: 'unknown', why: error instanceof Error ? error.message : 'failed' };
}
