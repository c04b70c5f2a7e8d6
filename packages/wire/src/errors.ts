// The base class of all errors that gingerlock throws, and the codes that identify them.

/**
 * Identifies the kind of a failure. Codes are stable: alerts and searches may rely on them, while texts may change.
 * `STORE_REJECTED`: the key-value store answered with a status that no request expects.
 */
export type ErrorCode =
  | 'MALFORMED_MESSAGE'
  | 'MESSAGE_TOO_LARGE'
  | 'MALFORMED_FRAME'
  | 'OVERLOADED'
  | 'NO_RESPONSE'
  | 'RESPONSE_TOO_LARGE'
  | 'CLOUD_REQUEST_FAILED'
  | 'STORE_REJECTED'
  | 'INVALID_SETTINGS';

/**
 * An error that gingerlock itself throws. The message says what failed, on what, and what was expected; `cause` holds
 * the underlying error, if there was one.
 */
export abstract class GingerlockError extends Error {
  /** The name of the class, as a literal because a bundler may rename classes. */
  abstract override readonly name: string;
  abstract readonly code: ErrorCode;
}

/** Returns the message of a thrown value, or `fallback` if the value is not an `Error`. */
export function errorMessage(error: unknown, fallback: string): string {
  return error instanceof Error ? error.message : fallback;
}
