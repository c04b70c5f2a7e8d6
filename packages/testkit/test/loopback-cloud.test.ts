// Guards against two faults of the cloud stand-in in loopback deployments:
// - It kept listing a machine that was returned, because it left the removal to the deployment, and the loopback
//   deployment did not do it. The machine used up the capacity of its zone, so that every scale-out was refused.
//   PROTOCOL: "The machines and everything on them are gone when the response (200) arrives", and "machines that are
//   deleted or taken are not listed".
// - A machine that was booting when a test set the cloud's capacity to 0 came up anyway (5 of 30 runs under load).
//   A replica group then served again while the test expected that it could not.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cloud, type Http } from '@gingerlock/clients';
import { LoopbackDeployment, ONE_TYPE, Sim, SimCloud } from '../src/index';

const ONE_MACHINE_PER_ZONE = { seed: 1, controllers: 1, machines: 3, guaranteedGpus: 4, gpusMax: 12, features: {} };
const REQUEST = { type: 'box', zone: 'north', spot: false, count: 1 };
const TIMEOUT_MS = 1000;

function clientOf(world: LoopbackDeployment): Cloud {
  const http: Http = (_to, method, path, body) =>
    Promise.resolve(world.cloud.handle(method, path, body ?? Buffer.alloc(0)));
  return new Cloud(http, 'cloud:1', TIMEOUT_MS);
}

test('a machine returned to the cloud of a loopback deployment is not listed, and its capacity is free', async () => {
  const world = new LoopbackDeployment(ONE_MACHINE_PER_ZONE);
  const cloud = clientOf(world);
  try {
    const first = await cloud.rent({ ...REQUEST, request: 'r-1' });
    assert.equal(first.kind, 'rented');
    assert.deepEqual(await cloud.rent({ ...REQUEST, request: 'r-2' }), { kind: 'no capacity' });
    const names = first.kind === 'rented' ? first.names : [];
    assert.deepEqual(
      (await cloud.list()).map(({ name }) => name),
      names,
    );
    assert.equal(await cloud.scaleIn(names), true);
    assert.deepEqual(await cloud.list(), []);
    assert.equal((await cloud.rent({ ...REQUEST, request: 'r-3' })).kind, 'rented');
  } finally {
    await world.stop();
  }
});

test('a booting machine does not come up once its zone has no capacity for it, and others do', async () => {
  const sim = new Sim(1);
  const up: string[] = [];
  const cloud = new SimCloud({
    sim,
    types: ONE_TYPE.types,
    neverUp: 0,
    capacity: 2,
    onUp: ({ name }) => up.push(name),
    onReturned: () => undefined,
  });
  const [type] = ONE_TYPE.types;
  const running = cloud.boot(type!, 'north', false, 0);
  await sim.run(1);
  const inNorth = cloud.boot(type!, 'north', false, 5000);
  const inSouth = cloud.boot(type!, 'south', false, 5000);
  cloud.capacity = 1;
  await sim.run(10_000);
  assert.deepEqual(up, [running, inSouth]);
  // It stays booting and is charged until it is returned (PROTOCOL).
  assert.equal(cloud.rented.find(({ name }) => name === inNorth)?.state, 'booting');
  cloud.capacity = 3;
  await sim.run(20_000);
  assert.deepEqual(up, [running, inSouth]);
});
