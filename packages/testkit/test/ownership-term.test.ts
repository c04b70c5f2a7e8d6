// A partition that is lost and acquired again by the same controller: nothing of the former ownership term acts under
// the later one.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decode, KEYS, ownerRecord, parseStateRequest, txnRequestOf } from '@gingerlock/wire';
import { World } from '../src/index';

const OWNER = 'node-0';
const RESOURCE = '0';
/** As in the settings of the simulated world. */
const TXN_OPS = 12;

function ownerRecordOf(world: World): { readonly term: number; readonly node: string } {
  return ownerRecord.read(world.state.data.get(KEYS.owner(RESOURCE))!.value);
}

// Were term and version of a partition read anew after each write, the former owner's table would go on being written
// under the version of the next term, which knows nothing of it.
test('a write of a former ownership term that is answered late is not followed by others under the next term', async () => {
  // More machines than fit into one transaction have to be written down.
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
    // Refused for a while, so that many machines wait for it.
    if (world.sim.now < 3000) return { status: 503, body: Buffer.alloc(0) };
    if (written > 0) lateWrites++;
    if (written > 0 || changes.length < TXN_OPS) return world.state.handle(method, path, body, from);
    written = changes.length;
    const answer = await world.state.handle(method, path, body, from);
    // No heartbeat comes in the next term, so that it has nothing to write itself.
    for (const worker of world.workers.keys()) world.network.cut(worker, OWNER, 'lose');
    const { term } = ownerRecordOf(world);
    world.nodes[0]!.link!.onMessage('node-1', { kind: 'OwnershipQuery', id: 'q', partitionId: 0, term: term + 1 });
    await new Promise<void>((resolve) => world.sim.after(900, resolve));
    assert.ok(ownerRecordOf(world).term > term, 'the partition was not taken again');
    return answer;
  });
  await world.sim.run(8000);
  assert.equal(written, TXN_OPS);
  assert.equal(ownerRecordOf(world).node, OWNER);
  assert.equal(lateWrites, 0);
});
