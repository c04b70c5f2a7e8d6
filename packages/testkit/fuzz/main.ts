// Feeds malformed messages to every decoder, in a process with the heap of a controller. It exits with 1 and names the
// first message that is not refused as it should be; a message that ends the process ends this one too.
//
// Arguments: seed, messages for each decoder, and optionally the name of one decoder.
import { cpuUsage } from 'node:process';
import { getHeapStatistics } from 'node:v8';
import { errorMessage, GingerlockError } from '@gingerlock/wire';
import { MalformedMessages } from '../src/faults/malformed-messages';
import { loopbackSettings } from '../src/loopback/loopback-settings';
import { seeded } from '../src/simulation/sim';
import { allDecoders, type Decoder } from './decoders';
import { fuzzStreams } from './streams';

/** A message is read within this processor time: no health check may wait longer (PROTOCOL). In milliseconds. */
const MAX_DECODING_MS = 1000;

/** Memory that reading a message may take, whatever its size, in bytes. */
const FIXED_BYTES = 512 * 1024;

/** Memory that reading a message may take for each of its bytes: a list of one byte takes some fifty. */
const BYTES_PER_BYTE = 160;

/** No message takes more than this, whatever its size, in bytes. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

/** One in this many messages consists of very many small values. */
const DENSE_EVERY = 40;

function takenBytes(): number {
  const { used_heap_size: heap, external_memory: external } = getHeapStatistics();
  return heap + external;
}

/** Whether the error or one of its causes is an exhausted stack. */
function isStackExhausted(error: unknown): boolean {
  return error instanceof Error && (error instanceof RangeError || isStackExhausted(error.cause));
}

/** Returns what was wrong with how the decoder took the bytes; null if nothing was. */
function faultWith({ decode, fixedBytes = FIXED_BYTES }: Decoder, bytes: Buffer): string | null {
  const before = takenBytes();
  const usageBefore = cpuUsage();
  let thrown: unknown = null;
  try {
    decode(bytes);
  } catch (error) {
    thrown = error;
  }
  const { user, system } = cpuUsage(usageBefore);
  const elapsedMs = (user + system) / 1000;
  const taken = takenBytes() - before;
  if (thrown !== null && (!(thrown instanceof GingerlockError) || isStackExhausted(thrown)))
    return `threw ${errorMessage(thrown, 'no error')}`;
  if (elapsedMs > MAX_DECODING_MS) return `took ${elapsedMs.toFixed(0)} ms`;
  const maxBytes = Math.min(fixedBytes + BYTES_PER_BYTE * bytes.length, MAX_TAKEN_BYTES);
  return taken > maxBytes ? `took ${taken} bytes of memory for ${bytes.length}` : null;
}

/** A message of very many values of the fewest bytes, as long as the decoder may get. */
function denseMessage({ format, maxBytes }: Decoder, random: () => number): Buffer {
  if (format === 'avro') return denseClaimList(maxBytes);
  const bytes = Buffer.alloc(maxBytes, random() < 0.5 ? 0x80 : 0x90);
  bytes.writeUInt32BE(maxBytes - 5, 1);
  bytes[0] = 0xdd;
  return bytes;
}

/** Index of `ClaimList` among the messages, and its lists of machines without name or tasks, as Avro writes them. */
const CLAIM_LIST_HEAD = Buffer.from([15 * 2, 2, 2, 2, 2, 0, 2]);

function denseClaimList(maxBytes: number): Buffer {
  const entries = Math.floor((maxBytes - 64) / 2);
  const count = Buffer.alloc(4);
  // The count as a varint of four bytes, which is enough for a frame.
  for (let index = 0; index < count.length; index++)
    count[index] = (((entries * 2) >> (7 * index)) & 0x7f) | (index < count.length - 1 ? 0x80 : 0);
  return Buffer.concat([CLAIM_LIST_HEAD, count, Buffer.alloc(entries * 2), Buffer.alloc(1)]);
}

/** Plays one decoder. Returns the first fault; null if there was none. */
function fuzz(decoder: Decoder, seed: number, messages: number): string | null {
  const random = seeded(seed);
  const malformed = new MalformedMessages(random, decoder.format);
  for (const bytes of decoder.valid) decoder.decode(bytes);
  const bases = [...decoder.valid, ...(decoder.malformed ?? [])];
  for (const bytes of decoder.malformed ?? []) {
    const fault = faultWith(decoder, bytes);
    if (fault !== null) return `${decoder.name}: ${fault}`;
  }
  for (let index = 0; index < messages; index++) {
    const base = bases[Math.floor(random() * bases.length)]!;
    const isDense = index % DENSE_EVERY === DENSE_EVERY - 1;
    const bytes = isDense ? denseMessage(decoder, random) : malformed.from(base, decoder.maxBytes);
    const fault = faultWith(decoder, bytes);
    if (fault !== null) return `${decoder.name}, message ${index} (${bytes.subarray(0, 32).toString('hex')}): ${fault}`;
  }
  return null;
}

/** The settings of a platform with two controllers. */
function platformSettings(): unknown {
  const peerAddressOf = (): string => '127.0.0.1:1';
  return loopbackSettings({ controllers: ['a', 'b'], guaranteedGpus: 1, gpusMax: 2, peerAddressOf }, 'a');
}

async function main(): Promise<void> {
  const [seed, messages, only] = [Number(process.argv[2]), Number(process.argv[3]), process.argv[4]];
  const report = (line: string): void => void process.stdout.write(`${line}\n`);
  for (const decoder of allDecoders(platformSettings())) {
    if (only !== undefined && only !== decoder.name) continue;
    report(`begins: ${decoder.name}`);
    const fault = fuzz(decoder, seed, messages);
    if (fault !== null) {
      report(`fault: seed ${seed}, ${fault}`);
      process.exit(1);
    }
    report(`held: ${decoder.name}, seed ${seed}, ${messages} messages`);
  }
  if (only !== undefined && only !== 'streams') return;
  const fault = await fuzzStreams(seed, messages);
  report(fault === null ? `held: streams, seed ${seed}, ${messages} streams` : `fault: seed ${seed}, ${fault}`);
  if (fault !== null) process.exit(1);
}

void main();
