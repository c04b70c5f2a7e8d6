import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settingsOf } from '@gingerlock/daemon';
import { storeLeaseMs } from '@gingerlock/core';
import { parseStateRequest, STATE_PATHS } from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

/** Which controllers own each partition now. */
function owners(world: World): Map<number, string[]> {
  const partitions = new Map<number, string[]>();
  for (const { name, controller } of world.nodes) {
    for (const { partitionId } of controller?.owned() ?? [])
      partitions.set(partitionId, [...(partitions.get(partitionId) ?? []), name]);
  }
  return partitions;
}

// Controllers must not leave a whole heartbeat interval to each of those before them, dead or alive: with five of them
// a partition would wait for longer than its workers' leases last.
test('the partitions of controllers that crash together have new owners within a state lease and two heartbeat intervals', async () => {
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
    assert.equal(after.size, 5, `owned: ${[...after.keys()].join()}`);
    for (const [partitionId, names] of after) assert.equal(names.length, 1, `part ${partitionId}: ${names.join()}`);
  }
});

/** The controller that owns the worker's partition now. */
function ownerOf(world: World, { name }: { readonly name: string }): string {
  const has = (n: World['nodes'][number]): boolean =>
    n.controller?.owned().some((o) => o.claimTable.machines.has(name)) ?? false;
  return world.nodes.find(has)!.name;
}

// A worker that is sent away from a partition without an owner tries the next controller, which may be dead or cut off
// as well: after two of those it would lose its lease, with all that runs there.
test('a heartbeat to a partition whose owner has just crashed waits for the next owner and is redirected there', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const world = new World({ seed, controllers: 5, machines: 30 });
    await world.sim.run(4000);
    const worker = [...world.workers.values()][0]!;
    world.crash(ownerOf(world, worker));
    await world.sim.run(world.sim.now + 300);
    // Its last heartbeat: one that it sent itself meanwhile would make this one an older copy.
    const { body } = worker.inspect();
    worker.die();
    const asked = world.nodes.filter((n) => n.controller !== null)[seed - 1]!;
    const askedAt = world.sim.now;
    let answer: { status: number; afterMs: number } | null = null;
    void asked.controller!.checkin(body).then(({ status }) => {
      answer = { status, afterMs: world.sim.now - askedAt };
    });
    await world.sim.run(askedAt + 4000);
    // A worker drops answers after 4 s.
    assert.ok(answer !== null, `${asked.name} did not answer`);
    const { status } = answer as { status: number };
    assert.ok(status === 200 || status === 421, `${asked.name} answered ${status}`);
  }
});

// Parts stayed with whoever took them over: after rolling restarts one controller owned most of the fleet.
test('partitions return to their home controllers once those are well, and no worker loses its lease over it', async () => {
  const world = new World({ seed: 3, controllers: 5, machines: 15, load: 1 });
  const day = runScenario(world, { seed: 3, forMs: 120_000, faults: [] });
  for (const name of ['node-1', 'node-3']) {
    world.sim.after(15_000, () => world.crash(name));
    world.sim.after(20_000, () => world.startNode(name));
  }
  let moved = new Map<number, string[]>();
  world.sim.after(19_000, () => {
    moved = owners(world);
  });
  const sessions = new Map<string, number>();
  world.sim.after(25_000, () => {
    for (const [name, w] of world.workers) sessions.set(name, w.agentEpoch);
  });
  await day;
  assert.ok([...moved.values()].flat().every((name) => name !== 'node-1' && name !== 'node-3'));
  assert.deepEqual([...owners(world).values()].flat().sort(), world.controllers);
  for (const [name, w] of world.workers) if (sessions.has(name)) assert.equal(w.agentEpoch, sessions.get(name), name);
  assert.ok(sessions.size > 0);
  assert.deepEqual(world.violations, []);
});

// With a new state lease after an expired one, but without a read since, it must not start tasks: another controller
// may own the partition by then, and answer the same workers.
test('a controller with a new state lease starts nothing before it has read that its partitions are still its own', async () => {
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
  assert.ok(world.sim.now < until, 'its view is not too old yet');
  assert.ok(node.context.isLeaseValid());
  assert.equal(mayStart(), false);
});
