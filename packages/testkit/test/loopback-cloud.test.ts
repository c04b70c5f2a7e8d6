// The stand-in of the cloud keeps a machine that was returned, if the deployment is on loopback. What happened: the
// loopback test of replica groups waited for ever once the leader had returned machines: each scale-out was refused for
// lack of capacity, and the log named the same machines as scaled in every 28 s. Why: the stand-in left it to the
// deployment to take a returned machine off its records, and the one on loopback did not. The machine was listed as
// running for good and used up the capacity of its zone. In the failing runs the records still had all six machines
// after four of them had been returned. PROTOCOL: "The machines and everything on them are gone when the response
// (200) arrives", and "machines that are deleted or taken are not listed".
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cloud } from '@gingerlock/clients';
import { LoopbackDeployment } from '../src/index';

const REQUEST = { type: 'box', zone: 'north', spot: false, count: 1 };
const TIMEOUT_MS = 1000;

test('a machine that was returned to the cloud of a loopback deployment is not listed, and its place is free', async () => {
  const world = new LoopbackDeployment({
    seed: 1,
    controllers: 1,
    // One machine in each zone.
    machines: 3,
    guaranteedGpus: 4,
    gpusMax: 12,
    features: {},
  });
  const cloud = new Cloud(
    (_to, method, path, body) => Promise.resolve(world.cloud.handle(method, path, body ?? Buffer.alloc(0))),
    'cloud:1',
    TIMEOUT_MS,
  );
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
