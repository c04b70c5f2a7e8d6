import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { GingerlockError } from '@gingerlock/wire';
import { KeepAliveHosts, nodeHttp, NoResponseError, ResponseTooLargeError } from '../src/index';

test('connections are kept alive to a limited number of hosts', async () => {
  const server = createServer((_request, response) => response.end('x')).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const others = Array.from({ length: 30 }, () => createServer((_request, response) => response.end('x')));
  for (const other of others) {
    other.listen(0, '127.0.0.1');
    await once(other, 'listening');
  }
  const http = nodeHttp(5);
  try {
    const ports = [port, ...others.map((other) => (other.address() as AddressInfo).port)];
    for (const to of [...ports, ...ports]) {
      assert.equal((await http(`127.0.0.1:${to}`, 'GET', '/', null, 2000)).status, 200);
    }
    // Gives the servers time to see the closed connections.
    await new Promise((resolve) => setTimeout(resolve, 100));
    const counts = await Promise.all(
      [server, ...others].map((s) => new Promise<number>((resolve) => s.getConnections((_e, n) => resolve(n)))),
    );
    assert.equal(
      counts.reduce((sum, n) => sum + n, 0),
      5,
    );
  } finally {
    for (const s of [server, ...others]) {
      s.closeAllConnections();
      s.close();
    }
  }
});

test('an idle host loses its keep-alive connections to another host', () => {
  let now = 0;
  const hosts = new KeepAliveHosts(2, () => now);
  assert.deepEqual(
    ['a', 'b', 'c', 'a'].map((host) => hosts.use(host)),
    [true, true, false, true],
  );
  now = 29_000;
  assert.equal(hosts.use('a'), true);
  now = 31_000;
  // b has been idle since the start.
  assert.deepEqual(
    ['c', 'b', 'a'].map((host) => hosts.use(host)),
    [true, false, true],
  );
});

test('a request without a response is rejected with the request, a stable code and the cause', async () => {
  const server = createServer((request, response) => {
    if (request.url === '/huge') response.end(Buffer.alloc(9 * 1024 * 1024));
    else if (request.url === '/cut')
      response.writeHead(200, { 'content-length': '10' }).write('x', () => response.destroy());
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const http = nodeHttp();
  const failureOf = async (path: string): Promise<NoResponseError> => {
    const error: unknown = await http(addr, 'GET', path, null, 300).then(
      () => null,
      (reason: unknown) => reason,
    );
    assert.ok(error instanceof NoResponseError && error instanceof GingerlockError, String(error));
    assert.ok(error.message.startsWith(`GET ${addr}${path}: `), error.message);
    return error;
  };
  try {
    const silent = await failureOf('/silent');
    assert.deepEqual([silent.name, silent.code, silent.cause], ['NoResponseError', 'NO_RESPONSE', undefined]);
    assert.match(silent.message, /no complete response within 300 ms$/);
    const cut = await failureOf('/cut');
    assert.equal(cut.code, 'NO_RESPONSE');
    const huge = await failureOf('/huge');
    assert.ok(huge instanceof ResponseTooLargeError);
    assert.deepEqual([huge.name, huge.code], ['ResponseTooLargeError', 'RESPONSE_TOO_LARGE']);
  } finally {
    server.closeAllConnections();
    server.close();
  }
  const refused = await failureOf('/');
  assert.equal(refused.code, 'NO_RESPONSE');
  assert.equal((refused.cause as NodeJS.ErrnoException).code, 'ECONNREFUSED');
});
