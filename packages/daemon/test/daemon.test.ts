import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode, encodeSubmission, MAX_BODY_BYTES } from '@gingerlock/wire';
import { World } from '@gingerlock/testkit';
import { openServer } from '../src/api/server';
import { SettingsError, settingsOf } from '../src/settings/settings';
import { SILENT } from '../src/controller/log';
import { platform } from './platform';

test('errors name the path of a missing or invalid setting, and unknown platform settings are ignored', () => {
  assert.equal(settingsOf({ ...platform, more: 1 }, {}).clusterConfig.workerLeaseMs, 5000);
  const checkRequired = (value: unknown, path: string[]): void => {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) return;
    for (const key of Object.keys(value)) {
      const copy = structuredClone(platform) as Record<string, unknown>;
      let at = copy;
      for (const word of path) at = at[word] as Record<string, unknown>;
      Reflect.deleteProperty(at, key);
      const name = [...path, key].join('.');
      assert.throws(
        () => settingsOf(copy, {}),
        (e: Error) => e instanceof SettingsError && e.message.includes(name),
        name,
      );
      checkRequired((value as Record<string, unknown>)[key], [...path, key]);
    }
  };
  checkRequired(platform, []);
  assert.throws(() => settingsOf(platform, { headrom: 1 }), /headrom/);
  assert.throws(() => settingsOf(platform, { headroom: -1 }), /headroom/);
  assert.equal(settingsOf(platform, { max_spot_machines: 3 }).operators.maxSpotMachines, 3);
});

// Guards against controllers with much memory but a small heap, which 100,000 tiny tasks end although the memory is there.
test('the heap and the memory of a controller both bound the tasks that are assigned', () => {
  const maxTasks = (ramMb: number | undefined, heapMb: number): number => {
    const facts = { ...platform.facts, machine_limits: { ...platform.facts.machine_limits, ram_mb: ramMb } };
    return settingsOf({ ...platform, facts }, {}, {}, heapMb * 1e6).clusterConfig.maxAssignedTasks;
  };
  const small = maxTasks(114, 64);
  // Tasks, machines and jobs share the memory: at 600 bytes a task, half of it is no longer safe.
  assert.ok(small * 600 <= 32e6 && small * 600 >= 8e6, `${small} tasks`);
  assert.ok(maxTasks(4000, 64) * 600 <= 32e6);
  assert.ok(maxTasks(undefined, 64) * 600 <= 32e6);
  assert.ok(maxTasks(114, 4000) * 600 <= 57e6);
  assert.ok(maxTasks(1000, 1000) > 2 * small);
  assert.equal(maxTasks(undefined, Infinity), Infinity);
});

// Guards against refused reports that leave no trace: the worker loses its lease again and again, and no log says why.
test('HTTP: a request that is too large is logged with its path and size', async () => {
  const world = new World({ seed: 3 });
  await world.sim.run(4000);
  const lines: unknown[] = [];
  const info = (fields: Record<string, unknown>, message: string): void => void lines.push({ ...fields, message });
  const app = openServer(world.nodes[0]!.controller!, { ...SILENT, info }, 600);
  const payload = Buffer.alloc(MAX_BODY_BYTES + 1);
  const headers = { 'content-type': 'application/msgpack' };
  await app.inject({ method: 'POST', url: '/checkin', payload, headers });
  await app.inject({ method: 'POST', url: '/checkin', payload: payload.subarray(0, 9), headers });
  await app.close();
  const from = '127.0.0.1';
  const reason = 'not MessagePack (bytes after the message)';
  assert.deepEqual(lines, [
    { path: '/checkin', bytes: MAX_BODY_BYTES + 1, from, message: 'request too large' },
    { path: '/checkin', bytes: 9, from, reason, message: 'malformed message' },
  ]);
});

test('HTTP: invalid requests get their status at once, and the server keeps working', async () => {
  const world = new World({ seed: 3 });
  const node = world.nodes[0]!;
  await world.sim.run(4000);
  const app = openServer(node.controller!, SILENT, 600);
  const post = async (url: string, payload: Buffer): Promise<number> =>
    (await app.inject({ method: 'POST', url, payload, headers: { 'content-type': 'application/msgpack' } })).statusCode;
  assert.equal((await app.inject({ method: 'GET', url: '/up' })).statusCode, 200);
  for (const url of ['/submissions', '/checkin']) {
    assert.equal(await post(url, Buffer.from([0xc1])), 400);
    assert.equal(await post(url, encode([1, 2])), 400);
    assert.equal(await post(url, encode({ name_id: 'j-1' })), 400);
    assert.equal(await post(url, Buffer.alloc(MAX_BODY_BYTES + 1)), 400);
    assert.equal((await app.inject({ method: 'POST', url })).statusCode, 400);
  }
  assert.equal((await app.inject({ method: 'GET', url: '/submissions/nonsense' })).statusCode, 404);
  assert.equal((await app.inject({ method: 'GET', url: '/nowhere' })).statusCode, 404);
  const job = { ...world.randomJob(), id: 'j-000001' };
  const impossible = post('/submissions', encodeSubmission({ ...job, team: 'nobody' }));
  // The reply needs a read of the key-value store, which takes simulated time.
  for (let i = 0; i < 50; i++) await new Promise((resolve) => setImmediate(resolve));
  await world.sim.run(6000);
  assert.equal(await impossible, 422);
  await app.close();
});
