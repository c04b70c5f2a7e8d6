import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settingsOf } from '@gingerlock/daemon';
import { storeLeaseMs } from '@gingerlock/core';
import { parseStateRequest, STATE_PATHS } from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

/** The names of the controllers that own each partition now. */
function owners(world: World): Map<number, string[]> {
  const partitions = new Map<number, string[]>();
  for (const { name, controller } of world.nodes) {
    for (const { partitionId } of controller?.owned() ?? [])
      partitions.set(partitionId, [...(partitions.get(partitionId) ?? []), name]);
  }
  return partitions;
}

// If each controller waited a whole heartbeat interval for every controller before it in order, dead or alive, then
// with five controllers a partition would have no owner for longer than a worker lease.
test('partitions of controllers that crash together have new owners within a store lease and two heartbeat intervals', async () => {
  for (const dead of [
    [0, 1, 2],
    [1, 2, 3],
    [3, 4, 0],
  ]) {
    const world = new World({ seed: 5, controllers: 5, machines: 10 });
    await world.sim.run(20_000);
    assert.equal(owners(world).size, 5);
    const { clusterConfig } = settingsOf(world.settings('node-0'), {});
    for (const i of dead) world.crash(`node-${i}`);
    await world.sim.run(world.sim.now + storeLeaseMs(clusterConfig) + 2 * clusterConfig.heartbeatIntervalMs);
    const after = owners(world);
    assert.equal(after.size, 5, `owned partitions: ${[...after.keys()].join()}`);
    for (const [partitionId, names] of after)
      assert.equal(names.length, 1, `partition ${partitionId}: ${names.join()}`);
  }
});

/** The controller that owns the worker's partition now. */
function ownerOf(world: World, { name }: { readonly name: string }): string {
  const owns = (n: World['nodes'][number]): boolean =>
    n.controller?.owned().some((o) => o.claimTable.machines.has(name)) ?? false;
  return world.nodes.find(owns)!.name;
}

// If a worker's heartbeat is refused because its partition has no owner, it tries the next controller, which may be
// dead or cut off as well. After two such attempts its worker lease would expire, and its tasks would end.
test('a heartbeat to a partition whose owner has just crashed waits for the next owner and is redirected there', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const world = new World({ seed, controllers: 5, machines: 30 });
    await world.sim.run(4000);
    const worker = [...world.workers.values()][0]!;
    world.crash(ownerOf(world, worker));
    await world.sim.run(world.sim.now + 300);
    // The worker ends after this heartbeat, as a later one would make this one an outdated copy.
    const { body } = worker.inspect();
    worker.die();
    const asked = world.nodes.filter((n) => n.controller !== null)[seed - 1]!;
    const askedAt = world.sim.now;
    let answer: { status: number; afterMs: number } | null = null;
    void asked.controller!.checkin(body).then(({ status }) => {
      answer = { status, afterMs: world.sim.now - askedAt };
    });
    await world.sim.run(askedAt + 4000);
    // A worker waits 4 s for an answer.
    assert.ok(answer !== null, `${asked.name} did not answer`);
    const { status } = answer as { status: number };
    assert.ok(status === 200 || status === 421, `${asked.name} answered ${status}`);
  }
});

// If partitions stayed with the controllers that took them over, one controller would own most of the fleet after
// rolling restarts.
test('partitions return to their home controllers once those have recovered, and no worker loses its lease', async () => {
  const world = new World({ seed: 3, controllers: 5, machines: 15, load: 1 });
  const day = runScenario(world, { seed: 3, forMs: 120_000, faults: [] });
  for (const name of ['node-1', 'node-3']) {
    world.sim.after(15_000, () => world.crash(name));
    world.sim.after(20_000, () => world.startNode(name));
  }
  let ownersDuringCrash = new Map<number, string[]>();
  world.sim.after(19_000, () => {
    ownersDuringCrash = owners(world);
  });
  const sessions = new Map<string, number>();
  world.sim.after(25_000, () => {
    for (const [name, w] of world.workers) sessions.set(name, w.agentEpoch);
  });
  await day;
  assert.ok([...ownersDuringCrash.values()].flat().every((name) => name !== 'node-1' && name !== 'node-3'));
  assert.deepEqual([...owners(world).values()].flat().sort(), world.controllers);
  for (const [name, w] of world.workers) if (sessions.has(name)) assert.equal(w.agentEpoch, sessions.get(name), name);
  assert.ok(sessions.size > 0);
  assert.deepEqual(world.violations, []);
});

// A controller that gets a new store lease after the old one expired must not start tasks before its next read: another
// controller may own the partition by then and answer the same workers.
test('a controller with a new store lease starts no task before it has read that it still owns its partitions', async () => {
  const world = new World({ seed: 6, controllers: 3, machines: 6 });
  await world.sim.run(8000);
  const node = world.nodes[0]!.controller!;
  const mayStart = (): boolean => node.owned().some((o) => o.mayGrant(node.clock.now()));
  assert.ok(mayStart());
  let renewals = 0;
  let grants = 0;
  world.network.hosts.set('state:1', (method, path, body, from) => {
    if (from === 'node-0') {
      const request = parseStateRequest(method, path);
      if (request?.kind === 'follow') return { status: 503, body: Buffer.alloc(0) };
      if (request?.kind === 'renew' && renewals++ === 0) {
        void world.state.handle('DELETE', STATE_PATHS.release(request.lease), Buffer.alloc(0), from);
      }
      if (request?.kind === 'grant') grants++;
    }
    return world.state.handle(method, path, body, from);
  });
  const until = world.sim.now + world.cancellationBoundMs / 10;
  while (grants === 0) await world.sim.run(world.sim.now + 10);
  await world.sim.run(world.sim.now + 100);
  assert.ok(world.sim.now < until, 'the view has become too old, so that it alone prevents starts');
  assert.ok(node.context.isLeaseValid());
  assert.equal(mayStart(), false);
});
