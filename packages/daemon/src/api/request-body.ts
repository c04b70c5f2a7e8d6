// Reads the bodies of requests, which may come in chunks of any size and claim any length.
import type { Readable } from 'node:stream';
import { ByteCollector } from '@gingerlock/wire';

/** Status of a request whose body is larger than the limit; the sender gets 400 for it. */
export const PAYLOAD_TOO_LARGE = 413;

const BAD_REQUEST = 400;

/** A body may come in this many chunks: each takes as long as some hundred bytes, so that tiny ones hold others up. */
const MAX_CHUNKS = 4096;

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

/**
 * Calls back with the whole body, or with the error for which it is refused.
 * @param declaredBytes length that the request declares; NaN if it declares none
 * @param maxBytes largest body that is accepted
 */
export function readBody(
  stream: Readable,
  declaredBytes: number,
  maxBytes: number,
  done: (error: Error | null, body?: Buffer) => void,
): void {
  if (declaredBytes > maxBytes) return done(tooLarge(maxBytes));
  const collector = new ByteCollector();
  let chunks = 0;
  const finish = (error: Error | null, body?: Buffer): void => {
    stream.off('data', onData).off('end', onEnd).off('error', onError);
    done(error, body);
  };
  const onData = (chunk: Buffer): void => {
    collector.append(chunk);
    if (collector.length > maxBytes) finish(tooLarge(maxBytes));
    else if (++chunks > MAX_CHUNKS) finish(new RefusedBodyError(BAD_REQUEST, `in more than ${MAX_CHUNKS} chunks`));
  };
  const onEnd = (): void => {
    const isCut = !Number.isNaN(declaredBytes) && collector.length !== declaredBytes;
    if (isCut) finish(new RefusedBodyError(BAD_REQUEST, 'not of the declared length'));
    else finish(null, collector.take());
  };
  const onError = (): void => finish(new RefusedBodyError(BAD_REQUEST, 'connection closed within the body'));
  stream.on('data', onData).on('end', onEnd).on('error', onError);
}

function tooLarge(maxBytes: number): RefusedBodyError {
  return new RefusedBodyError(PAYLOAD_TOO_LARGE, `more than ${maxBytes} bytes`);
}
