// MessagePack bodies and a small HTTP client and server for the stand-ins.
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Encodes a body. Integers beyond 32 bits must be bigints, because the codec writes such numbers as floats. */
export function pack(value) {
  return packr.pack(value);
}

export function unpack(body) {
  return body.length === 0 ? null : packr.unpack(body);
}

/** An integer of any size for `pack`. */
export function integer(value) {
  return value > 0xffffffff ? BigInt(value) : value;
}

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Ports below those that the operating system gives to outgoing connections, which could take one before its use. */
const LEAST_PORT = 12_000;
const MOST_PORT = 32_000;

/** Returns `count` ports of 127.0.0.1 that are free now. */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = LEAST_PORT + Math.floor(Math.random() * (MOST_PORT - LEAST_PORT));
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  return [...ports];
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

const agent = new Agent({ keepAlive: true });

/** Sends one request. Resolves with status, decoded body and size; rejects without a complete answer in time. */
export function send(port, method, path, body, timeoutMs) {
  return new Promise((resolve, reject) => {
    const bytes = body === null ? null : pack(body);
    const headers =
      bytes === null ? {} : { 'content-type': 'application/msgpack', 'content-length': String(bytes.length) };
    const req = request({ host: '127.0.0.1', port, method, path, headers, agent }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', fail);
      res.on('end', () => {
        clearTimeout(timer);
        const received = Buffer.concat(chunks);
        resolve({ status: res.statusCode, body: decodedOrNull(received), bytes: received.length });
      });
    });
    const timer = setTimeout(() => req.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
    function fail(error) {
      clearTimeout(timer);
      reject(error);
    }
    req.on('error', fail);
    req.end(bytes ?? undefined);
  });
}

function decodedOrNull(bytes) {
  try {
    return unpack(bytes);
  } catch {
    return null;
  }
}

/** Starts a server at the port. `handle(method, path, body)` returns `[status, body]`. */
export function listen(port, handle) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      const [status, map] = handle(req.method, req.url, unpack(Buffer.concat(chunks)));
      const bytes = pack(map);
      res.writeHead(status, { 'content-type': 'application/msgpack', 'content-length': String(bytes.length) });
      res.end(bytes);
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve) => server.listen(port, '127.0.0.1', () => resolve(server)));
}
