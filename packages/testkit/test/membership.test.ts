import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Machine, ClaimTable } from '@gingerlock/core';
import { ControllerContext } from '@gingerlock/daemon';
import { KEYS } from '@gingerlock/wire';
import { World } from '../src/index';

// A machine that is silent for a worker lease is removed from the membership. If it comes back during that write and
// the write fails, it is still a member. An owner that relied on the intended write would never use the machine again.
test('a machine that comes back while its removal from the membership fails remains a member', async () => {
  const world = new World({ seed: 3, controllers: 3, machines: 6, jobs: { kind: 'service', spot: false } });
  // Without jobs, the machines would be returned as idle.
  for (let i = 0; i < 6; i++) void world.users.submitAndFollow(world.randomJob(), null);
  await world.sim.run(10_000);
  const name = [...world.runningTasks().values()][0]!;
  const machine = (): Machine | undefined =>
    world.nodes
      .flatMap((n) => n.controller?.owned() ?? [])
      .map((o) => o.claimTable.machines.get(name))
      .find((m) => m !== undefined);
  assert.equal(machine()?.isMember, true);
  const { commitWithRetry } = ControllerContext.prototype;
  let hasReturned = false;
  ControllerContext.prototype.commitWithRetry = async function (
    this: ControllerContext,
    urgency,
    conditions,
    changes,
    isStillWanted,
  ) {
    const removal = changes.some((c) => 'remove' in c && [0, 1, 2].some((p) => c.remove === KEYS.membership(p, name)));
    if (!removal) return commitWithRetry.call(this, urgency, conditions, changes, isStillWanted);
    world.network.mute.delete(name);
    while (machine()?.answeredAt === null) await new Promise<void>((resolve) => world.sim.after(50, resolve));
    hasReturned = true;
    return 0;
  };
  try {
    world.network.mute.add(name);
    while (!hasReturned) await world.sim.run(world.sim.now + 100);
    await world.sim.run(world.sim.now + 100);
  } finally {
    ControllerContext.prototype.commitWithRetry = commitWithRetry;
  }
  assert.equal(machine()?.isMember, true);
});

// The membership outlasts the fencing period: a machine whose first heartbeat comes after that must count as a stored
// member. If it counted as one that has yet to be stored, it would never get work.
test('a stored member whose first heartbeat comes after its partition’s fencing period counts as a member', async () => {
  const world = new World({ seed: 4, controllers: 1, machines: 4, jobs: { kind: 'service', spot: false } });
  for (let i = 0; i < 6; i++) void world.users.submitAndFollow(world.randomJob(), null);
  await world.sim.run(10_000);
  const name = [...world.runningTasks().values()][0]!;
  world.network.mute.add(name);
  world.crash('node-0');
  await world.sim.run(world.sim.now + 500);
  world.startNode('node-0');
  const claimTable = (): ClaimTable | undefined => world.nodes[0]!.controller!.owned()[0]?.claimTable;
  while (claimTable()?.isFencingOver !== true) await world.sim.run(world.sim.now + 100);
  assert.equal(claimTable()!.machines.has(name), false);
  world.network.mute.delete(name);
  while (!claimTable()!.machines.has(name)) await world.sim.run(world.sim.now + 100);
  await world.sim.run(world.sim.now + 3 * world.heartbeatIntervalMs);
  assert.equal(claimTable()!.machines.get(name)?.isMember, true);
});
