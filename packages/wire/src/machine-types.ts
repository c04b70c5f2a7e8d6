// The machine types that the cloud offers. A field that makes no sense costs its type the renting, never the other types.
import { Type } from '@sinclair/typebox';
import { checker } from './check';

export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  /** 0, like any amount below: not known. */
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A field of a listed type that can't be used. */
export interface InvalidTypeField {
  /** The type's name; null: it has none. */
  readonly type: string | null;
  readonly field: string;
  readonly why: 'not a positive number' | 'not a number' | 'not a name' | 'listed twice' | 'not a list of zones';
}

export interface MachineTypeList {
  readonly types: readonly MachineType[];
  readonly invalid: readonly InvalidTypeField[];
}

const checkTypes = checker(Type.Object({ breeds: Type.Array(Type.Unknown()) }));

/** Amounts without which a machine can't be rented: nothing could be reckoned by them. */
const POSITIVE = ['cores', 'memory_gb', 'fetch_gb_per_s', 'price', 'low_price', 'ready_s'] as const;

/** Amounts of which a machine may have none. */
const OPTIONAL = ['accelerators', 'cache_gb'] as const;

type AmountField = (typeof POSITIVE)[number] | (typeof OPTIONAL)[number];

/** Reads a list of types. An amount that makes no sense reads as 0, and is named in `odd`. */
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

function readType(name: string, fields: Record<string, unknown>, invalid: InvalidTypeField[]): MachineType {
  const amount = (field: AmountField, isOptional: boolean): number => {
    const value = fields[field];
    if (typeof value === 'number' && Number.isFinite(value) && (value > 0 || (isOptional && value === 0))) return value;
    invalid.push({ type: name, field, why: isOptional ? 'not a number' : 'not a positive number' });
    return 0;
  };
  const [cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS] = POSITIVE.map((field) => amount(field, false));
  const [gpus, cacheGb] = OPTIONAL.map((field) => amount(field, true));
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

export function machineTypesOf(map: unknown): readonly MachineType[] {
  return readMachineTypes(map).types;
}

/** Whether all is known of the type that a rental has to be weighed by. */
export function isRentable({ cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS }: MachineType): boolean {
  return [cpus, memoryGb, fetchGbPerS, price, spotPrice, bootS].every((amount) => amount > 0);
}

export function machineTypesMap(types: readonly MachineType[]): unknown {
  return {
    breeds: types.map((t) => ({
      sku: t.name,
      cores: t.cpus,
      accelerators: t.gpus,
      memory_gb: t.memoryGb,
      cache_gb: t.cacheGb,
      fetch_gb_per_s: t.fetchGbPerS,
      price: t.price,
      low_price: t.spotPrice,
      ready_s: t.bootS,
      yards: t.zones,
    })),
  };
}
