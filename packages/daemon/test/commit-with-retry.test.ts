import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Http, NoResponseError } from '@gingerlock/clients';
import { KEYS, membershipRecord, STATE_PATHS } from '@gingerlock/wire';
import { MAX_FRAME_BYTES } from '@gingerlock/peer';
import { Sim, SimStateService } from '@gingerlock/testkit';
import { Controller } from '../src/controller/controller';
import { SILENT } from '../src/controller/log';
import { settingsOf } from '../src/settings/settings';
import { platform } from './platform';

// The first attempt is carried out but its answer is lost, the second conflicts with it, and reads fail for a while. If
// the transaction counted as not done, a returned task would be granted here and also assigned to another partition.
test('a conflicting transaction counts as not done only after the conflicting change has been read', async () => {
  const sim = new Sim(5);
  const service = new SimStateService(sim);
  let losesNextAnswer = false;
  let isUnreadable = false;
  let transactions = 0;
  const http: Http = (_addr, method, path, body) =>
    new Promise((resolve, reject) => {
      sim.after(5, () => {
        const isTxn = path === STATE_PATHS.txn;
        if (isTxn) transactions++;
        if (!isTxn && isUnreadable) return reject(new NoResponseError('lost'));
        const answer = service.handle(method, path, body ?? Buffer.alloc(0), 'n0');
        if (isTxn && losesNextAnswer) {
          losesNextAnswer = false;
          isUnreadable = true;
          return reject(new NoResponseError('lost'));
        }
        resolve(answer);
      });
    });
  const link = {
    nodes: ['n1'],
    frameBytes: MAX_FRAME_BYTES,
    isAlive: () => true,
    send: () => true,
    sendBatch: () => true,
    onMessage: () => undefined,
  };
  const settings = settingsOf(platform, {});
  const clock = sim.clock(
    0,
    () => 0,
    () => true,
  );
  const controller = new Controller({ settings, clock, http, link, log: SILENT });
  controller.start();
  await sim.run(2000);
  losesNextAnswer = true;
  const key = KEYS.membership(0, 'm-1');
  const transactionsBefore = transactions;
  let outcome: number | null = null;
  void controller.context
    .commitWithRetry(0, [{ key, version: 0 }], [{ put: key, value: membershipRecord.write('a:1') }], () => true)
    .then((revision) => {
      outcome = revision;
    });
  await sim.run(6000);
  assert.ok(transactions >= transactionsBefore + 2, 'the transaction was not retried');
  assert.equal(outcome, null, 'decided before anything could be read');
  isUnreadable = false;
  await sim.run(8000);
  assert.equal(outcome, 0);
  assert.ok(controller.watchCache.version(key) > 0, 'the watch cache does not show the change that was carried out');
  controller.stop();
});
