import assert from 'node:assert/strict';
import { test } from 'node:test';
import { settingsOf } from '@gingerlock/daemon';
import { stateLeaseMs } from '@gingerlock/core';
import { World } from '../src/index';

/** Which controllers own each part now. */
function owners(world: World): Map<number, string[]> {
  const parts = new Map<number, string[]>();
  for (const { name, controller } of world.nodes) {
    for (const { part } of controller?.owned() ?? []) parts.set(part, [...(parts.get(part) ?? []), name]);
  }
  return parts;
}

// Controllers once left a whole report interval to each of those before them, dead or alive: with five of them a part
// could wait for longer than its workers' leases last.
test('the parts of controllers that die together have new owners within a state lease and two report intervals', async () => {
  for (const dead of [
    [0, 1, 2],
    [1, 2, 3],
    [3, 4, 0],
  ]) {
    const world = new World({ seed: 5, controllers: 5, machines: 10 });
    await world.sim.run(20_000);
    assert.equal(owners(world).size, 5);
    const { facts } = settingsOf(world.settings('node-0'), {});
    for (const i of dead) world.crash(`node-${i}`);
    await world.sim.run(world.sim.now + stateLeaseMs(facts) + 2 * facts.reportMs);
    const after = owners(world);
    assert.equal(after.size, 5, `owned: ${[...after.keys()].join()}`);
    for (const [part, names] of after) assert.equal(names.length, 1, `part ${part}: ${names.join()}`);
  }
});
