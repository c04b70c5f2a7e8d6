// The HTTP port over node:http.
import { Agent, type IncomingMessage, request } from 'node:http';
import { ResponseTooLargeError, type Http, type HttpResponse, NoResponseError } from './ports';

/**
 * Largest response that is read. A page of a list has at most 512 KiB. The changes that `/follow` returns have no
 * limit; if they exceed this, everything is read again by pages.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** A host that has not been used for this long gives up its keep-alive connections to another one. */
const KEEP_ALIVE_IDLE_MS = 30_000;

/** To how many hosts connections are kept alive by default. */
const KEEP_ALIVE_HOSTS = 72;

/**
 * Chooses the hosts to which connections are kept alive: kept to thousands of machines, they would use up all sockets.
 */
export class KeepAliveHosts {
  /** By host: when it was last used, in steady milliseconds; the least recently used first. */
  readonly #usedAtByHost = new Map<string, number>();

  /** @param maxHosts how many hosts may keep connections at a time */
  constructor(
    readonly maxHosts: number,
    readonly now: () => number = () => performance.now(),
  ) {}

  /** Notes a request that begins now; returns whether its connection is to be kept alive. */
  use(host: string): boolean {
    const now = this.now();
    if (!this.#usedAtByHost.delete(host) && this.#usedAtByHost.size >= this.maxHosts) {
      const [oldest, usedAt] = this.#usedAtByHost.entries().next().value ?? [null, now];
      if (oldest === null || now - usedAt < KEEP_ALIVE_IDLE_MS) return false;
      this.#usedAtByHost.delete(oldest);
    }
    this.#usedAtByHost.set(host, now);
    return true;
  }
}

/**
 * HTTP over Node's own client: it is loaded anyway for the server side, while a second one would cost start-up time and
 * memory that a controller does not have.
 */
export function nodeHttp(keepAliveHosts: number = KEEP_ALIVE_HOSTS): Http {
  const keepAliveAgent = new Agent({ keepAlive: true, maxSockets: 8, maxFreeSockets: 4, scheduling: 'lifo' });
  const closingAgent = new Agent({ keepAlive: false, maxSockets: 8 });
  const hosts = new KeepAliveHosts(keepAliveHosts);
  return (addr, method, path, body, timeoutMs) =>
    new Promise<HttpResponse>((resolve, reject) => {
      const what = `${method} ${addr}${path}`;
      const onResponse = (res: IncomingMessage): void => {
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        res.on('data', (chunk: Buffer) => {
          receivedBytes += chunk.length;
          if (receivedBytes > MAX_RESPONSE_BYTES) req.destroy(new ResponseTooLargeError(what, MAX_RESPONSE_BYTES));
          else chunks.push(chunk);
        });
        res.on('end', () => {
          clearTimeout(timer);
          resolve({ status: res.statusCode ?? 0, body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) });
        });
        res.on('error', fail);
        res.on('aborted', () => fail(new NoResponseError(`${what}: connection closed within the response`)));
      };
      const colon = addr.lastIndexOf(':');
      const req = request(
        {
          agent: hosts.use(addr) ? keepAliveAgent : closingAgent,
          host: addr.slice(0, colon),
          port: Number(addr.slice(colon + 1)),
          method,
          path,
          headers:
            body === null ? {} : { 'content-type': 'application/msgpack', 'content-length': String(body.length) },
        },
        onResponse,
      );
      const fail = (error: Error): void => {
        clearTimeout(timer);
        const isTyped = error instanceof NoResponseError;
        reject(isTyped ? error : new NoResponseError(`${what}: ${error.message}`, { cause: error }));
      };
      const timer = setTimeout(
        () => req.destroy(new NoResponseError(`${what}: no complete response within ${timeoutMs} ms`)),
        timeoutMs,
      );
      req.on('error', fail);
      req.end(body ?? undefined);
    });
}
