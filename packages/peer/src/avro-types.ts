// Avro types that carry the TypeScript type of their values, so that each message's fields are declared only once.
import type { AvroScanner } from './avro-scanner';

/** An Avro type whose values have the TypeScript type `T`. */
export interface AvroType<T> {
  /**
   * Returns the schema in Avro's JSON form. As Avro requires, a named type is defined at its first use and referred to
   * by its name afterwards.
   * @param defined names of the types that are already defined; the names that this schema defines are added
   */
  schema(defined: Set<string>): unknown;
  /** Walks over an encoded value. Throws a `MalformedPayloadError` if the bytes are not one. */
  scan(scanner: AvroScanner): void;
  /** The fewest bytes that an encoded value takes. */
  readonly minBytes: number;
  /** Exists only at compile time, to carry the type; never set. */
  readonly valueType?: T;
}

/** The types of a record's fields by name. Fields are encoded in this order. */
export type AvroFields = Readonly<Record<string, AvroType<unknown>>>;

/** The TypeScript type of the values of an Avro type. */
export type ValueOf<A> = A extends AvroType<infer T> ? T : never;

/** The TypeScript type of a record with these fields. */
export type FieldValues<F> = { -readonly [K in keyof F]: ValueOf<F[K]> };

function primitive<T>(name: string, minBytes: number, scan: (scanner: AvroScanner) => void): AvroType<T> {
  return { schema: () => name, scan, minBytes };
}

/** Bytes of a 64-bit floating-point number. */
const DOUBLE_BYTES = 8;

function scanInteger(scanner: AvroScanner): void {
  scanner.integer();
  scanner.skip(0);
}

function scanSized(scanner: AvroScanner): void {
  scanner.skipSized();
}

/** A string. */
export const avroString = primitive<string>('string', 1, scanSized);
/** A boolean. */
export const avroBoolean = primitive<boolean>('boolean', 1, (scanner) => scanner.skip(1));
/** Binary data. */
export const avroBytes = primitive<Buffer>('bytes', 1, scanSized);
/** A 32-bit integer. */
export const avroInt = primitive<number>('int', 1, scanInteger);
/** An integer of up to 53 bits, the range in which a JavaScript number is exact. */
export const avroLong = primitive<number>('long', 1, scanInteger);
/** A 64-bit floating-point number. */
export const avroDouble = primitive<number>('double', DOUBLE_BYTES, (scanner) => scanner.skip(DOUBLE_BYTES));

/** A list of values of one type. */
export function avroArray<T>(items: AvroType<T>): AvroType<T[]> {
  return {
    schema: (defined) => ({ type: 'array', items: items.schema(defined) }),
    scan: (scanner) => {
      scanner.open();
      for (let count = scanner.itemCount(items.minBytes); count > 0; count = scanner.itemCount(items.minBytes))
        for (let index = 0; index < count; index++) items.scan(scanner);
    },
    minBytes: 1,
  };
}

/** One of the strings in `symbols`. It is encoded as its index, so their order is part of the encoding. */
export function avroEnum<const S extends readonly string[]>(name: string, symbols: S): AvroType<S[number]> {
  return {
    schema: named(name, () => ({ type: 'enum', name, symbols: [...symbols] })),
    scan: (scanner) => void scanner.choice(symbols.length),
    minBytes: 1,
  };
}

/** A record. The names of the record and of its fields are not encoded. */
export function avroRecord<F extends AvroFields>(name: string, fields: F): AvroType<FieldValues<F>> {
  const types = Object.values(fields);
  return {
    schema: named(name, (defined) => ({
      type: 'record',
      name,
      fields: Object.entries(fields).map(([field, type]) => ({ name: field, type: type.schema(defined) })),
    })),
    scan: (scanner) => {
      scanner.open();
      for (const type of types) type.scan(scanner);
    },
    minBytes: types.reduce((sum, type) => sum + type.minBytes, 0),
  };
}

/** Returns a function that defines a named type at its first use, and refers to it afterwards. */
function named(name: string, define: (defined: Set<string>) => unknown): (defined: Set<string>) => unknown {
  return (defined) => {
    if (defined.has(name)) return name;
    defined.add(name);
    return define(defined);
  };
}
