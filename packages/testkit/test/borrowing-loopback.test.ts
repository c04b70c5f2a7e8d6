// The wish's own test: stand-in servers on loopback, a surge and the return, with the leader ending in the middle of
// each. No team ever drops below its guarantee, or below what it has work for.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { LoopbackDeployment } from '../src/index';

const MACHINES = 6;
const GPUS = MACHINES * 4;
const GUARANTEE = 8;

function jobOf(number: number, over: Partial<JobSpec>): JobSpec {
  return {
    id: `j-${String(number).padStart(6, '0')}`,
    jobClass: 'any',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    tasks: 1,
    cpus: 2,
    gpus: 1,
    memoryGb: 8,
    image: 'img-1',
    imageGb: 10,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 0,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...over,
  };
}

test('on loopback: a surge and the return, with leaders ending, and no team drops below its guarantee', async () => {
  const deployment = new LoopbackDeployment({
    seed: 1,
    controllers: 3,
    machines: MACHINES,
    guaranteedGpus: GUARANTEE,
    gpusMax: GPUS,
    features: { borrowing: { enabled: true, max_share: 0.5 } },
  });
  await deployment.start();
  try {
    const batchRuns = (): number => deployment.runningOf('blue', 'array');
    const surgeRuns = (): number => deployment.runningOf('red', 'service');
    // Overnight: batch work has every GPU.
    await deployment.submit(jobOf(1, { team: 'blue', tasks: GPUS * 3, estimateS: 600 }));
    assert.ok(await deployment.until(() => batchRuns() === GPUS, 30_000), `${batchRuns()} tasks of batch work`);

    // The surge comes, and grows while reclaims for it are half done.
    const replicas = GPUS - GUARANTEE;
    const surge = Array.from({ length: replicas }, (_, i) => jobOf(100 + i, { kind: 'service', priority: 'high' }));
    for (const job of surge.slice(0, replicas / 2)) await deployment.submit(job);
    await deployment.until(() => deployment.borrowing.stored.size > 0, 10_000);
    const leader = deployment.leader();
    if (leader !== null) await deployment.endController(leader);
    for (const job of surge.slice(replicas / 2)) await deployment.submit(job);
    assert.ok(await deployment.until(() => surgeRuns() === replicas, 40_000), `${surgeRuns()} replicas`);
    assert.equal(batchRuns(), GUARANTEE);
    if (leader !== null) await deployment.startController(leader);

    // One more replica than fits beside the other team's guarantee gets nothing.
    await deployment.submit(jobOf(200, { kind: 'service', priority: 'high' }));
    await deployment.pause(4 * deployment.heartbeatIntervalMs);
    assert.equal(batchRuns(), GUARANTEE);

    // The surge is over: the GPUs go back.
    for (const job of [...surge, jobOf(200, {})]) await deployment.cancel(job.id);
    assert.ok(await deployment.until(() => batchRuns() === GPUS, 30_000), `${batchRuns()} tasks of batch work`);
    assert.ok((deployment.happened.get('reclaim') ?? 0) > 0);
    assert.deepEqual(deployment.violations, []);
  } finally {
    await deployment.stop();
  }
});
