// Client of the consensus-backed key-value store: reads, compare-and-swap transactions and leases, within the rate
// limits.
import {
  type Change,
  type Condition,
  encode,
  eventsOf,
  GingerlockError,
  leaseMap,
  leaseIdOf,
  listOf,
  MalformedMessageError,
  OversizedMessageError,
  revisionOf,
  STATE_PATHS,
  type StateEvent,
  type StateItem,
  transactionMap,
} from '@gingerlock/wire';
import { type RateLimiter, OverloadedError, type Urgency, URGENCY } from './rate-limiter';
import { readAnswer } from './answers';
import { type Clock, type Http, type HttpResponse, MAX_LIST_BYTES, ResponseTooLargeError } from './ports';

/** Number of entries in one page of a list. */
const PAGE_ENTRIES = 1000;

/** A transaction may wait for this multiple of the time that the rate limit takes to admit its writes. */
const WRITE_WAIT_FACTOR = 2;

/** What is known of the outcome of a transaction. */
export type CompareAndSwapResult =
  /** The transaction was executed; all of its changes have this revision. */
  | { readonly kind: 'done'; readonly revision: number }
  /** A condition did not hold, so nothing was changed. */
  | { readonly kind: 'conflict'; readonly revision: number }
  /** The transaction was not executed: the lease that it names does not exist any more. */
  | { readonly kind: 'no lease' }
  /** The transaction was not executed and would be rejected again: it is malformed or exceeds a limit. */
  | { readonly kind: 'invalid' }
  /** The transaction was not executed, as it was refused or never sent. It may be sent again. */
  | { readonly kind: 'refused'; readonly why: string }
  /** The transaction may have been executed, or may still be. */
  | { readonly kind: 'unknown'; readonly why: string };

/** The store rejected a request other than a transaction. */
export class StoreRejectedError extends GingerlockError {
  override readonly name = 'StoreRejectedError';
  override readonly code = 'STORE_REJECTED';

  /**
   * @param status the HTTP status of the answer
   * @param operation name of the operation
   */
  constructor(
    readonly status: number,
    operation: string,
  ) {
    super(`${operation}: status ${status}`);
  }
}

/** Dependencies and settings of a `KeyValueStore`. */
export interface KeyValueStoreOptions {
  readonly http: Http;
  /** Host and port of the store. */
  readonly addr: string;
  readonly rateLimiter: RateLimiter;
  readonly clock: Clock;
  /** Time limit of a request once it is sent, in milliseconds. */
  readonly timeoutMs: number;
}

/** All entries below a prefix. Every change up to `revision` is included; some entries may be newer. */
export interface StoreListing {
  readonly items: StateItem[];
  readonly revision: number;
}

/** All changes below a prefix after one revision and up to `revision`, in no particular order. */
export interface StoreChanges {
  readonly events: StateEvent[];
  readonly revision: number;
}

/**
 * Client of the key-value store. It sends each request once, without retries. Reads and lease requests reject with
 * `OverloadedError` if the rate limiter does not admit them in time, with `NoResponseError` if no complete answer
 * arrived, with `StoreRejectedError`, and with `MalformedMessageError` if the answer can't be decoded.
 */
export class KeyValueStore {
  /** The highest revision in any answer so far. */
  highestRevision = 0;
  /** Number of transactions that are under way. */
  pendingTransactions = 0;
  /**
   * When a transaction last ended with an unknown outcome, by the steady clock; null if none did. The store may still
   * execute such a transaction.
   */
  outcomeUnknownSince: number | null = null;

  constructor(readonly options: KeyValueStoreOptions) {}

