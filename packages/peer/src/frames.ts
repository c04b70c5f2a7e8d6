// Frames of the link between controllers: the payload's length in bytes as a 32-bit unsigned integer, most significant
// byte first, then the payload.
import { GingerlockError } from '@gingerlock/wire';

/** Largest payload of a frame that is sent or accepted, in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Size of the length before each payload. */
const HEADER_BYTES = 4;

/** A frame that no controller sends; the connection that brought it is closed. */
export class MalformedFrameError extends GingerlockError {
  override readonly name = 'MalformedFrameError';
  override readonly code = 'MALFORMED_FRAME';

  /** @param payloadBytes the length that the frame declares */
  constructor(readonly payloadBytes: number) {
    super(`frame of ${payloadBytes} bytes, expected at most ${MAX_FRAME_BYTES}`);
  }
}

/** The frame that carries a payload. */
export function frame(payload: Buffer): Buffer {
  const framed = Buffer.allocUnsafe(payload.length + HEADER_BYTES);
  framed.writeUInt32BE(payload.length, 0);
  payload.copy(framed, HEADER_BYTES);
  return framed;
}

/**
 * The payloads of a stream of frames. Ends with the stream; a frame that the end cuts off is dropped.
 * @throws MalformedFrameError as soon as a frame declares more than `MAX_FRAME_BYTES`
 */
export async function* frames(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    while (rest.length >= HEADER_BYTES) {
      const length = rest.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new MalformedFrameError(length);
      const end = HEADER_BYTES + length;
      if (rest.length < end) break;
      yield rest.subarray(HEADER_BYTES, end);
      rest = rest.subarray(end);
    }
  }
}
