// Maps the messages of the cloud's API (PROTOCOL, "Controller nodes -> cloud") to the names that the code uses.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';

/** A machine as the cloud lists it. */
export interface CloudMachine {
  readonly name: string;
  /** `HOST:PORT` of its worker; empty while it has no worker. */
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** A failed machine stays listed until it is returned. */
  readonly state: 'booting' | 'running' | 'failed';
  /** Seconds from its rental request to the time that the list describes. */
  readonly ageS: number;
}

/** Maximum number of machines in one rental request (PROTOCOL). */
const MAX_MACHINES_PER_RENTAL = 50;

/** Maximum number of machines that one request returns (PROTOCOL). */
export const MAX_MACHINES_PER_RETURN = 100;

/** Maximum number of machines on one page of the list (PROTOCOL). */
const MAX_MACHINES_PER_PAGE = 500;

const Amount = Type.Number({ minimum: 0 });

/** A request to rent machines. */
export interface RentRequest {
  /** Idempotency key: repeating a request that succeeded rents nothing more. Each request has its own id. */
  readonly request: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Returns the body of a rental request, before its encoding. */
export function rentRequestMap({ request, type, zone, spot, count }: RentRequest): unknown {
  return { hire: request, breed: type, yard: zone, borrowed: spot, number: count };
}

const checkNames = compileValidator(Type.Object({ rigs: Type.Array(Type.String({ minLength: 1 })) }));

/** Reads the names of the rented machines from the response to a rental request. */
export function rentedNamesOf(map: unknown): string[] {
  return checkNames(map).rigs;
}

/** Returns the body of a request that returns machines, before its encoding. */
export function returnRequestMap(names: readonly string[]): unknown {
  return { rigs: names };
}

const checkList = compileValidator(
  Type.Object({
    rigs: Type.Array(
      Type.Object({
        name_id: Type.String({ minLength: 1 }),
        addr: Type.Optional(Type.Union([Type.Null(), Type.String()])),
        breed: Type.String(),
        yard: Type.String(),
        borrowed: Type.Boolean(),
        status: Type.Union([Type.Literal('booting'), Type.Literal('running'), Type.Literal('failed')]),
        held_s: Amount,
      }),
    ),
    more: Type.Boolean(),
  }),
);

/** Reads one page of the list of machines. `more` tells whether further pages follow. */
export function machineListOf(map: unknown): { machines: CloudMachine[]; more: boolean } {
  const list = checkList(map);
  return {
    more: list.more,
    machines: list.rigs.map((rig) => ({
      name: rig.name_id,
      addr: rig.addr ?? '',
      type: rig.breed,
      zone: rig.yard,
      spot: rig.borrowed,
      state: rig.status,
      ageS: rig.held_s,
    })),
  };
}

/** Paths of the cloud's API. `list` gets the page after the machine named `after`, or the first page if it is empty. */
export const CLOUD_PATHS = {
  types: '/machine_types',
  rent: '/rentals',
  return: '/rentals/return',
  list: (after: string) => `/rentals?from=${encodeURIComponent(after)}&most=${MAX_MACHINES_PER_PAGE}`,
} as const;

// --- the cloud's side of the API, for simulated clouds -----------------------------------------------------------

const checkRent = compileValidator(
  Type.Object({
    hire: Type.String({ minLength: 1 }),
    breed: Type.String(),
    yard: Type.String(),
    borrowed: Type.Boolean(),
    number: Type.Integer({ minimum: 1, maximum: MAX_MACHINES_PER_RENTAL }),
  }),
);

/** Reads the body of a rental request. */
export function rentRequestOf(map: unknown): RentRequest {
  const { hire, breed, yard, borrowed, number } = checkRent(map);
  return { request: hire, type: breed, zone: yard, spot: borrowed, count: number };
}

/** Returns the response to a rental request, before its encoding. */
export function rentedMap(names: readonly string[]): unknown {
  return { rigs: names };
}

/** Reads the names of the machines to return. */
export function returnedNamesOf(map: unknown): string[] {
  return checkNames(map).rigs;
}

/** Returns one page of the list of machines, before its encoding. */
export function machineListMap(machines: readonly CloudMachine[], more: boolean): unknown {
  return {
    rigs: machines.map(({ name, addr, type, zone, spot, state, ageS }) => ({
      name_id: name,
      addr,
      breed: type,
      yard: zone,
      borrowed: spot,
      status: state,
      held_s: ageS,
    })),
    more,
  };
}

/** A parsed request to the cloud. */
export type CloudRequest =
  | { readonly kind: 'types' | 'rent' | 'return' }
  | { readonly kind: 'list'; readonly after: string; readonly limit: number };

/** Parses the method and path of a request. Returns null if the cloud has no such path. */
export function parseCloudRequest(method: string, path: string): CloudRequest | null {
  const url = new URL(path, 'http://cloud');
  if (url.pathname === CLOUD_PATHS.types) return { kind: 'types' };
  if (url.pathname === CLOUD_PATHS.return) return { kind: 'return' };
  if (url.pathname !== CLOUD_PATHS.rent) return null;
  if (method === 'POST') return { kind: 'rent' };
  return {
    kind: 'list',
    after: url.searchParams.get('from') ?? '',
    limit: Number(url.searchParams.get('most') ?? MAX_MACHINES_PER_PAGE),
  };
}
