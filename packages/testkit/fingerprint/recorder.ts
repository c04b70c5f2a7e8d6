// Hashes all bytes that simulated processes send and receive in a scenario, and the records stored at its end.
import { createHash } from 'node:crypto';
import { encode } from '@gingerlock/wire';
import type { SimStateService, TrafficEvent, World } from '../src/index';

/** Receives each hashed line, without its line end. */
export type LineSink = (line: string) => void;

/** The two hashes of a scenario, in hexadecimal. */
export interface Fingerprint {
  readonly traffic: string;
  readonly records: string;
}

function hex(bytes: Uint8Array | null | undefined): string {
  return bytes === null || bytes === undefined
    ? ''
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('hex');
}

/** One event as text: simulated time, kind, endpoints, request, status, `retry-after` and the bytes on the wire. */
export function trafficLine(at: number, { what, from, to, request, status, retryAfterS, body }: TrafficEvent): string {
  return [at, what, from, to, request, status ?? '', retryAfterS ?? '', hex(body)].join('\t');
}

/** The stored records as text, sorted by key, with encoded values. */
export function recordLines({ data, revision }: SimStateService): string[] {
  const byKey = [...data].sort(([a], [b]) => (a < b ? -1 : 1));
  const lines = byKey.map(([key, entry]) =>
    [key, entry.version, entry.lease ?? '', hex(encode(entry.value))].join('\t'),
  );
  return [`revision\t${revision}`, ...lines];
}

/** Hashes the traffic of a world, from construction until `finish`. */
export class Recorder {
  readonly #traffic = createHash('sha256');

  constructor(
    readonly world: World,
    readonly dump: LineSink,
  ) {
    world.network.observe = (event) => {
      const line = trafficLine(world.sim.now, event);
      this.#traffic.update(`${line}\n`);
      dump(line);
    };
  }

  /** Hashes the stored records and returns both hashes. */
  finish(): Fingerprint {
    const records = createHash('sha256');
    for (const line of recordLines(this.world.state)) {
      records.update(`${line}\n`);
      this.dump(`record\t${line}`);
    }
    return { traffic: this.#traffic.digest('hex'), records: records.digest('hex') };
  }
}
