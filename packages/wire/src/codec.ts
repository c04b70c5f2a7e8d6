// The encoding of all request and response bodies: MessagePack, as PROTOCOL prescribes for every interface.
import { Packr } from 'msgpackr';
import { type ErrorCode, errorMessage, GingerlockError } from './errors';
import { readMessage, UnreadableMessageError } from './message-reader';

/**
 * A body that violates PROTOCOL. Its message is sent to the client with status 400, so the text is part of the wire
 * format.
 */
export class MalformedMessageError extends GingerlockError {
  override readonly name: string = 'MalformedMessageError';
  override readonly code: ErrorCode = 'MALFORMED_MESSAGE';

  /**
   * @param path wire names that lead to the invalid field, separated by dots; empty for the body as a whole
   * @param reason why it is invalid
   */
  constructor(
    readonly path: string,
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(path === '' ? reason : `${path}: ${reason}`, options);
  }
}

/** A body whose values would take more memory than `MAX_DECODED_BYTES`, whatever its form. */
export class OversizedMessageError extends MalformedMessageError {
  override readonly name = 'OversizedMessageError';
  override readonly code = 'MESSAGE_TOO_LARGE';
}

/** Maximum size of a request or response body of workers and users, in bytes of its JSON form (PROTOCOL). */
export const MAX_BODY_BYTES = 64 * 1024;

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Encodes a value as MessagePack. Integers beyond 32 bits must be converted by `integer` first. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

/**
 * Decodes MessagePack.
 * @throws OversizedMessageError if the values would take too much memory
 * @throws MalformedMessageError if the bytes are not valid MessagePack
 */
export function decode(body: Uint8Array): unknown {
  try {
    return readMessage(body);
  } catch (error) {
    const reason = `not MessagePack (${errorMessage(error, 'unreadable')})`;
    const isOversized = error instanceof UnreadableMessageError && error.fault === 'too many values';
    throw new (isOversized ? OversizedMessageError : MalformedMessageError)('', reason, { cause: error });
  }
}

/**
 * Decodes a body that must be a map with string keys.
 * @throws MalformedMessageError if the body is anything else
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
 * Converts a count, version, token or attempt for `encode`. They are integers on the wire, but the codec writes numbers
 * beyond 32 bits as floats unless they are bigints.
 */
export function integer(value: number): number | bigint {
  return value > 0xffffffff ? BigInt(value) : value;
}
