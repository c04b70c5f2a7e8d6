// Streams of bytes in chunks of drawn sizes: frames of peers, and bodies of requests.
import { Readable } from 'node:stream';
import { BodyReader, RefusedBodyError } from '@gingerlock/daemon';
import { encodePeer, frame, frames, MalformedFrameError, MAX_FRAME_BYTES } from '@gingerlock/peer';
import { MAX_BODY_BYTES } from '@gingerlock/wire';
import { MalformedMessages } from '../src/faults/malformed-messages';
import { seeded } from '../src/simulation/sim';
import { PEER_MESSAGES } from './peer-messages';

/** A frame that claims more than this is refused before its bytes arrive, in bytes. */
const MAX_CLAIMED_BYTES = 2 ** 32 - 1;

function chunksOf(bytes: Buffer, random: () => number): Buffer[] {
  const chunks: Buffer[] = [];
  const most = random() < 0.2 ? 3 : 65_536;
  for (let from = 0; from < bytes.length;) {
    const to = from + 1 + Math.floor(random() * most);
    chunks.push(bytes.subarray(from, to));
    from = to;
  }
  return chunks;
}

/** Returns what is wrong with how the frames of the bytes are read; null if nothing is. */
async function framesFault(bytes: Buffer, random: () => number): Promise<string | null> {
  const maxBytes = random() < 0.5 ? 1024 : MAX_FRAME_BYTES;
  const claimed = bytes.length < 4 ? 0 : bytes.readUInt32BE(0);
  try {
    for await (const payload of frames(Readable.from(chunksOf(bytes, random)), () => maxBytes))
      if (payload.length > maxBytes) return `a frame of ${payload.length} bytes was read, of ${maxBytes} at most`;
  } catch (error) {
    return error instanceof MalformedFrameError ? null : `frames threw ${String(error)}`;
  }
  return claimed > maxBytes ? `a frame that claims ${claimed} bytes was awaited, of ${maxBytes} at most` : null;
}

/** Returns what is wrong with how the body is read; null if nothing is. */
function bodyFault(bytes: Buffer, random: () => number): Promise<string | null> {
  const declared = random() < 0.5 ? NaN : bytes.length + (random() < 0.5 ? 0 : Math.floor(random() * 9) - 4);
  const stream = Readable.from(chunksOf(bytes, random), { objectMode: false });
  return new Promise((resolve) => {
    new BodyReader(MAX_BODY_BYTES).read(stream, declared, (error, body) => {
      stream.destroy();
      if (error !== null) resolve(error instanceof RefusedBodyError ? null : `the body threw ${String(error)}`);
      else if (!Number.isNaN(declared) && declared !== bytes.length) resolve('a body was read that was cut');
      else if (body!.length > MAX_BODY_BYTES) resolve(`a body of ${body!.length} bytes was read`);
      else resolve(body!.equals(bytes) ? null : 'a body was read that was not sent');
    });
  });
}

/** Plays streams. Returns the first fault; null if there was none. */
export async function fuzzStreams(seed: number, streams: number): Promise<string | null> {
  const random = seeded(seed);
  const malformed = new MalformedMessages(random, 'avro');
  for (let index = 0; index < streams; index++) {
    const payload = encodePeer(PEER_MESSAGES[Math.floor(random() * PEER_MESSAGES.length)]!);
    const framed = frame(payload.subarray(0, 2000));
    if (random() < 0.5) framed.writeUInt32BE(Math.floor(MAX_CLAIMED_BYTES ** random()), 0);
    const bytes = random() < 0.5 ? framed : malformed.from(framed, 2 * MAX_BODY_BYTES);
    const body = Buffer.alloc(Math.floor(random() * 2 * MAX_BODY_BYTES), index);
    const fault = (await framesFault(bytes, random)) ?? (await bodyFault(body, random));
    if (fault !== null) return `stream ${index}: ${fault}`;
  }
  return null;
}
