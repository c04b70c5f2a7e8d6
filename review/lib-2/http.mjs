// MessagePack over HTTP/1.1, as PROTOCOL prescribes for every interface: a small server and a small client.
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Encodes a value; integers beyond 32 bits are written as integers and not as floats. */
export function pack(value) {
  return packr.pack(withIntegers(value));
}

function withIntegers(value) {
  if (typeof value === 'number') return Number.isInteger(value) && value > 0xffffffff ? BigInt(value) : value;
  if (Array.isArray(value)) return value.map(withIntegers);
  if (typeof value !== 'object' || value === null || Buffer.isBuffer(value)) return value;
  return Object.fromEntries(Object.entries(value).map(([key, field]) => [key, withIntegers(field)]));
}

export function unpack(body) {
  return packr.unpack(body);
}

/** Ports below those that the operating system gives to outgoing connections. */
const PORTS = { from: 12_000, count: 18_000 };
const PORT_TRIES = 50;

/**
 * Returns a loopback port that is free now. A port that the system had chosen itself could be given to an outgoing
 * connection before the caller listens on it.
 */
export async function freePort() {
  for (let tries = 0; tries < PORT_TRIES; tries++) {
    const port = PORTS.from + Math.floor(Math.random() * PORTS.count);
    if (await isFree(port)) return port;
  }
  throw new Error('no free port found');
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Serves requests at a port of 127.0.0.1 (0: any free one). `handle(method, path, body)` returns `{ status, body }`, a
 * promise of it, or null for no answer; `body` is a value to encode, or undefined.
 */
export function serveHttp(handle, port = 0) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', () => {
      Promise.resolve(handle(req.method, req.url, Buffer.concat(chunks)))
        .then((answer) => {
          if (answer === null || res.destroyed) return;
          const body = answer.body === undefined ? Buffer.alloc(0) : pack(answer.body);
          res.writeHead(answer.status, { 'content-type': 'application/msgpack', 'content-length': body.length });
          res.end(body);
        })
        .catch(() => res.destroy());
    });
  });
  // PROTOCOL: a connection stays open unless one side sends `Connection: close`.
  server.keepAliveTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

const agent = new Agent({ keepAlive: true });

/** Sends a request. Resolves with `{ status, body }`, the body undecoded, or rejects if no complete answer arrives. */
export function call(address, method, path, body, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = request({ agent, host, port: Number(port), method, path, headers: headersOf(body) }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        clearTimeout(timer);
        resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks) });
      });
    });
    const timer = setTimeout(() => req.destroy(new Error('no response in time')), timeoutMs);
    req.on('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    req.end(body ?? undefined);
  });
}

function headersOf(body) {
  return body === null ? {} : { 'content-type': 'application/msgpack', 'content-length': body.length };
}
