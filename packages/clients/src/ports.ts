/** What a controller needs of the world; the testkit has stand-ins of it in simulated time. */
export interface Clock {
  /** Steady time, in milliseconds. */
  now(): number;
  /** Time of day, in milliseconds. */
  wall(): number;
  /** Calls back once after so many milliseconds; returns a function that gives that up. */
  after(ms: number, callback: () => void): () => void;
  /** From 0 up to but excluding 1. */
  random(): number;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** One HTTP request. Rejects with `NoAnswer` if no complete answer came in time: it may have been carried out. */
export type Http = (
  addr: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body: Buffer | null,
  timeoutMs: number,
) => Promise<HttpResponse>;

export class NoResponseError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'NoResponseError';
  }
}

/** The answer is larger than is read: asked again, it would be as large. */
export class ResponseTooLargeError extends NoResponseError {
  constructor(bytes: number) {
    super(`answer of more than ${bytes} bytes`);
    this.name = 'ResponseTooLargeError';
  }
}

export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
