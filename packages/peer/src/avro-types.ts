// Avro types that carry the TypeScript type of their values, so that each message's fields are declared only once.

/** An Avro type whose values have the TypeScript type `T`. */
export interface AvroType<T> {
  /**
   * Returns the schema in Avro's JSON form. As Avro requires, a named type is defined at its first use and referred to
   * by its name afterwards.
   * @param defined names of the types that are already defined; the names that this schema defines are added
   */
  schema(defined: Set<string>): unknown;
  /** Exists only at compile time, to carry the type; never set. */
  readonly valueType?: T;
}

/** The types of a record's fields by name. Fields are encoded in this order. */
export type AvroFields = Readonly<Record<string, AvroType<unknown>>>;

/** The TypeScript type of the values of an Avro type. */
export type ValueOf<A> = A extends AvroType<infer T> ? T : never;

/** The TypeScript type of a record with these fields. */
export type FieldValues<F> = { -readonly [K in keyof F]: ValueOf<F[K]> };

function primitive<T>(name: string): AvroType<T> {
  return { schema: () => name };
}

/** A string. */
export const avroString = primitive<string>('string');
/** A boolean. */
export const avroBoolean = primitive<boolean>('boolean');
/** Binary data. */
export const avroBytes = primitive<Buffer>('bytes');
/** A 32-bit integer. */
export const avroInt = primitive<number>('int');
/** An integer of up to 53 bits, the range in which a JavaScript number is exact. */
export const avroLong = primitive<number>('long');
/** A 64-bit floating-point number. */
export const avroDouble = primitive<number>('double');

/** A list of values of one type. */
export function avroArray<T>(items: AvroType<T>): AvroType<T[]> {
  return { schema: (defined) => ({ type: 'array', items: items.schema(defined) }) };
}

/** One of the strings in `symbols`. It is encoded as its index, so their order is part of the encoding. */
export function avroEnum<const S extends readonly string[]>(name: string, symbols: S): AvroType<S[number]> {
  return named(name, () => ({ type: 'enum', name, symbols: [...symbols] }));
}

/** A record. The names of the record and of its fields are not encoded. */
export function avroRecord<F extends AvroFields>(name: string, fields: F): AvroType<FieldValues<F>> {
  return named(name, (defined) => ({
    type: 'record',
    name,
    fields: Object.entries(fields).map(([field, type]) => ({ name: field, type: type.schema(defined) })),
  }));
}

function named<T>(name: string, define: (defined: Set<string>) => unknown): AvroType<T> {
  return {
    schema: (defined) => {
      if (defined.has(name)) return name;
      defined.add(name);
      return define(defined);
    },
  };
}
