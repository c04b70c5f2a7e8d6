// Walks over Avro bytes before they are decoded. The decoder believes the lengths that it reads, and reads past the end of
// the bytes. Here nothing is allocated, and nothing is read that is not there.
import { GingerlockError } from '@gingerlock/wire';

/** Memory that the values of one message may take, in bytes. Whole frames of our own messages take less than half. */
export const MAX_DECODED_BYTES = 16 * 1024 * 1024;

/** Memory of each value beside what follows: its place, and its box if it is a number of many digits, in bytes. */
const VALUE_BYTES = 24;

/** Memory of a list or record without its values, in bytes. */
const CONTAINER_BYTES = 48;

/** Bytes of the largest integer that a number holds exactly. */
const MAX_VARINT_BYTES = 8;

/** A payload that is not a message of the schema; the connection that it arrived on is closed. */
export class MalformedPayloadError extends GingerlockError {
  override readonly name = 'MalformedPayloadError';
  override readonly code = 'MALFORMED_FRAME';

  /**
   * @param payloadBytes the length of the payload
   * @param reason what is wrong with it
   */
  constructor(
    readonly payloadBytes: number,
    readonly reason: string,
  ) {
    super(`malformed payload of ${payloadBytes} bytes: ${reason}`);
  }
}

/** Reads the parts of one payload. Each method throws a `MalformedPayloadError` instead of reading past the end. */
export class AvroScanner {
  #position = 0;
  #decodedBytes = 0;

  constructor(readonly bytes: Buffer) {}

  /** Throws unless all bytes have been read. */
  finish(): void {
    if (this.#position !== this.bytes.length) this.#refuse('bytes after the message');
  }

  /** Skips a value of that many bytes. */
  skip(byteCount: number): void {
    this.#position += byteCount;
    if (this.#position > this.bytes.length) this.#refuse('truncated');
    this.#use(VALUE_BYTES);
  }

  /** Skips a text or binary data. */
  skipSized(): void {
    const length = this.integer();
    if (length < 0) this.#refuse('negative length');
    this.skip(length);
    this.#use(length);
  }

  /** Reads an integer. */
  integer(): number {
    const { bytes } = this;
    let value = 0;
    let unit = 1;
    for (let count = 0; count < MAX_VARINT_BYTES; count++) {
      if (this.#position >= bytes.length) this.#refuse('truncated');
      const byte = bytes[this.#position++]!;
      value += (byte & 0x7f) * unit;
      unit *= 0x80;
      if (byte < 0x80) return value % 2 === 0 ? value / 2 : -(value + 1) / 2;
    }
    return this.#refuse('an integer beyond 2^53');
  }

  /** Reads the number of items that follow in a list, each of which takes at least `itemBytes`; 0 ends the list. */
  itemCount(itemBytes: number): number {
    const count = this.integer();
    if (count < 0) this.#refuse('negative length');
    if (count * itemBytes > this.bytes.length - this.#position) this.#refuse('truncated');
    return count;
  }

  /** Reads which of the alternatives follows. */
  choice(alternatives: number): number {
    const index = this.integer();
    if (index < 0 || index >= alternatives) this.#refuse('unknown kind');
    this.#use(VALUE_BYTES);
    return index;
  }

  /** Counts the memory of a list or record. */
  open(): void {
    this.#use(CONTAINER_BYTES);
  }

  #use(decodedBytes: number): void {
    this.#decodedBytes += decodedBytes;
    if (this.#decodedBytes > MAX_DECODED_BYTES) this.#refuse('too many values');
  }

  #refuse(reason: string): never {
    throw new MalformedPayloadError(this.bytes.length, reason);
  }
}
