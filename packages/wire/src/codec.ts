// The encoding of all bodies: MessagePack, as PROTOCOL prescribes for every interface.
import { Packr } from 'msgpackr';
import { errorMessage, GingerlockError } from './errors';

/**
 * A body that violates PROTOCOL. Its message is sent to the client with status 400, so its texts are part of the wire.
 */
export class MalformedMessageError extends GingerlockError {
  override readonly name = 'MalformedMessageError';
  override readonly code = 'MALFORMED_MESSAGE';

  /**
   * @param path wire name of the invalid field, with dots between levels; empty: the body as a whole
   * @param reason what was expected of it
   */
  constructor(
    readonly path: string,
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(path === '' ? reason : `${path}: ${reason}`, options);
  }
}

/** Largest body, in bytes of its JSON form, of a request and of a response to workers and users (PROTOCOL). */
export const MAX_BODY_BYTES = 64 * 1024;

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Encodes a value as MessagePack. Integers beyond 32 bits have to go through `integer` first. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

/**
 * Decodes MessagePack.
 * @throws MalformedMessageError if the bytes are no MessagePack
 */
export function decode(body: Uint8Array): unknown {
  try {
    return packr.unpack(body);
  } catch (error) {
    throw new MalformedMessageError('', `not MessagePack (${errorMessage(error, 'unreadable')})`, { cause: error });
  }
}

/**
 * Decodes a body that has to be a map with text keys.
 * @throws MalformedMessageError if it is anything else
 */
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
 * A count, version, token or attempt as it has to be handed to `encode`: these are integers on the wire, but the codec
 * writes numbers beyond 32 bits as floats unless they are bigints.
 */
export function integer(value: number): number | bigint {
  return value > 0xffffffff ? BigInt(value) : value;
}
