import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { KeepAliveHosts, nodeHttp } from '../src/index';

test('connections are kept to so many hosts only, however many are asked', async () => {
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
    // What is closed has to have arrived at the servers.
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

test('a host that has not been asked for long gives its place to another', () => {
  let now = 0;
  const hosts = new KeepAliveHosts(2, () => now);
  assert.deepEqual(
    ['a', 'b', 'c', 'a'].map((host) => hosts.use(host)),
    [true, true, false, true],
  );
  now = 29_000;
  assert.equal(hosts.use('a'), true);
  now = 31_000;
  // b was not asked since the beginning.
  assert.deepEqual(
    ['c', 'b', 'a'].map((host) => hosts.use(host)),
    [true, false, true],
  );
});
