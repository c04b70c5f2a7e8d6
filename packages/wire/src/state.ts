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
