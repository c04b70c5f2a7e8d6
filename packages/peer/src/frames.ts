// Framing of the connections between controllers. A frame is the payload's length in bytes as a big-endian 32-bit
// unsigned integer, followed by the payload.
import { ByteCollector, GingerlockError } from '@gingerlock/wire';

/** Largest payload of a frame, in bytes. */
export const MAX_FRAME_BYTES = 1024 * 1024;

/** Size of the length field before each payload. */
const HEADER_BYTES = 4;

/** A frame that declares more than is accepted; the connection that it arrived on is closed. */
export class MalformedFrameError extends GingerlockError {
  override readonly name = 'MalformedFrameError';
  override readonly code = 'MALFORMED_FRAME';

  /**
   * @param payloadBytes the length that the frame declares
   * @param maxBytes the largest length that is accepted
   */
  constructor(
    readonly payloadBytes: number,
    maxBytes = MAX_FRAME_BYTES,
  ) {
    super(`frame of ${payloadBytes} bytes, expected at most ${maxBytes}`);
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
 * @param maxBytes returns the largest payload that is accepted now
 * @throws MalformedFrameError as soon as a frame declares more than is accepted
 */
export async function* frames(
  chunks: AsyncIterable<Buffer>,
  maxBytes: () => number = () => MAX_FRAME_BYTES,
): AsyncGenerator<Buffer> {
  const incomplete = new ByteCollector();
  for await (const chunk of chunks) {
    incomplete.append(chunk);
    if (!hasFrame(incomplete.bytes, maxBytes())) continue;
    let rest = incomplete.take();
    while (hasFrame(rest, maxBytes())) {
      const end = HEADER_BYTES + rest.readUInt32BE(0);
      yield rest.subarray(HEADER_BYTES, end);
      rest = rest.subarray(end);
    }
    if (rest.length > 0) incomplete.append(rest);
  }
}

/** Whether the bytes begin with a complete frame. */
function hasFrame(bytes: Buffer, maxBytes: number): boolean {
  if (bytes.length < HEADER_BYTES) return false;
  const length = bytes.readUInt32BE(0);
  if (length > maxBytes) throw new MalformedFrameError(length, maxBytes);
  return bytes.length >= HEADER_BYTES + length;
}
