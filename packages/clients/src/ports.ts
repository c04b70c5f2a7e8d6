// The ports through which a controller uses time, randomness and HTTP. The testkit implements them in simulated time.
import { GingerlockError, MAX_BODY_BYTES } from '@gingerlock/wire';

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

/** MessagePack takes at most this many times the bytes of the same value in JSON, whose size PROTOCOL limits. */
const MESSAGEPACK_PER_JSON_BYTE = 5;

/** Largest answer of a worker, and of a service to anything but a list or a watch, in bytes. */
export const MAX_ANSWER_BYTES = MESSAGEPACK_PER_JSON_BYTE * MAX_BODY_BYTES;

/** Largest answer of a service that lists or watches, in bytes. What does not fit is read again page by page. */
export const MAX_LIST_BYTES = 4 * 1024 * 1024;

/**
 * Sends one HTTP request to `addr` (`HOST:PORT`) and resolves with the response, whatever its status.
 * Rejects with a `NoResponseError` if no complete response arrives in time: the request may have been executed. It
 * rejects with a `ResponseTooLargeError` if the response exceeds `maxResponseBytes`, by default `MAX_ANSWER_BYTES`.
 */
export type Http = (
  addr: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body: Buffer | null,
  timeoutMs: number,
  maxResponseBytes?: number,
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
