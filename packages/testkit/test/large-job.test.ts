import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../src/index';

test('a job of 100,000 tasks stays within the limits of values and transactions, and its tasks start', async () => {
  const world = new World({ seed: 5 });
  const spec = {
    ...world.randomJob(),
    kind: 'array' as const,
    tasks: 100_000,
    gpus: 1,
    estimateS: 1,
    priority: 'normal' as const,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
  };
  void world.users.submitAndFollow(spec, null);
  await world.sim.run(90_000);
  assert.deepEqual(world.violations, []);
  assert.ok(world.startedAttempts > 100, `${world.startedAttempts} starts`);
  assert.ok(world.state.largestValue <= 8 * 1024, `value of ${world.state.largestValue} characters`);
  assert.ok(world.state.largestTxn <= 12, `transaction of ${world.state.largestTxn} changes`);
  assert.deepEqual(
    world.users.open().map((t) => t.spec.id),
    [spec.id],
  );
});
