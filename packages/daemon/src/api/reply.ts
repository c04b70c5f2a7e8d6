// Answers to requests of users, workers and members of replica groups, before they become HTTP.
import { encodeError, MalformedMessageError } from '@gingerlock/wire';

/** What a request is answered. */
export interface Reply {
  /** HTTP status. */
  readonly status: number;
  /** MessagePack; null: none. */
  readonly body: Buffer | null;
  /** After how many seconds the request may be sent again. */
  readonly retryAfterS?: number;
}

/** An error answer with the reason as its text. */
export function refusal(status: number, reason: string, retryAfterS?: number): Reply {
  return { status, body: encodeError(reason), ...(retryAfterS === undefined ? {} : { retryAfterS }) };
}

/** The answer (400) to a request whose decoding threw the error. */
export function malformed(error: unknown): Reply {
  return refusal(400, error instanceof MalformedMessageError ? error.message : 'malformed');
}
