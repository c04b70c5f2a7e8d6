// Maps the messages of the key-value store's API (PROTOCOL, "Controller nodes -> state service") to the names that the
// code uses.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { integer } from './codec';

/** A key with its value in a list of keys. */
export interface StateItem {
  readonly key: string;
  readonly value: unknown;
  /** The revision of the key's last change. */
  readonly version: number;
}

/** A condition of a transaction, which is executed only if the key has this version. */
export interface Condition {
  readonly key: string;
  /** 0 if the key must not exist. */
  readonly version: number;
}

/** A change to one key. A key that is put with a lease is removed when the lease expires. */
export type Change =
  { readonly put: string; readonly value: unknown; readonly lease?: number } | { readonly remove: string };

/** A change that the store reports. */
export interface StateEvent {
  readonly key: string;
  /** Undefined when the key was removed. */
  readonly value: unknown;
  readonly version: number;
}

/** A revision or the id of a lease. They count from 0 on, so that no larger number is one of the store's. */
const Revision = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER - 1 });

/** Returns the body of a transaction, before its encoding. */
export function transactionMap(conditions: readonly Condition[], changes: readonly Change[]): unknown {
  return {
    if: conditions.map(({ key, version }) => ({ k: key, stamp: integer(version) })),
    apply: changes.map((change) =>
      'put' in change
        ? {
            set: change.put,
            data: change.value,
            ...(change.lease === undefined ? {} : { permit: integer(change.lease) }),
          }
        : { remove: change.remove },
    ),
  };
}

const checkRevision = compileValidator(Type.Object({ ledger: Revision }));

/** Reads the store's revision, which is part of every response. */
export function revisionOf(map: unknown): number {
  return checkRevision(map).ledger;
}

const checkList = compileValidator(
  Type.Object({
    items: Type.Array(Type.Object({ k: Type.String(), data: Type.Unknown(), stamp: Revision })),
    more: Type.Boolean(),
    ledger: Revision,
  }),
);

/** Reads one page of a list of keys. `more` tells whether further pages follow. */
export function listOf(map: unknown): { items: StateItem[]; more: boolean; revision: number } {
  const list = checkList(map);
  return {
    items: list.items.map(({ k, data, stamp }) => ({ key: k, value: data, version: stamp })),
    more: list.more,
    revision: list.ledger,
  };
}

const checkEvents = compileValidator(
  Type.Object({
    ledger: Revision,
    events: Type.Array(
      Type.Object({
        set: Type.Optional(Type.String()),
        remove: Type.Optional(Type.String()),
        data: Type.Optional(Type.Unknown()),
        stamp: Revision,
      }),
    ),
  }),
);

/** Reads the changes that `/follow` returns. */
export function eventsOf(map: unknown): { events: StateEvent[]; revision: number } {
  const follow = checkEvents(map);
  return {
    revision: follow.ledger,
    events: follow.events.map(({ set, remove, data, stamp }) => ({
      key: set ?? remove ?? '',
      value: set === undefined ? undefined : data,
      version: stamp,
    })),
  };
}

const checkLease = compileValidator(Type.Object({ permit: Revision }));

/** Reads the id of the lease that the store has granted. */
export function leaseIdOf(map: unknown): number {
  return checkLease(map).permit;
}

/** Returns the body of a request for a lease, before its encoding. */
export function leaseMap(ttlMs: number): unknown {
  return { ttl_ms: Math.round(ttlMs) };
}

/** Escapes a key for a URL parameter, except for its slashes. */
function urlKey(key: string): string {
  return encodeURIComponent(key).replaceAll('%2F', '/');
}

/** Paths of the store's API. `list` starts after the key `after`, and `follow` after the revision `after`. */
export const STATE_PATHS = {
  txn: '/txn',
  leases: '/holds',
  renew: (lease: number) => `/holds/${lease}/renew`,
  release: (lease: number) => `/holds/${lease}`,
  list: (prefix: string, after: string, limit: number) =>
    `/kv?under=${urlKey(prefix)}${after === '' ? '' : `&from=${urlKey(after)}`}&most=${limit}`,
  follow: (prefix: string, after: number, waitMs: number) =>
    `/follow?under=${urlKey(prefix)}&from=${after}&block_ms=${waitMs}`,
} as const;

