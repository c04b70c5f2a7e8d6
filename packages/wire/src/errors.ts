// The base class of all errors that gingerlock throws, and the codes by which they are told apart.

/**
 * Identifies the kind of a failure. Codes are stable: alerts and searches may rely on them, while texts may change.
 * `STORE_REJECTED` is for a status of the key-value store that none of its requests expects.
 */
export type ErrorCode =
  | 'MALFORMED_MESSAGE'
  | 'MALFORMED_FRAME'
  | 'OVERLOADED'
  | 'NO_RESPONSE'
  | 'RESPONSE_TOO_LARGE'
  | 'CLOUD_REQUEST_FAILED'
  | 'STORE_REJECTED'
  | 'INVALID_SETTINGS';

/**
 * An error that gingerlock itself throws. The message says what failed, on what, and what was expected; `cause` holds
 * the error that led to it, if there was one.
 */
export abstract class GingerlockError extends Error {
  /** The name of the class, written out: a bundler may rename classes. */
  abstract override readonly name: string;
  abstract readonly code: ErrorCode;
}

/** The text of whatever was thrown; `otherwise` if it is no `Error`. */
export function errorMessage(error: unknown, otherwise: string): string {
  return error instanceof Error ? error.message : otherwise;
}
