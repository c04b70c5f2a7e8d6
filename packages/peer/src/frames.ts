/** Largest frame that is sent or taken. */
export const MAX_FRAME_BYTES = 1024 * 1024;

export class MalformedFrameError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'MalformedFrameError';
  }
}

export function frame(payload: Buffer): Buffer {
  const framed = Buffer.allocUnsafe(payload.length + 4);
  framed.writeUInt32BE(payload.length, 0);
  payload.copy(framed, 4);
  return framed;
}

/** The payloads of a stream of bytes. Ends with the stream; a frame that is cut off by the end is dropped. */
export async function* frames(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    while (rest.length >= 4) {
      const length = rest.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new MalformedFrameError(`frame of ${length} bytes`);
      if (rest.length < 4 + length) break;
      yield rest.subarray(4, 4 + length);
      rest = rest.subarray(4 + length);
    }
  }
}
