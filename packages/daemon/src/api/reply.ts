import { encodeError } from '@gingerlock/wire';

/** What a request is answered. */
export interface Reply {
  readonly status: number;
  readonly body: Buffer | null;
  readonly retryAfterS?: number;
}

export function refusal(status: number, reason: string, retryAfterS?: number): Reply {
  return { status, body: encodeError(reason), ...(retryAfterS === undefined ? {} : { retryAfterS }) };
}
