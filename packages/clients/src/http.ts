import { Agent, request } from 'node:http';
import { ResponseTooLargeError, type Http, type HttpResponse, NoResponseError } from './ports';

/**
 * Largest answer that is read. A page of a list holds 512 KiB; changes to follow have no limit, and when they are more than this, all is
 * read again by pages.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** A connection that is kept is given up for that to another host once it has not been used for so long. */
const KEEP_ALIVE_IDLE_MS = 30_000;

/** To how many hosts connections are kept where nothing else is said. */
const KEEP_ALIVE_HOSTS = 72;

/** Chooses the hosts to which connections are kept: with thousands of machines they would take every socket that there is. */
export class KeepAliveHosts {
  /** By host: when it was last asked for, the longest ago first. */
  readonly #usedAt = new Map<string, number>();

  constructor(
    readonly most: number,
    readonly now: () => number = () => performance.now(),
  ) {}

  /** Whether the connection of a request that begins now is to be kept. */
  use(host: string): boolean {
    const now = this.now();
    if (!this.#usedAt.delete(host) && this.#usedAt.size >= this.most) {
      const [oldest, usedAt] = this.#usedAt.entries().next().value ?? [null, now];
      if (oldest === null || now - usedAt < KEEP_ALIVE_IDLE_MS) return false;
      this.#usedAt.delete(oldest);
    }
    this.#usedAt.set(host, now);
    return true;
  }
}

/**
 * HTTP over Node's own client: it is loaded anyway for the server side, while a second one would cost start-up time and
 * memory that a controller does not have.
 */
export function nodeHttp(keepAliveHosts: number = KEEP_ALIVE_HOSTS): Http {
  const keeping = new Agent({ keepAlive: true, maxSockets: 8, maxFreeSockets: 4, scheduling: 'lifo' });
  const closing = new Agent({ keepAlive: false, maxSockets: 8 });
  const kept = new KeepAliveHosts(keepAliveHosts);
  return (addr, method, path, body, timeoutMs) =>
    new Promise<HttpResponse>((resolve, reject) => {
      const colon = addr.lastIndexOf(':');
      const req = request(
        {
          agent: kept.use(addr) ? keeping : closing,
          host: addr.slice(0, colon),
          port: Number(addr.slice(colon + 1)),
          method,
          path,
          headers:
            body === null ? {} : { 'content-type': 'application/msgpack', 'content-length': String(body.length) },
        },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (size > MAX_RESPONSE_BYTES) req.destroy(new ResponseTooLargeError(MAX_RESPONSE_BYTES));
            else chunks.push(chunk);
          });
          res.on('end', () => {
            clearTimeout(timer);
            resolve({ status: res.statusCode ?? 0, body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) });
          });
          res.on('error', fail);
          res.on('aborted', () => fail(new NoResponseError('answer cut off')));
        },
      );
      const fail = (error: Error): void => {
        clearTimeout(timer);
        reject(error instanceof NoResponseError ? error : new NoResponseError(error.message));
      };
      const timer = setTimeout(() => req.destroy(new NoResponseError('no answer in time')), timeoutMs);
      req.on('error', fail);
      req.end(body ?? undefined);
    });
}
