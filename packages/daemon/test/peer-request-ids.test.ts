import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponseError, URGENCY } from '@gingerlock/clients';
import { MAX_FRAME_BYTES, type PeerLink, type PeerMessage } from '@gingerlock/peer';
import { Sim } from '@gingerlock/testkit';
import { Controller } from '../src/controller/controller';
import { SILENT } from '../src/controller/log';
import { settingsOf } from '../src/settings/settings';
import { platform } from './platform';

/** Starts a process of a controller. Its peer records all received messages; the key-value store does not answer. */
function startProcess(sim: Sim): { controller: Controller; link: PeerLink; received: PeerMessage[] } {
  const received: PeerMessage[] = [];
  const link: PeerLink = {
    nodes: ['n1'],
    frameBytes: MAX_FRAME_BYTES,
    isAlive: () => true,
    send: (_node, message) => received.push(message) > 0,
    sendBatch: (_node, messages) => received.push(...messages) > 0,
    onMessage: () => undefined,
  };
  const controller = new Controller({
    settings: settingsOf(platform, {}),
    clock: sim.clock(
      0,
      () => 0,
      () => true,
    ),
    http: () => Promise.reject(new NoResponseError('cut off')),
    link,
    log: SILENT,
  });
  controller.start();
  return { controller, link, received };
}

// Answers are matched by the id of their request. If two processes of a controller used the same ids, a late answer to
// the earlier one would lend writes, confirm another request, or give a worker the commands for another worker.
test('an answer is accepted once, and only by the process that sent the request', async () => {
  const sim = new Sim(4);
  const ids: string[] = [];
  for (let process = 0; process < 2; process++) {
    const { controller, link, received } = startProcess(sim);
    const { rateLimiter } = controller.keyValueStore.options;
    rateLimiter.acquire(URGENCY.rest, 400, 60_000).catch(() => undefined);
    await sim.run(sim.now + 200);
    const request = received.find((message) => message.kind === 'BudgetRequest');
    assert.ok(request?.kind === 'BudgetRequest');
    const missingWrites = (): number => rateLimiter.missingWrites();
    const before = missingWrites();
    for (const id of ids) link.onMessage('n1', { kind: 'BudgetGrant', id, writes: 50 });
    assert.equal(missingWrites(), before, 'an answer to the previous process');
    link.onMessage('n1', { kind: 'BudgetGrant', id: request.id, writes: 50 });
    assert.equal(missingWrites(), before - 50);
    link.onMessage('n1', { kind: 'BudgetGrant', id: request.id, writes: 50 });
    assert.equal(missingWrites(), before - 50, 'a repeated answer');
    ids.push(...received.flatMap((message) => (message.kind === 'BudgetRequest' ? [message.id] : [])));
    assert.equal(new Set(ids).size, ids.length);
    controller.stop();
  }
});
