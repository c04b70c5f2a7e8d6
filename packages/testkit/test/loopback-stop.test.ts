// Guards against a test process that never exits after its loopback deployment was stopped. A deployment stops its
// machines, then its controllers, then its timers. A machine that came up in between was not stopped, and could set
// timers again after they had been cleared. One of 42 runs of the loopback test of replica groups under load hung after
// it had passed; this cause is inferred, and gives the same symptom here.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { LoopbackDeployment, ONE_TYPE } from '../src/index';

/** Machines come up for this long, while the deployment stops and after it has stopped. */
const BOOTS_FOR_MS = 50;

test('no machine comes up once a loopback deployment begins to stop', async () => {
  const options = { seed: 1, controllers: 3, machines: 3, guaranteedGpus: 4, gpusMax: 12, features: {} };
  const world = new LoopbackDeployment(options);
  await world.start();
  const stops = world.stop();
  for (let afterMs = 0; afterMs < BOOTS_FOR_MS; afterMs++)
    setTimeout(() => world.cloud.boot(ONE_TYPE.types[0]!, 'north', false, 0), afterMs);
  await stops;
  await pause(2 * BOOTS_FOR_MS);
  const alive = [...world.workers.values()].filter((worker) => worker.alive).map(({ name }) => name);
  assert.deepEqual(alive, []);
});
