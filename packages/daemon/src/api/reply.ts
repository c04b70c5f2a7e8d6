// Replies to requests of users, workers and members of replica groups, independent of HTTP.
import { encodeError, MalformedMessageError } from '@gingerlock/wire';

/** The reply to a request. */
export interface Reply {
  /** HTTP status. */
  readonly status: number;
  /** MessagePack; null if there is no body. */
  readonly body: Buffer | null;
  /** After how many seconds the request may be sent again. */
  readonly retryAfterS?: number;
  /** Why the body of the request could not be decoded; only if it could not. */
  readonly malformedReason?: string;
}

/** Returns an error reply with the reason as its text. */
export function refusal(status: number, reason: string, retryAfterS?: number): Reply {
  return { status, body: encodeError(reason), ...(retryAfterS === undefined ? {} : { retryAfterS }) };
}

/** Returns the reply (400) to a request whose decoding threw the error. */
export function malformed(error: unknown): Reply {
  const reason = error instanceof MalformedMessageError ? error.message : 'malformed';
  return { ...refusal(400, reason), malformedReason: reason };
}
