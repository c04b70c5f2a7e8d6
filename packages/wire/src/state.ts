import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { integer } from './codec';

export interface StateItem {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

export interface Condition {
  readonly key: string;
  /** 0: the key must not exist. */
  readonly version: number;
}

export type Change =
  { readonly put: string; readonly value: unknown; readonly lease?: number } | { readonly remove: string };

export interface StateEvent {
  readonly key: string;
  /** Undefined when the key was removed. */
  readonly value: unknown;
  readonly version: number;
}

const Rev = Type.Integer({ minimum: 0 });

export function txnMap(conditions: readonly Condition[], changes: readonly Change[]): unknown {
  return {
    if: conditions.map((c) => ({ k: c.key, stamp: integer(c.version) })),
    apply: changes.map((c) =>
      'put' in c
        ? { set: c.put, data: c.value, ...(c.lease === undefined ? {} : { permit: integer(c.lease) }) }
        : { remove: c.remove },
    ),
  };
}

const checkRevision = checker(Type.Object({ ledger: Rev }));
export function revisionOf(map: unknown): number {
  return checkRevision(map).ledger;
}

const checkList = checker(
  Type.Object({
    items: Type.Array(Type.Object({ k: Type.String(), data: Type.Unknown(), stamp: Rev })),
    more: Type.Boolean(),
    ledger: Rev,
  }),
);
export function listOf(map: unknown): { items: StateItem[]; more: boolean; revision: number } {
  const list = checkList(map);
  return {
    items: list.items.map((i) => ({ key: i.k, value: i.data, version: i.stamp })),
    more: list.more,
    revision: list.ledger,
  };
}

const checkEvents = checker(
  Type.Object({
    ledger: Rev,
    events: Type.Array(
      Type.Object({
        set: Type.Optional(Type.String()),
        remove: Type.Optional(Type.String()),
        data: Type.Optional(Type.Unknown()),
        stamp: Rev,
      }),
    ),
  }),
);
export function eventsOf(map: unknown): { events: StateEvent[]; revision: number } {
  const follow = checkEvents(map);
  return {
    revision: follow.ledger,
    events: follow.events.map((e) => ({
      key: e.set ?? e.remove ?? '',
      value: e.set === undefined ? undefined : e.data,
      version: e.stamp,
    })),
  };
}

const checkLease = checker(Type.Object({ permit: Rev }));
export function leaseOf(map: unknown): number {
  return checkLease(map).permit;
}

export function leaseMap(ttlMs: number): unknown {
  return { ttl_ms: Math.round(ttlMs) };
}

/** Keys keep their slashes unescaped. */
function word(key: string): string {
  return encodeURIComponent(key).replaceAll('%2F', '/');
}

export const STATE_PATHS = {
  txn: '/txn',
  leases: '/holds',
  renew: (lease: number) => `/holds/${lease}/renew`,
  release: (lease: number) => `/holds/${lease}`,
  list: (prefix: string, after: string, limit: number) =>
    `/kv?under=${word(prefix)}${after === '' ? '' : `&from=${word(after)}`}&most=${limit}`,
  follow: (prefix: string, after: number, waitMs: number) =>
    `/follow?under=${word(prefix)}&from=${after}&block_ms=${waitMs}`,
} as const;

// --- the other side of the protocol: for stand-ins of the state service ----------------------------------------------

export interface TxnRequest {
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

const checkTxn = checker(
  Type.Object({
    if: Type.Array(Type.Object({ k: Type.String(), stamp: Rev })),
    apply: Type.Array(
      Type.Object({
        set: Type.Optional(Type.String()),
        remove: Type.Optional(Type.String()),
        data: Type.Optional(Type.Unknown()),
        permit: Type.Optional(Rev),
      }),
    ),
  }),
);

export function txnRequestOf(map: unknown): TxnRequest {
  const txn = checkTxn(map);
  return {
    conditions: txn.if.map((c) => ({ key: c.k, version: c.stamp })),
    changes: txn.apply.map((c) =>
      c.set !== undefined
        ? { put: c.set, value: c.data, ...(c.permit === undefined ? {} : { lease: c.permit }) }
        : { remove: c.remove ?? '' },
    ),
  };
}

export function revisionMap(revision: number, failed?: readonly string[]): unknown {
  return { ledger: integer(revision), ...(failed === undefined ? {} : { failed }) };
}

export function listMap(items: readonly StateItem[], more: boolean, revision: number): unknown {
  return {
    items: items.map((i) => ({ k: i.key, data: i.value, stamp: integer(i.version) })),
    more,
    ledger: integer(revision),
  };
}

export function eventsMap(events: readonly StateEvent[], revision: number): unknown {
  return {
    ledger: integer(revision),
    events: events.map((e) =>
      e.value === undefined
        ? { remove: e.key, stamp: integer(e.version) }
        : { set: e.key, data: e.value, stamp: integer(e.version) },
    ),
  };
}

export function leaseGrantedMap(lease: number): unknown {
  return { permit: integer(lease) };
}

const checkTtl = checker(Type.Object({ ttl_ms: Type.Number({ minimum: 100, maximum: 600_000 }) }));
export function leaseTtlOf(map: unknown): number {
  return checkTtl(map).ttl_ms;
}

export type StateRequest =
  | { readonly kind: 'txn' }
  | { readonly kind: 'grant' }
  | { readonly kind: 'renew' | 'release'; readonly lease: number }
  | { readonly kind: 'list'; readonly prefix: string; readonly after: string; readonly limit: number }
  | { readonly kind: 'follow'; readonly prefix: string; readonly after: number };

export function parseStateRequest(method: string, path: string): StateRequest | null {
  const url = new URL(path, 'http://state');
  const prefix = url.searchParams.get('under') ?? '';
  const words = url.pathname.split('/').slice(1);
  if (method === 'POST' && words[0] === 'txn') return { kind: 'txn' };
  if (method === 'POST' && words[0] === 'holds' && words.length === 1) return { kind: 'grant' };
  if (words[0] === 'holds' && words.length >= 2) {
    return { kind: words[2] === 'renew' ? 'renew' : 'release', lease: Number(words[1]) };
  }
  if (method === 'GET' && words[0] === 'kv') {
    return {
      kind: 'list',
      prefix,
      after: url.searchParams.get('from') ?? '',
      limit: Number(url.searchParams.get('most') ?? 1000),
    };
  }
  if (method === 'GET' && words[0] === 'follow')
    return { kind: 'follow', prefix, after: Number(url.searchParams.get('from')) };
  return null;
}
