import { Type } from '@sinclair/typebox';
import { checker } from './check';

export interface CloudMachine {
  readonly name: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly ageS: number;
}

export const RENT_MOST = 50;
export const RETURN_MOST = 100;
export const LIST_MOST = 500;

const Num = Type.Number({ minimum: 0 });

export interface RentRequest {
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export function rentMap(r: RentRequest): unknown {
  return { hire: r.request, breed: r.type, yard: r.zone, borrowed: r.spot, number: r.count };
}

const checkNames = checker(Type.Object({ rigs: Type.Array(Type.String({ minLength: 1 })) }));

export function rentedNamesOf(map: unknown): string[] {
  return checkNames(map).rigs;
}

export function returnMap(names: readonly string[]): unknown {
  return { rigs: names };
}

const checkList = checker(
  Type.Object({
    rigs: Type.Array(
      Type.Object({
        name_id: Type.String({ minLength: 1 }),
        addr: Type.Optional(Type.Union([Type.Null(), Type.String()])),
        breed: Type.String(),
        yard: Type.String(),
        borrowed: Type.Boolean(),
        status: Type.Union([Type.Literal('booting'), Type.Literal('running'), Type.Literal('failed')]),
        held_s: Num,
      }),
    ),
    more: Type.Boolean(),
  }),
);

export function machineListOf(map: unknown): { machines: CloudMachine[]; more: boolean } {
  const list = checkList(map);
  return {
    more: list.more,
    machines: list.rigs.map((m) => ({
      name: m.name_id,
      addr: m.addr ?? '',
      type: m.breed,
      zone: m.yard,
      spot: m.borrowed,
      state: m.status,
      ageS: m.held_s,
    })),
  };
}

export const CLOUD_PATHS = {
  types: '/machine_types',
  rent: '/rentals',
  giveBack: '/rentals/return',
  list: (after: string) => `/rentals?from=${encodeURIComponent(after)}&most=${LIST_MOST}`,
} as const;

// --- the other side of the protocol: for stand-ins of the cloud ------------------------------------------------------

const checkRent = checker(
  Type.Object({
    hire: Type.String({ minLength: 1 }),
    breed: Type.String(),
    yard: Type.String(),
    borrowed: Type.Boolean(),
    number: Type.Integer({ minimum: 1, maximum: RENT_MOST }),
  }),
);
export function rentRequestOf(map: unknown): RentRequest {
  const r = checkRent(map);
  return { request: r.hire, type: r.breed, zone: r.yard, spot: r.borrowed, count: r.number };
}

export function rentedMap(names: readonly string[]): unknown {
  return { rigs: names };
}

export function returnedNamesOf(map: unknown): string[] {
  return checkNames(map).rigs;
}

export function machineListMap(machines: readonly CloudMachine[], more: boolean): unknown {
  return {
    rigs: machines.map((m) => ({
      name_id: m.name,
      addr: m.addr,
      breed: m.type,
      yard: m.zone,
      borrowed: m.spot,
      status: m.state,
      held_s: m.ageS,
    })),
    more,
  };
}

export type CloudRequest =
  | { readonly kind: 'types' | 'rent' | 'return' }
  | { readonly kind: 'list'; readonly after: string; readonly limit: number };

export function parseCloudRequest(method: string, path: string): CloudRequest | null {
  const url = new URL(path, 'http://cloud');
  if (url.pathname === CLOUD_PATHS.types) return { kind: 'types' };
  if (url.pathname === CLOUD_PATHS.giveBack) return { kind: 'return' };
  if (url.pathname !== CLOUD_PATHS.rent) return null;
  if (method === 'POST') return { kind: 'rent' };
  return {
    kind: 'list',
    after: url.searchParams.get('from') ?? '',
    limit: Number(url.searchParams.get('most') ?? LIST_MOST),
  };
}
