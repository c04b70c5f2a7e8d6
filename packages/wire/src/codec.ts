import { Packr } from 'msgpackr';

/** A body that is not what the protocol says it should be. `path` names the field at fault. */
export class MalformedMessageError extends Error {
  constructor(
    readonly path: string,
    readonly reason: string,
  ) {
    super(path === '' ? reason : `${path}: ${reason}`);
    this.name = 'MalformedMessageError';
  }
}

/** Largest body of a request, and of an answer to workers and users, as the protocol counts it. */
export const MAX_BODY_BYTES = 64 * 1024;

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

export function decode(body: Uint8Array): unknown {
  try {
    return packr.unpack(body);
  } catch (error) {
    throw new MalformedMessageError('', `not MessagePack (${error instanceof Error ? error.message : 'unreadable'})`);
  }
}

/** Decodes a body that has to be a map with text keys. */
export function decodeMap(body: Uint8Array): Record<string, unknown> {
  const value = decode(body);
  if (
    typeof value !== 'object' ||
    value === null ||
    Array.isArray(value) ||
    Object.getPrototypeOf(value) !== Object.prototype
  ) {
    throw new MalformedMessageError('', 'not a map');
  }
  return value as Record<string, unknown>;
}

/**
 * Counts, versions, tokens and attempts are integers on the wire. The codec writes a number beyond 32 bits as a
 * float, so such a count has to be handed to it as a bigint.
 */
export function integer(value: number): number | bigint {
  return value > 0xffffffff ? BigInt(value) : value;
}
