// The ports through which a controller uses time, randomness and HTTP. The testkit implements them in simulated time.
import { GingerlockError } from '@gingerlock/wire';

/** Time and randomness. */
export interface Clock {
  /** Steady time, in milliseconds. */
  now(): number;
  /** Time of day, in milliseconds. */
  wallNow(): number;
  /** Calls back once after `ms` milliseconds; returns a function that cancels the call. */
  after(ms: number, callback: () => void): () => void;
  /** A random number from 0 up to but excluding 1. */
  random(): number;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/**
 * Sends one HTTP request to `addr` (`HOST:PORT`) and resolves with the response, whatever its status.
 * Rejects with a `NoResponseError` if no complete response arrives in time: the request may have been executed.
 */
export type Http = (
  addr: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body: Buffer | null,
  timeoutMs: number,
) => Promise<HttpResponse>;

/** No complete response arrived; the request may have been executed. */
export class NoResponseError extends GingerlockError {
  override readonly name: string = 'NoResponseError';
  override readonly code: 'NO_RESPONSE' | 'RESPONSE_TOO_LARGE' = 'NO_RESPONSE';
}

/** The response exceeds the size limit. Repeating the request would not help. */
export class ResponseTooLargeError extends NoResponseError {
  override readonly name = 'ResponseTooLargeError';
  override readonly code = 'RESPONSE_TOO_LARGE';

  /**
   * @param request the request, as `METHOD HOST:PORT/PATH`
   * @param maxBytes size limit of responses
   */
  constructor(request: string, maxBytes: number) {
    super(`${request}: response of more than ${maxBytes} bytes`);
  }
}

/** Resolves after `ms` milliseconds on the clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
