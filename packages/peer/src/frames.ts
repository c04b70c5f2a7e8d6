// Framing of the connections between controllers. A frame is the payload's length in bytes as a big-endian 32-bit
// unsigned integer, followed by the payload.
import { GingerlockError } from '@gingerlock/wire';

/** Largest payload of a frame, in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Size of the length field before each payload. */
const HEADER_BYTES = 4;

/** A frame that declares more than `MAX_FRAME_BYTES`; the connection that it arrived on is closed. */
export class MalformedFrameError extends GingerlockError {
  override readonly name = 'MalformedFrameError';
  override readonly code = 'MALFORMED_FRAME';

  /** @param payloadBytes the length that the frame declares */
  constructor(readonly payloadBytes: number) {
    super(`frame of ${payloadBytes} bytes, expected at most ${MAX_FRAME_BYTES}`);
  }
}

/** Returns a frame with this payload. */
export function frame(payload: Buffer): Buffer {
  const framed = Buffer.allocUnsafe(payload.length + HEADER_BYTES);
  framed.writeUInt32BE(payload.length, 0);
  payload.copy(framed, HEADER_BYTES);
  return framed;
}

/**
 * Yields the payloads of a stream of frames until the stream ends. An incomplete frame at the end is dropped.
 * @throws MalformedFrameError as soon as a frame declares more than `MAX_FRAME_BYTES`
 */
export async function* frames(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= HEADER_BYTES) {
      const length = buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new MalformedFrameError(length);
      const end = HEADER_BYTES + length;
      if (buffered.length < end) break;
      yield buffered.subarray(HEADER_BYTES, end);
      buffered = buffered.subarray(end);
    }
  }
}
