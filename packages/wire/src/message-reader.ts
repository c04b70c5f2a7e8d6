// Decodes MessagePack from senders that may claim anything. What a message takes in memory and steps follows from the
// bytes that arrived, not from the lengths that they claim.
import { Buffer } from 'node:buffer';

/** Values nested deeper than this are skipped and read as null. No field that the protocol defines is so deep. */
const MAX_DEPTH = 64;

/** Memory that the values of one message may take, in bytes. Those of a message of 64 KiB always take less. */
export const MAX_DECODED_BYTES = 16 * 1024 * 1024;

/** Memory of a list without its items, of a map without its entries, and of an item of a list, in bytes. */
const LIST_BYTES = 48;
const MAP_BYTES = 64;
const ITEM_BYTES = 8;

/** Memory of an entry of a map beside its value, in bytes: a key that no other map has takes a description. */
const ENTRY_BYTES = 96;

/** Memory of a text beside its characters, in bytes. */
const TEXT_BYTES = 24;

/** Texts of up to this length are read character by character, which is faster than a call of the platform. */
const SHORT_TEXT_BYTES = 24;

/** Number of keys that are remembered, a power of two. */
const REMEMBERED_KEYS = 256;

/** First bytes of values. Those below `FIXED_MAP` and from `NEGATIVE` on are numbers themselves. */
const FIXED_MAP = 0x80;
const FIXED_LIST = 0x90;
const FIXED_TEXT = 0xa0;
const NIL = 0xc0;
const FALSE = 0xc2;
const TRUE = 0xc3;
const FLOAT_32 = 0xca;
const FLOAT_64 = 0xcb;
const UINT_8 = 0xcc;
const UINT_16 = 0xcd;
const UINT_32 = 0xce;
const UINT_64 = 0xcf;
const INT_8 = 0xd0;
const INT_16 = 0xd1;
const INT_32 = 0xd2;
const INT_64 = 0xd3;
const TEXT_8 = 0xd9;
const TEXT_16 = 0xda;
const TEXT_32 = 0xdb;
const LIST_16 = 0xdc;
const LIST_32 = 0xdd;
const MAP_16 = 0xde;
const MAP_32 = 0xdf;
const NEGATIVE = 0xe0;

/** Why bytes are not a message; senders see it. */
export type MessageFault =
  'truncated' | 'bytes after the message' | 'too many values' | 'a key that is not text' | 'a type that is not allowed';

/** Thrown by `readMessage`. */
export class UnreadableMessageError extends Error {
  override readonly name = 'UnreadableMessageError';

  constructor(readonly fault: MessageFault) {
    super(fault);
  }
}

/** A key that was read before. */
interface RememberedKey {
  readonly bytes: Uint8Array;
  readonly text: string;
}

/** Keys by a hash of their bytes. Messages have few different keys, and each of them many times. */
const rememberedKeys: (RememberedKey | undefined)[] = new Array<RememberedKey | undefined>(REMEMBERED_KEYS).fill(
  undefined,
);

/** Reads one message. */
class MessageReader {
  #position = 0;
  /** Values that the open lists and maps still lack; each of them takes a byte at least. */
  #missingValues = 0;
  #decodedBytes = 0;

  constructor(readonly bytes: Buffer) {}

