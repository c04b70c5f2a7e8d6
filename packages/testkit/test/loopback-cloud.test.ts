// The stand-in of the cloud keeps a machine that was returned, if the deployment is on loopback. What happened: the
// loopback test of replica groups waited for ever once the leader had returned machines: each scale-out was refused for
// lack of capacity, and the log named the same machines as scaled in every 28 s. Why: the stand-in left it to the
// deployment to take a returned machine off its records, and the one on loopback did not. The machine was listed as
// running for good and used up the capacity of its zone. In the failing runs the records still had all six machines
// after four of them had been returned. PROTOCOL: "The machines and everything on them are gone when the response
// (200) arrives", and "machines that are deleted or taken are not listed".
//
// A second fault showed once that was mended, in 5 of 30 runs beside load: a machine that was on its way when the test
// took the cloud's capacity away came up in a zone that has none, so that the group was rightly served again while the
// test waited for nobody to serve. The step is about a cloud that has no machine to give. In the trace the records had
// `m-000007 south booting` as the capacity became 0; 1.4 s after `group waiting` came `group reserved` with m-000007.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cloud, type Http } from '@gingerlock/clients';
import { LoopbackDeployment, ONE_TYPE, Sim, SimCloud } from '../src/index';

const ONE_IN_EACH_ZONE = { seed: 1, controllers: 1, machines: 3, guaranteedGpus: 4, gpusMax: 12, features: {} };
const REQUEST = { type: 'box', zone: 'north', spot: false, count: 1 };
const TIMEOUT_MS = 1000;

function clientOf(world: LoopbackDeployment): Cloud {
  const http: Http = (_to, method, path, body) =>
    Promise.resolve(world.cloud.handle(method, path, body ?? Buffer.alloc(0)));
  return new Cloud(http, 'cloud:1', TIMEOUT_MS);
}

test('a machine that was returned to the cloud of a loopback deployment is not listed, and its place is free', async () => {
  const world = new LoopbackDeployment(ONE_IN_EACH_ZONE);
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

test('a machine on its way does not come up once its zone has no place for it, and others do', async () => {
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
  // It stays on its way and is charged until it is returned (PROTOCOL).
  assert.equal(cloud.rented.find(({ name }) => name === inNorth)?.state, 'booting');
  cloud.capacity = 3;
  await sim.run(20_000);
  assert.deepEqual(up, [running, inSouth]);
});
