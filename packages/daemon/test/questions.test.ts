import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponseError, URGENCY } from '@gingerlock/clients';
import { MAX_FRAME_BYTES, type PeerLink, type PeerMessage } from '@gingerlock/peer';
import { Sim } from '@gingerlock/testkit';
import { Controller } from '../src/controller/controller';
import { SILENT } from '../src/controller/log';
import { settingsOf } from '../src/settings/settings';
import { platform } from './platform';

/** One process of a controller with a peer that keeps what it is told; the state service does not answer. */
function startProcess(sim: Sim): { controller: Controller; link: PeerLink; told: PeerMessage[] } {
  const told: PeerMessage[] = [];
  const link: PeerLink = {
    nodes: ['n1'],
    frameBytes: MAX_FRAME_BYTES,
    alive: () => true,
    send: (_node, message) => told.push(message) > 0,
    sendGroup: (_node, messages) => told.push(...messages) > 0,
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
  return { controller, link, told };
}

// Questions were once counted from one in every process, and an answer was matched by that number alone: one that was long
// under way and meant for the process before would have lent room in the state service's limit, vouched for what nobody had
// asked, or handed one worker another's orders.
test('an answer counts once, and only for the process that asked', async () => {
  const sim = new Sim(4);
  const ids: string[] = [];
  for (let process = 0; process < 2; process++) {
    const { controller, link, told } = startProcess(sim);
    const { rateLimiter } = controller.keyValueStore.options;
    rateLimiter.acquire(URGENCY.rest, 400, 60_000).catch(() => undefined);
    await sim.run(sim.now + 200);
    const need = told.find((m) => m.kind === 'BudgetRequest');
    assert.ok(need?.kind === 'BudgetRequest');
    const short = (): number => rateLimiter.missingWrites();
    const before = short();
    for (const id of ids) link.onMessage('n1', { kind: 'BudgetGrant', id, writes: 50 });
    assert.equal(short(), before, 'an answer to the process before');
    link.onMessage('n1', { kind: 'BudgetGrant', id: need.id, writes: 50 });
    assert.equal(short(), before - 50);
    link.onMessage('n1', { kind: 'BudgetGrant', id: need.id, writes: 50 });
    assert.equal(short(), before - 50, 'a copy of an answer');
    ids.push(...told.flatMap((m) => (m.kind === 'BudgetRequest' ? [m.id] : [])));
    assert.equal(new Set(ids).size, ids.length);
    controller.stop();
  }
});