  /** Reads all entries below a prefix, page by page. */
  async list(prefix: string): Promise<StoreListing> {
    const items: StateItem[] = [];
    let revision = 0;
    for (let after = '', hasMore = true; hasMore;) {
      const path = STATE_PATHS.list(prefix, after, PAGE_ENTRIES);
      const answer = await this.#send(URGENCY.rest, 0, 'GET', path, null, undefined, MAX_LIST_BYTES);
      if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'list');
      const page = readAnswer('GET state list', answer, listOf);
      checkProgress(after, page);
      // Keys may change while the pages are read; callers follow those changes from the first page's revision.
      if (after === '') revision = page.revision;
      items.push(...page.items);
      after = page.items.at(-1)?.key ?? after;
      hasMore = page.more && page.items.length > 0;
    }
    this.#noteRevision(revision);
    return { items, revision };
  }

  /**
   * Reads the changes after a revision. Returns null if the store no longer has them, or if they are too many for one
   * answer; the caller then lists all keys again.
   */
  async follow(prefix: string, after: number): Promise<StoreChanges | null> {
    try {
      const path = STATE_PATHS.follow(prefix, after, 0);
      const answer = await this.#send(URGENCY.cancel, 0, 'GET', path, null, undefined, MAX_LIST_BYTES);
      if (answer.status === 410) return null;
      if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'follow');
      const changes = readAnswer('GET state follow', answer, eventsOf);
      this.#noteRevision(changes.revision);
      return changes;
    } catch (error) {
      // A retry would not help: the number of changes only grows.
      if (error instanceof ResponseTooLargeError || error instanceof OversizedMessageError) return null;
      throw error;
    }
  }

  /**
   * Makes all of the changes if all of the conditions hold, else none. Never rejects: the result says what is known of
   * the outcome. `maxWaitMs`: how long to wait for the rate limiter; by default long enough for a transaction of this
   * size.
   */
  async compareAndSwap(
    urgency: Urgency,
    conditions: readonly Condition[],
    changes: readonly Change[],
    maxWaitMs?: number,
  ): Promise<CompareAndSwapResult> {
    this.pendingTransactions++;
    let result: CompareAndSwapResult;
    try {
      const request = transactionMap(conditions, changes);
      const answer = await this.#send(urgency, changes.length, 'POST', STATE_PATHS.txn, request, maxWaitMs);
      result = this.#outcomeOf(answer, changes);
    } catch (error) {
      result = outcomeOfError(error);
    }
    this.pendingTransactions--;
    if (result.kind === 'unknown') this.outcomeUnknownSince = this.options.clock.now();
    return result;
  }

  /** Maps the answer to a transaction to its outcome. Throws if the answer can't be decoded. */
  #outcomeOf(answer: HttpResponse, changes: readonly Change[]): CompareAndSwapResult {
    switch (answer.status) {
      case 200:
        return { kind: 'done', revision: this.#noteRevision(readAnswer('POST state transaction', answer, revisionOf)) };
      case 409:
        return {
          kind: 'conflict',
          revision: this.#noteRevision(readAnswer('POST state transaction', answer, revisionOf)),
        };
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
    return readAnswer('POST state lease', answer, leaseIdOf);
  }

  /** Extends the lease by its full length from now. Returns false if it has expired. */
  async renewLease(lease: number): Promise<boolean> {
    const answer = await this.#send(URGENCY.renew, 0, 'POST', STATE_PATHS.renew(lease), {});
    if (answer.status === 404) return false;
    if (answer.status !== 200) throw new StoreRejectedError(answer.status, 'renew');
    return true;
  }

  /** Waits for the rate limiter, then sends. `writes`: how many changes count against the limit of writes. */
  async #send(
    urgency: Urgency,
    writes: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    maxWaitMs?: number,
    maxAnswerBytes?: number,
  ): Promise<HttpResponse> {
    const { http, addr, rateLimiter, timeoutMs } = this.options;
    // The rate limit may take longer than the timeout to admit a large transaction and those queued before it.
    const writesMs = ((writes * WRITE_WAIT_FACTOR) / rateLimiter.writesPerS) * 1000;
    await rateLimiter.acquire(urgency, writes, maxWaitMs ?? Math.max(timeoutMs, writesMs));
    return http(addr, method, path, body === null ? null : encode(body), timeoutMs, maxAnswerBytes);
  }

  #noteRevision(revision: number): number {
    if (revision > this.highestRevision) this.highestRevision = revision;
    return revision;
  }
}

/** Throws if a page that begins after a key does not go on from there: the list would have no end. */
function checkProgress(after: string, { items }: { readonly items: readonly StateItem[] }): void {
  if (items.length > 0 && items.at(-1)!.key <= after) throw new MalformedMessageError('items', 'not in order');
}

function outcomeOfError(error: unknown): CompareAndSwapResult {
  if (error instanceof OverloadedError) return { kind: 'refused', why: error.message };
  return { kind: 'unknown', why: error instanceof Error ? error.message : 'failed' };
}
