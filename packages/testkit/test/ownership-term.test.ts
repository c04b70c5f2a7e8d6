// A controller loses a partition and acquires it again: nothing of the first ownership term may act under the second.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decode, KEYS, ownerRecord, parseStateRequest, txnRequestOf } from '@gingerlock/wire';
import { World } from '../src/index';

const OWNER = 'node-0';
const RESOURCE = '0';
/** The limit on changes in a transaction in the settings of the simulated world. */
const TXN_OPS = 12;

function ownerRecordOf(world: World): { readonly term: number; readonly node: string } {
  return ownerRecord.read(world.state.data.get(KEYS.owner(RESOURCE))!.value);
}

// If a partition's term and version were read again after each write, the previous term's claim table would still be
// written, under the version of the next term, which does not know of these writes.
test('when a write of a former ownership term is answered late, no further writes of that term follow under the next one', async () => {
  // The machines to be stored do not fit into one transaction.
  const world = new World({ seed: 9, controllers: 2, machines: 60 });
  const memberships = KEYS.membership(0, '');
  let written = 0;
  let lateWrites = 0;
  world.network.hosts.set('state:1', async (method, path, body, from) => {
    const isWrite = from === OWNER && parseStateRequest(method, path)?.kind === 'txn';
    const changes = isWrite ? txnRequestOf(decode(body)).changes : [];
    if (!changes.some((c) => 'put' in c && c.put.startsWith(memberships))) {
      return world.state.handle(method, path, body, from);
    }
    // The write is refused for a while, so that many machines wait for it.
    if (world.sim.now < 3000) return { status: 503, body: Buffer.alloc(0) };
    if (written > 0) lateWrites++;
    if (written > 0 || changes.length < TXN_OPS) return world.state.handle(method, path, body, from);
    written = changes.length;
    const answer = await world.state.handle(method, path, body, from);
    // No heartbeat arrives in the next term, so that it has nothing to write itself.
    for (const worker of world.workers.keys()) world.network.cut(worker, OWNER, 'lose');
    const { term } = ownerRecordOf(world);
    world.nodes[0]!.link!.onMessage('node-1', { kind: 'OwnershipQuery', id: 'q', partitionId: 0, term: term + 1 });
    await new Promise<void>((resolve) => world.sim.after(900, resolve));
    assert.ok(ownerRecordOf(world).term > term, 'the partition was not acquired again');
    return answer;
  });
  await world.sim.run(8000);
  assert.equal(written, TXN_OPS);
  assert.equal(ownerRecordOf(world).node, OWNER);
  assert.equal(lateWrites, 0);
});
