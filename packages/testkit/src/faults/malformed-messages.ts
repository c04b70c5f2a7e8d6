// Bytes that are not the message that they should be: valid messages that are changed, cut, nested or repeated, lists and
// texts that claim to be longer than the bytes that follow, and bytes without any form.
import { Buffer } from 'node:buffer';

/** Formats in which lengths are written. */
export type ByteFormat = 'messagepack' | 'avro';

/** The longest run of one byte, and of repeated messages, in bytes. */
const MAX_REPEATED_BYTES = 60_000;

/** The most bits of a claimed length. */
const LENGTH_BITS: Record<ByteFormat, number> = { messagepack: 32, avro: 53 };

/** First bytes of MessagePack values whose length follows, with the bytes of the length. */
const SIZED_TYPES: readonly (readonly [firstByte: number, lengthBytes: number])[] = [
  [0xc4, 1],
  [0xc5, 2],
  [0xc6, 4],
  [0xc7, 1],
  [0xc8, 2],
  [0xc9, 4],
  [0xd9, 1],
  [0xda, 2],
  [0xdb, 4],
  [0xdc, 2],
  [0xdd, 4],
  [0xde, 2],
  [0xdf, 4],
  [0xdd, 4],
  [0xdf, 4],
];

/** MessagePack values of one byte or a few, of which a message can hold very many. */
const SMALL_VALUES: readonly (readonly number[])[] = [
  [0x80],
  [0x90],
  [0x91],
  [0xa0],
  [0xc0],
  [0xc1],
  [0xd4, 0x72, 0x40],
  [0x81, 0xa1, 0x61],
  [0x91, 0x80],
  [0x81, 0xa0, 0x90],
];

/** Beginnings of lists and maps with one value. */
const NESTING_VALUES: readonly (readonly number[])[] = [[0x91], [0x81, 0xa1, 0x61], [0xdc, 0x00, 0x01]];

/** A text of one byte that begins a character of four, so that a careless reader takes what follows for the rest. */
const CUT_CHARACTER: readonly number[] = [0xa1, 0xf0, 0xa4];

/** Draws malformed messages from seeded random numbers. */
export class MalformedMessages {
  /** @param random returns a number from 0 up to but excluding 1 */
  constructor(
    readonly random: () => number,
    readonly format: ByteFormat,
  ) {}

  /** Returns bytes that are derived from a valid message, of `maxBytes` at the most. */
  from(valid: Buffer, maxBytes: number): Buffer {
    let bytes = this.#derived(valid);
    while (this.random() < 0.3) bytes = this.#derived(bytes);
    return bytes.subarray(0, maxBytes);
  }

  #derived(bytes: Buffer): Buffer {
    const change = this.#pick([
      () => this.#changed(bytes),
      () => bytes.subarray(0, this.#below(bytes.length + 1)),
      () => this.#inserted(bytes, this.#claims()),
      () => this.#inserted(bytes, this.#claims()),
      () => this.#overwritten(bytes, this.#claims()),
      () => this.#inserted(bytes, this.#repeated(Buffer.from(this.#pick(SMALL_VALUES)))),
      () => Buffer.concat([this.#repeated(this.#claim()), bytes]),
      () => this.#nested(bytes),
      () => this.#repeated(bytes),
      () => Buffer.concat([this.#claims(), this.#noise()]),
      () => this.#noise(),
    ]);
    return change();
  }

  /** Some bytes are replaced by others. */
  #changed(bytes: Buffer): Buffer {
    const copy = Buffer.from(bytes);
    for (let count = 1 + this.#below(4); count > 0 && copy.length > 0; count--)
      copy[this.#below(copy.length)] = this.#below(256);
    return copy;
  }

  #inserted(bytes: Buffer, more: Buffer): Buffer {
    const at = this.#below(bytes.length + 1);
    return Buffer.concat([bytes.subarray(0, at), more, bytes.subarray(at)]);
  }

  #overwritten(bytes: Buffer, more: Buffer): Buffer {
    const at = this.#below(bytes.length + 1);
    return Buffer.concat([bytes.subarray(0, at), more, bytes.subarray(at + more.length)]);
  }

  /** A list in a list in a list, or a map in a map, as deep as a message can hold. */
  #nested(bytes: Buffer): Buffer {
    const head = Buffer.from(this.#pick(NESTING_VALUES));
    return Buffer.concat([Buffer.alloc(this.#below(MAX_REPEATED_BYTES), head), bytes]);
  }

  /** The same bytes many times. */
  #repeated(bytes: Buffer): Buffer {
    const most = Math.max(1, Math.floor(MAX_REPEATED_BYTES / Math.max(1, bytes.length)));
    const times = 1 + Math.floor(most ** this.random());
    return Buffer.alloc(bytes.length * times, bytes);
  }

  /** A few claims in a row: lists that begin with a list, each longer than the bytes. */
  #claims(): Buffer {
    return Buffer.concat(Array.from({ length: 1 + this.#below(3) }, () => this.#claim()));
  }

  /** The beginning of a value that claims a length; lengths of all magnitudes are alike frequent. */
  #claim(): Buffer {
    const length = Math.floor(2 ** (this.random() * LENGTH_BITS[this.format]));
    if (this.format === 'avro') return varint(this.random() < 0.2 ? -length : length);
    if (this.random() < 0.1) return Buffer.from(CUT_CHARACTER);
    const [firstByte, lengthBytes] = this.#pick(SIZED_TYPES);
    const bytes = Buffer.alloc(1 + lengthBytes, firstByte);
    bytes.writeUIntBE(Math.min(length, 256 ** lengthBytes - 1), 1, lengthBytes);
    return bytes;
  }

  #noise(): Buffer {
    return Buffer.from(Array.from({ length: this.#below(64) }, () => this.#below(256)));
  }

  #below(limit: number): number {
    return Math.floor(this.random() * limit);
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#below(values.length)]!;
  }
}

/** An integer as Avro writes it: seven bits a byte, the sign in the lowest one. */
export function varint(value: number): Buffer {
  const bytes: number[] = [];
  let rest = value < 0 ? -value * 2 - 1 : value * 2;
  while (rest >= 0x80) {
    bytes.push((rest % 0x80) + 0x80);
    rest = Math.floor(rest / 0x80);
  }
  bytes.push(rest);
  return Buffer.from(bytes);
}
