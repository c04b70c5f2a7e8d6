// Collects the bytes of a body or frame as they arrive. Kept apart, many small chunks would each take some hundred bytes
// beside their own.
import { Buffer } from 'node:buffer';

const NO_BYTES = Buffer.alloc(0);

/** Bytes that arrived in chunks of any size. They take no more than about twice their own memory. */
export class ByteCollector {
  #buffer: Buffer = NO_BYTES;
  #length = 0;

  /** The number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** The memory that the bytes take, in bytes. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** The bytes collected so far; valid until the next call of `append`. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Adds a chunk. A chunk that comes first is kept as it is, without a copy. */
  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (this.#length === 0) this.#buffer = chunk;
    else {
      if (length > this.#buffer.length) this.#grow(length);
      chunk.copy(this.#buffer, this.#length);
    }
    this.#length = length;
  }

  #grow(length: number): void {
    const larger = Buffer.allocUnsafeSlow(Math.max(length, 2 * this.#buffer.length));
    this.bytes.copy(larger);
    this.#buffer = larger;
  }

  /** Returns all bytes, which are no longer collected then. */
  take(): Buffer {
    const { bytes } = this;
    this.#buffer = NO_BYTES;
    this.#length = 0;
    return bytes;
  }
}

/** Memory that several collectors share, in bytes. */
export class BytePool {
  #freeBytes: number;

  constructor(bytes: number) {
    this.#freeBytes = bytes;
  }

  /** Takes memory from the pool. Returns false if it has less. */
  take(byteCount: number): boolean {
    if (byteCount > this.#freeBytes) return false;
    this.#freeBytes -= byteCount;
    return true;
  }

  /** Gives memory back. */
  give(byteCount: number): void {
    this.#freeBytes += byteCount;
  }
}
