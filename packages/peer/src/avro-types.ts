// Avro types that carry the TypeScript type of their values, so that a message's fields are written down once.

/** An Avro type whose values have the TypeScript type `T`. */
export interface AvroType<T> {
  /**
   * Its schema, in Avro's JSON form. A named type is written out where it stands first and by its name after that, as
   * Avro asks.
   * @param defined names of the types that are written out already; this one's are added
   */
  schema(defined: Set<string>): unknown;
  /** Never set: it only carries the type. */
  readonly valueType?: T;
}

/** The types of a record's fields by name. Their order is the order of the bytes. */
export type AvroFields = Readonly<Record<string, AvroType<unknown>>>;

/** The values of an Avro type. */
export type ValueOf<A> = A extends AvroType<infer T> ? T : never;

/** The values of a record with these fields. */
export type FieldValues<F> = { -readonly [K in keyof F]: ValueOf<F[K]> };

function primitive<T>(name: string): AvroType<T> {
  return { schema: () => name };
}

/** Text. */
export const avroString = primitive<string>('string');
/** True or false. */
export const avroBoolean = primitive<boolean>('boolean');
/** Binary data. */
export const avroBytes = primitive<Buffer>('bytes');
/** An integer of 32 bits. */
export const avroInt = primitive<number>('int');
/** An integer of up to 53 bits, as far as a number is exact. */
export const avroLong = primitive<number>('long');
/** A number of 64 bits. */
export const avroDouble = primitive<number>('double');

/** A list of values of one type. */
export function avroArray<T>(items: AvroType<T>): AvroType<T[]> {
  return { schema: (defined) => ({ type: 'array', items: items.schema(defined) }) };
}

/** One of some texts. Their order is stored, not the texts. */
export function avroEnum<const S extends readonly string[]>(name: string, symbols: S): AvroType<S[number]> {
  return named(name, () => ({ type: 'enum', name, symbols: [...symbols] }));
}

/** A record. Neither its name nor those of its fields are in the bytes. */
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