// --- the store's side of the API, for simulated stores --------------------------------------------------------------

/** A transaction as the store receives it. */
export interface TxnRequest {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

const checkTxn = compileValidator(
  Type.Object({
    if: Type.Array(Type.Object({ k: Type.String(), stamp: Revision })),
    apply: Type.Array(
      Type.Object({
        set: Type.Optional(Type.String()),
        remove: Type.Optional(Type.String()),
        data: Type.Optional(Type.Unknown()),
        permit: Type.Optional(Revision),
      }),
    ),
  }),
);

/** Reads the body of a transaction. */
export function txnRequestOf(map: unknown): TxnRequest {
  const txn = checkTxn(map);
  return {
    conditions: txn.if.map(({ k, stamp }) => ({ key: k, version: stamp })),
    changes: txn.apply.map(({ set, remove, data, permit }) =>
      set !== undefined
        ? { put: set, value: data, ...(permit === undefined ? {} : { lease: permit }) }
        : { remove: remove ?? '' },
    ),
  };
}

/** Returns the response to a transaction, before its encoding. `failed`: the keys whose conditions were not met. */
export function transactionResponseMap(revision: number, failed?: readonly string[]): unknown {
  return { ledger: integer(revision), ...(failed === undefined ? {} : { failed }) };
}

/** Returns one page of a list of keys, before its encoding. */
export function listMap(items: readonly StateItem[], more: boolean, revision: number): unknown {
  return {
    items: items.map(({ key, value, version }) => ({ k: key, data: value, stamp: integer(version) })),
    more,
    ledger: integer(revision),
  };
}

/** Returns the response to a `/follow` request, before its encoding. */
export function eventsMap(events: readonly StateEvent[], revision: number): unknown {
  return {
    ledger: integer(revision),
    events: events.map(({ key, value, version }) =>
      value === undefined
        ? { remove: key, stamp: integer(version) }
        : { set: key, data: value, stamp: integer(version) },
    ),
  };
}

/** Returns the response to a request for a lease, before its encoding. */
export function leaseGrantedMap(lease: number): unknown {
  return { permit: integer(lease) };
}

const checkTtl = compileValidator(Type.Object({ ttl_ms: Type.Number({ minimum: 100, maximum: 600_000 }) }));

/** Reads the time to live of the requested lease, in milliseconds. */
export function leaseTtlOf(map: unknown): number {
  return checkTtl(map).ttl_ms;
}

/** A parsed request to the store. */
export type StateRequest =
  | { readonly kind: 'txn' }
  | { readonly kind: 'grant' }
  | { readonly kind: 'renew' | 'release'; readonly lease: number }
  | { readonly kind: 'list'; readonly prefix: string; readonly after: string; readonly limit: number }
  | { readonly kind: 'follow'; readonly prefix: string; readonly after: number };

/** Parses the method and path of a request. Returns null if the store has no such path. */
export function parseStateRequest(method: string, path: string): StateRequest | null {
  const url = new URL(path, 'http://state');
  const prefix = url.searchParams.get('under') ?? '';
  const segments = url.pathname.split('/').slice(1);
  if (method === 'POST' && segments[0] === 'txn') return { kind: 'txn' };
  if (method === 'POST' && segments[0] === 'holds' && segments.length === 1) return { kind: 'grant' };
  if (segments[0] === 'holds' && segments.length >= 2) {
    return { kind: segments[2] === 'renew' ? 'renew' : 'release', lease: Number(segments[1]) };
  }
  if (method === 'GET' && segments[0] === 'kv') {
    return {
      kind: 'list',
      prefix,
      after: url.searchParams.get('from') ?? '',
      limit: Number(url.searchParams.get('most') ?? 1000),
    };
  }
  if (method === 'GET' && segments[0] === 'follow')
    return { kind: 'follow', prefix, after: Number(url.searchParams.get('from')) };
  return null;
}
