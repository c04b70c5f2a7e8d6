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

// The first attempt is carried out and its answer lost, the second conflicts with it, and for a while nothing can be
// read. If that counted as not done, a task that was returned would be granted here and assigned to another partition
// as well.
test('a transaction that conflicts counts as not done only once what it conflicts with has been read', async () => {
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
    sendGroup: () => true,
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
  assert.ok(transactions >= transactionsBefore + 2, 'it was tried again');
  assert.equal(outcome, null, 'decided before anything could be read');
  isUnreadable = false;
  await sim.run(8000);
  assert.equal(outcome, 0);
  assert.ok(controller.watchCache.version(key) > 0, 'what was carried out is seen');
  controller.stop();
});
