// The machine types that the cloud offers (PROTOCOL, "GET /machine_types"). A type with an invalid field is not rented;
// other types are unaffected.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';

/** A machine type. An amount of 0 means that it is unknown, except for `gpus` and `cacheGb`, which may be 0. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Size of the image cache, in GB. */
  readonly cacheGb: number;
  /** Rate at which a machine fetches images, in GB/s; machines differ by a third. */
  readonly fetchGbPerS: number;
  /** Price of an ordinary machine per hour. */
  readonly price: number;
  /** Current price of a spot machine per hour. */
  readonly spotPrice: number;
  /** Nominal time from the rental request until the worker runs, in seconds. */
  readonly bootS: number;
  /** The zones that offer the type. */
  readonly zones: readonly string[];
}

/** An invalid field of a listed type. `field` is its wire name. */
export interface InvalidTypeField {
  /** The type's name; null if it has none. */
  readonly type: string | null;
  readonly field: string;
  readonly why: 'not a positive number' | 'not a number' | 'not a name' | 'listed twice' | 'not a list of zones';
}

/** The result of reading a list of machine types. */
export interface MachineTypeList {
  readonly types: readonly MachineType[];
  /** The invalid fields, in the order of the list. */
  readonly invalid: readonly InvalidTypeField[];
}

const checkTypes = compileValidator(Type.Object({ breeds: Type.Array(Type.Unknown()) }));

/** Wire names of the amounts that must be positive: a type's cost and fit can't be computed without them. */
const REQUIRED_AMOUNTS = ['cores', 'memory_gb', 'fetch_gb_per_s', 'price', 'low_price', 'ready_s'] as const;

/** Wire names of the amounts that may be 0. */
const OPTIONAL_AMOUNTS = ['accelerators', 'cache_gb'] as const;

type AmountField = (typeof REQUIRED_AMOUNTS)[number] | (typeof OPTIONAL_AMOUNTS)[number];

/**
 * Reads a list of types. An invalid amount becomes 0 and is reported in `invalid`. A type without a name, or with the
 * name of an earlier one, is left out and reported.
 */
export function readMachineTypes(map: unknown): MachineTypeList {
  const types = new Map<string, MachineType>();
  const invalid: InvalidTypeField[] = [];
  for (const entry of checkTypes(map).breeds) {
    const fields: Record<string, unknown> = typeof entry === 'object' && entry !== null ? { ...entry } : {};
    const { sku } = fields;
    if (typeof sku !== 'string' || sku === '') invalid.push({ type: null, field: 'sku', why: 'not a name' });
    else if (types.has(sku)) invalid.push({ type: sku, field: 'sku', why: 'listed twice' });
    else types.set(sku, readType(sku, fields, invalid));
  }
  return { types: [...types.values()], invalid };
}

/** Reads one type and appends its invalid fields to `invalid`. */
function readType(name: string, fields: Record<string, unknown>, invalid: InvalidTypeField[]): MachineType {
  const amount = (field: AmountField, isOptional: boolean): number => {
    const value = fields[field];
    if (typeof value === 'number' && Number.isFinite(value) && (value > 0 || (isOptional && value === 0))) return value;
    invalid.push({ type: name, field, why: isOptional ? 'not a number' : 'not a positive number' });
    return 0;
  };
  const [cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS] = REQUIRED_AMOUNTS.map((field) => amount(field, false));
  const [gpus, cacheGb] = OPTIONAL_AMOUNTS.map((field) => amount(field, true));
  const zones = Array.isArray(fields.yards) ? fields.yards.filter((zone) => typeof zone === 'string') : [];
  if (zones.length === 0) invalid.push({ type: name, field: 'yards', why: 'not a list of zones' });
  return {
    name,
    cpus: cpus!,
    gpus: gpus!,
    memoryGb: memoryGb!,
    cacheGb: cacheGb!,
    fetchGbPerS: fetchGbPerS!,
    price: price!,
    spotPrice: spotPrice!,
    bootS: bootS!,
    zones,
  };
}

/** Reads a list of types like `readMachineTypes`, without reporting invalid fields. */
export function machineTypesOf(map: unknown): readonly MachineType[] {
  return readMachineTypes(map).types;
}

/** Whether all amounts that a rental decision needs are known. */
export function isRentable({ cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS }: MachineType): boolean {
  return [cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS].every((amount) => amount > 0);
}

/** Returns the list of types as the cloud sends it, before its encoding. */
export function machineTypesMap(types: readonly MachineType[]): unknown {
  return {
    breeds: types.map((type) => ({
      sku: type.name,
      cores: type.cpus,
      accelerators: type.gpus,
      memory_gb: type.memoryGb,
      cache_gb: type.cacheGb,
      fetch_gb_per_s: type.fetchGbPerS,
      price: type.price,
      low_price: type.spotPrice,
      ready_s: type.bootS,
      yards: type.zones,
    })),
  };
}
