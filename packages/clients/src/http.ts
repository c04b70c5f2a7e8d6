// The HTTP port over node:http.
import { Agent, type IncomingMessage, request } from 'node:http';
import { ByteCollector, BytePool } from '@gingerlock/wire';
import { ResponseTooLargeError, type Http, type HttpResponse, MAX_ANSWER_BYTES, NoResponseError } from './ports';

/** A host that was idle for this long may be replaced by another host for which connections are kept alive. */
const KEEP_ALIVE_IDLE_MS = 30_000;

/** Memory of all incomplete answers but lists, in bytes: many workers may answer at once. */
const INCOMPLETE_ANSWERS_BYTES = 8 * 1024 * 1024;

/** Default number of hosts to which connections are kept alive. */
const KEEP_ALIVE_HOSTS = 72;

/**
 * Chooses the hosts to which connections are kept alive. Idle connections to thousands of machines would use up all
 * sockets.
 */
export class KeepAliveHosts {
  /** Time of the last request to each host, in milliseconds of the steady clock; the least recently used host first. */
  readonly #usedAtByHost = new Map<string, number>();

  /** @param maxHosts largest number of hosts with keep-alive connections */
  constructor(
    readonly maxHosts: number,
    readonly now: () => number = () => performance.now(),
  ) {}

  /** Records a request that begins now. Returns whether to keep its connection alive. */
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
 * Implements `Http` with Node's own client. The server loads that module anyway; a second client library would cost
 * start-up time and memory that a controller does not have.
 */
export function nodeHttp(keepAliveHosts: number = KEEP_ALIVE_HOSTS): Http {
  const keepAliveAgent = new Agent({ keepAlive: true, maxSockets: 8, maxFreeSockets: 4, scheduling: 'lifo' });
  const closingAgent = new Agent({ keepAlive: false, maxSockets: 8 });
  const hosts = new KeepAliveHosts(keepAliveHosts);
  const pool = new BytePool(INCOMPLETE_ANSWERS_BYTES);
  return (addr, method, path, body, timeoutMs, maxResponseBytes = MAX_ANSWER_BYTES) =>
    new Promise<HttpResponse>((resolve, reject) => {
      const requestLine = `${method} ${addr}${path}`;
      const onResponse = (res: IncomingMessage): void => {
        const received = new ByteCollector();
        let pooledBytes = 0;
        res.once('close', () => pool.give(pooledBytes));
        res.on('data', (chunk: Buffer) => {
          const isShared = maxResponseBytes <= MAX_ANSWER_BYTES;
          if (received.length + chunk.length > maxResponseBytes)
            req.destroy(new ResponseTooLargeError(requestLine, maxResponseBytes));
          else if (isShared && !pool.take(chunk.length))
            req.destroy(new NoResponseError(`${requestLine}: too many incomplete answers`));
          else {
            received.append(chunk);
            pooledBytes += isShared ? chunk.length : 0;
          }
        });
        res.on('end', () => {
          clearTimeout(timer);
          resolve({ status: res.statusCode ?? 0, body: received.take() });
        });
        res.on('error', fail);
        res.on('aborted', () => fail(new NoResponseError(`${requestLine}: connection closed within the response`)));
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
        const isNoResponse = error instanceof NoResponseError;
        reject(isNoResponse ? error : new NoResponseError(`${requestLine}: ${error.message}`, { cause: error }));
      };
      const timer = setTimeout(
        () => req.destroy(new NoResponseError(`${requestLine}: no complete response within ${timeoutMs} ms`)),
        timeoutMs,
      );
      req.on('error', fail);
      req.end(body ?? undefined);
    });
}
