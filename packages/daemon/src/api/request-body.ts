// Reads the bodies of requests, which may come in chunks of any size, claim any length and never end.
import type { Readable } from 'node:stream';
import { ByteCollector } from '@gingerlock/wire';

/** Status of a request whose body is larger than the limit; the sender gets 400 for it. */
export const PAYLOAD_TOO_LARGE = 413;

const BAD_REQUEST = 400;

/** Status of a request that is given up, and may be sent again. */
const UNAVAILABLE = 503;

/** A body may come in this many chunks: each takes as long as some hundred bytes, so that tiny ones hold others up. */
const MAX_CHUNKS = 4096;

/** Incomplete bodies up to this size are always kept; nearly all submissions and reports are smaller. In bytes. */
const SMALL_BODY_BYTES = 4096;

/** Memory of all larger bodies that are incomplete, in bytes. Beyond it the one that began first is given up. */
const MAX_INCOMPLETE_BYTES = 8 * 1024 * 1024;

/** A body that is not accepted, whatever it contains. */
export class RefusedBodyError extends Error {
  override readonly name = 'RefusedBodyError';

  constructor(
    readonly statusCode: number,
    message: string,
  ) {
    super(message);
  }
}

/** Called with the whole body, or with the error for which it is refused. */
export type OnBody = (error: Error | null, body?: Buffer) => void;

/** A body that has not arrived completely. */
interface IncompleteBody {
  readonly collector: ByteCollector;
  /** Gives the body up. */
  readonly refuse: (error: RefusedBodyError) => void;
}

/** Reads the bodies of all requests of a server. */
export class BodyReader {
  /** The incomplete bodies larger than `SMALL_BODY_BYTES`, the one that began first in front. */
  readonly #large = new Set<IncompleteBody>();
  /** Memory of these bodies, in bytes. */
  #largeBytes = 0;

  /** @param maxBytes largest body that is accepted */
  constructor(readonly maxBytes: number) {}

  /**
   * Reads one body.
   * @param declaredBytes length that the request declares; NaN if it declares none
   */
  read(stream: Readable, declaredBytes: number, onBody: OnBody): void {
    const { maxBytes } = this;
    if (declaredBytes > maxBytes) return onBody(tooLarge(maxBytes));
    const collector = new ByteCollector();
    let chunks = 0;
    const finish = (error: Error | null, bytes?: Buffer): void => {
      stream.off('data', onData).off('end', onEnd).off('error', onError);
      if (this.#large.delete(body)) this.#largeBytes -= collector.capacity;
      onBody(error, bytes);
    };
    const body = { collector, refuse: (error: RefusedBodyError) => finish(error) };
    const onData = (chunk: Buffer): void => {
      if (collector.length + chunk.length > maxBytes) finish(tooLarge(maxBytes));
      else if (++chunks > MAX_CHUNKS) finish(new RefusedBodyError(BAD_REQUEST, `in more than ${MAX_CHUNKS} chunks`));
      else this.#append(body, chunk);
    };
    const onEnd = (): void => {
      const isCut = !Number.isNaN(declaredBytes) && collector.length !== declaredBytes;
      if (isCut) finish(new RefusedBodyError(BAD_REQUEST, 'not of the declared length'));
      else finish(null, collector.bytes);
    };
    const onError = (): void => finish(new RefusedBodyError(BAD_REQUEST, 'connection closed within the body'));
    stream.on('data', onData).on('end', onEnd).on('error', onError);
  }

  /** Adds a chunk, and makes room for it. */
  #append(body: IncompleteBody, chunk: Buffer): void {
    const { collector } = body;
    const capacityBefore = this.#large.has(body) ? collector.capacity : 0;
    collector.append(chunk);
    if (collector.length <= SMALL_BODY_BYTES) return;
    this.#large.add(body);
    this.#largeBytes += collector.capacity - capacityBefore;
    if (this.#largeBytes <= MAX_INCOMPLETE_BYTES) return;
    const [first] = this.#large;
    first!.refuse(new RefusedBodyError(UNAVAILABLE, 'too many incomplete bodies'));
  }
}

function tooLarge(maxBytes: number): RefusedBodyError {
  return new RefusedBodyError(PAYLOAD_TOO_LARGE, `more than ${maxBytes} bytes`);
}
