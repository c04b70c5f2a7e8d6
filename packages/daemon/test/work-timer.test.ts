import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkTimer } from '../src/controller/work-timer';

// Guards against a stall whose log line leaves open what the controller calculated.
test('the work timer names the longest calculation since it was last asked, also one that failed', () => {
  let now = 0;
  const timer = new WorkTimer({ now: () => now });
  const lasting = (durationMs: number) => (): number => (now += durationMs);
  assert.equal(timer.takeLongest(), null);
  assert.equal(timer.run('status', lasting(3)), 3);
  assert.throws(() =>
    timer.run('fleet plan', () => {
      lasting(900)();
      throw new Error('failed');
    }),
  );
  timer.run('assignment', lasting(20));
  assert.deepEqual(timer.takeLongest(), { name: 'fleet plan', durationMs: 900 });
  timer.run('heartbeat', lasting(1));
  assert.deepEqual(timer.takeLongest(), { name: 'heartbeat', durationMs: 1 });
  assert.equal(timer.takeLongest(), null);
});
