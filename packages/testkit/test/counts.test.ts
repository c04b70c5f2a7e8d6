import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FORMAT, KEYS, metaRecord } from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

// The first start fixes the number of partitions; later starts can have another number of controllers.
test('every partition has an owner when there are more or fewer controllers than partitions', async () => {
  for (const { partitionCount, controllers } of [
    { partitionCount: 3, controllers: 5 },
    { partitionCount: 5, controllers: 2 },
    { partitionCount: 7, controllers: 1 },
  ]) {
    const world = new World({ seed: 9, controllers });
    const value = metaRecord.write({ format: FORMAT, partitionCount, zones: [], pageTasks: 1024 });
    world.state.data.set(KEYS.meta, { value, version: ++world.state.revision, lease: null });
    await runScenario(world, { seed: 9, forMs: 100_000, faults: [] });
    assert.deepEqual(world.violations, []);
    assert.deepEqual(world.users.open(), []);
    assert.ok(world.users.finished() > 3);
    const owned = world.nodes.flatMap((n) => (n.controller?.owned() ?? []).map((o) => o.partitionId));
    assert.deepEqual(
      owned.sort((a, b) => a - b),
      Array.from({ length: partitionCount }, (_, i) => i),
    );
  }
});