  readMessage(): unknown {
    const value = this.#readValue(0);
    if (this.#position !== this.bytes.length) throw new UnreadableMessageError('bytes after the message');
    return value;
  }

  #readValue(depth: number): unknown {
    const firstByte = this.bytes[this.#advance(1)]!;
    if (firstByte < FIXED_MAP) return firstByte;
    if (firstByte >= NEGATIVE) return firstByte - 256;
    if (firstByte >= FIXED_TEXT && firstByte < NIL) return this.#readText(firstByte - FIXED_TEXT);
    if (firstByte < FIXED_LIST) return this.#readMap(firstByte - FIXED_MAP, depth);
    if (firstByte < FIXED_TEXT) return this.#readList(firstByte - FIXED_LIST, depth);
    return firstByte < TEXT_8 ? this.#readScalar(firstByte) : this.#readSized(firstByte, depth);
  }

  #readScalar(firstByte: number): unknown {
    const { bytes } = this;
    switch (firstByte) {
      case NIL:
        return null;
      case FALSE:
        return false;
      case TRUE:
        return true;
      case FLOAT_32:
        return bytes.readFloatBE(this.#advance(4));
      case FLOAT_64:
        return bytes.readDoubleBE(this.#advance(8));
      case UINT_8:
        return bytes[this.#advance(1)]!;
      case UINT_16:
        return bytes.readUInt16BE(this.#advance(2));
      case UINT_32:
        return bytes.readUInt32BE(this.#advance(4));
      case UINT_64:
        return bytes.readUInt32BE(this.#advance(4)) * 2 ** 32 + bytes.readUInt32BE(this.#advance(4));
      case INT_8:
        return bytes.readInt8(this.#advance(1));
      case INT_16:
        return bytes.readInt16BE(this.#advance(2));
      case INT_32:
        return bytes.readInt32BE(this.#advance(4));
      case INT_64:
        return bytes.readInt32BE(this.#advance(4)) * 2 ** 32 + bytes.readUInt32BE(this.#advance(4));
      default:
        throw new UnreadableMessageError('a type that is not allowed');
    }
  }

  /** Reads a text, list or map whose length follows the first byte. */
  #readSized(firstByte: number, depth: number): unknown {
    switch (firstByte) {
      case TEXT_8:
      case TEXT_16:
      case TEXT_32:
        return this.#readText(this.#readLength(1 << (firstByte - TEXT_8)));
      case LIST_16:
      case LIST_32:
        return this.#readList(this.#readLength(firstByte === LIST_16 ? 2 : 4), depth);
      case MAP_16:
      case MAP_32:
        return this.#readMap(this.#readLength(firstByte === MAP_16 ? 2 : 4), depth);
      default:
        throw new UnreadableMessageError('a type that is not allowed');
    }
  }

  #readLength(lengthBytes: number): number {
    return this.bytes.readUIntBE(this.#advance(lengthBytes), lengthBytes);
  }

  #readText(length: number): string {
    const start = this.#advance(length);
    this.#use(TEXT_BYTES + length);
    return this.#textAt(start, length);
  }

  #textAt(start: number, length: number): string {
    const { bytes } = this;
    if (length > SHORT_TEXT_BYTES) return bytes.toString('utf8', start, start + length);
    const end = start + length;
    let text = '';
    let index = start;
    for (; index + 4 <= end; index += 4) {
      const [a, b, c, d] = [bytes[index]!, bytes[index + 1]!, bytes[index + 2]!, bytes[index + 3]!];
      if ((a | b | c | d) >= FIXED_MAP) return bytes.toString('utf8', start, end);
      text += String.fromCharCode(a, b, c, d);
    }
    for (; index < end; index++) {
      const byte = bytes[index]!;
      if (byte >= FIXED_MAP) return bytes.toString('utf8', start, end);
      text += String.fromCharCode(byte);
    }
    return text;
  }

  #readList(length: number, depth: number): unknown[] | null {
    this.#open(length, LIST_BYTES + ITEM_BYTES * length);
    if (depth === MAX_DEPTH) return this.#skipValues(length);
    const list = new Array<unknown>(length);
    for (let index = 0; index < length; index++) {
      this.#missingValues--;
      list[index] = this.#readValue(depth + 1);
    }
    return list;
  }

  #readMap(length: number, depth: number): Record<string, unknown> | null {
    this.#open(2 * length, MAP_BYTES + ENTRY_BYTES * length);
    if (depth === MAX_DEPTH) return this.#skipValues(2 * length);
    const map: Record<string, unknown> = {};
    for (let index = 0; index < length; index++) {
      this.#missingValues -= 2;
      const key = this.#readKey();
      const value = this.#readValue(depth + 1);
      // Assigned like other keys, this one would replace the prototype.
      if (key !== '__proto__') map[key] = value;
    }
    return map;
  }

  #readKey(): string {
    const firstByte = this.bytes[this.#advance(1)]!;
    if (firstByte >= FIXED_TEXT && firstByte < NIL) return this.#readShortKey(firstByte - FIXED_TEXT);
    if (firstByte < TEXT_8 || firstByte > TEXT_32) throw new UnreadableMessageError('a key that is not text');
    return this.#readText(this.#readLength(1 << (firstByte - TEXT_8)));
  }

  /** Returns the same string for equal keys, which makes maps cheaper to build. */
  #readShortKey(length: number): string {
    const { bytes } = this;
    const start = this.#advance(length);
    if (length === 0) return '';
    const hash = length * 31 + bytes[start]! * 7 + bytes[start + length - 1]! * 3 + bytes[start + (length >> 1)]!;
    const slot = hash & (REMEMBERED_KEYS - 1);
    const remembered = rememberedKeys[slot];
    if (remembered !== undefined && isEqualAt(bytes, start, length, remembered.bytes)) return remembered.text;
    const text = this.#textAt(start, length);
    rememberedKeys[slot] = { bytes: Uint8Array.from(bytes.subarray(start, start + length)), text };
    return text;
  }

  /** Skips values with all that they contain; without recursion, as they may be nested as deep as they are long. */
  #skipValues(count: number): null {
    for (let remaining = count; remaining > 0; remaining--) {
      this.#missingValues--;
      remaining += this.#skipValue();
    }
    return null;
  }

  /** Skips the beginning of a value, and returns how many values it contains. */
  #skipValue(): number {
    const firstByte = this.bytes[this.#advance(1)]!;
    const isFixedText = firstByte >= FIXED_TEXT && firstByte < NIL;
    if (isFixedText) this.#advance(firstByte - FIXED_TEXT);
    else if (firstByte >= FIXED_MAP && firstByte < FIXED_LIST) return this.#open(2 * (firstByte - FIXED_MAP), 0);
    else if (firstByte >= FIXED_LIST && firstByte < FIXED_TEXT) return this.#open(firstByte - FIXED_LIST, 0);
    else if (firstByte >= TEXT_8 && firstByte <= TEXT_32) this.#advance(this.#readLength(1 << (firstByte - TEXT_8)));
    else if (firstByte >= LIST_16 && firstByte <= MAP_32) {
      const length = this.#readLength(firstByte === LIST_16 || firstByte === MAP_16 ? 2 : 4);
      return this.#open(firstByte < MAP_16 ? length : 2 * length, 0);
    } else if (firstByte >= NIL && firstByte < NEGATIVE) this.#readScalar(firstByte);
    return 0;
  }

  /** Begins a list or map of that many values, which must at least have room in the bytes that are left. */
  #open(values: number, decodedBytes: number): number {
    this.#missingValues += values;
    if (this.#missingValues > this.bytes.length - this.#position) throw new UnreadableMessageError('truncated');
    this.#use(decodedBytes);
    return values;
  }

  /** Moves over that many bytes, and returns where they begin. */
  #advance(byteCount: number): number {
    const start = this.#position;
    this.#position += byteCount;
    if (this.#position > this.bytes.length) throw new UnreadableMessageError('truncated');
    return start;
  }

  #use(decodedBytes: number): void {
    this.#decodedBytes += decodedBytes;
    if (this.#decodedBytes > MAX_DECODED_BYTES) throw new UnreadableMessageError('too many values');
  }
}

function isEqualAt(bytes: Uint8Array, start: number, length: number, expected: Uint8Array): boolean {
  if (length !== expected.length) return false;
  for (let index = 0; index < length; index++) if (bytes[start + index] !== expected[index]) return false;
  return true;
}

/**
 * Reads one MessagePack message as PROTOCOL allows it: lists, maps with text keys, text, numbers, booleans and null.
 * Integers beyond 2^53 lose precision.
 * @throws UnreadableMessageError for all other bytes, and if the values would take more than `MAX_DECODED_BYTES`
 */
export function readMessage(bytes: Uint8Array): unknown {
  const buffer = Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return new MessageReader(buffer).readMessage();
}
