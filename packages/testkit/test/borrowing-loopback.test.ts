// Borrowing with real servers on loopback: a surge borrows the GPUs of batch work and returns them, and the leader ends
// during the surge. A team must never have fewer GPUs than its guarantee while it has work for them.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { LoopbackDeployment } from '../src/index';

const MACHINES = 6;
const GPUS = MACHINES * 4;
const GUARANTEE = 8;

function jobOf(number: number, overrides: Partial<JobSpec>): JobSpec {
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
    ...overrides,
  };
}

test('on loopback: no team drops below its guarantee during a surge and the return of GPUs while the leader ends', async () => {
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
    const runningBatchTasks = (): number => deployment.runningOf('blue', 'array');
    const runningSurgeReplicas = (): number => deployment.runningOf('red', 'service');
    // Batch work uses every GPU.
    await deployment.submit(jobOf(1, { team: 'blue', tasks: GPUS * 3, estimateS: 600 }));
    assert.ok(
      await deployment.until(() => runningBatchTasks() === GPUS, 30_000),
      `${runningBatchTasks()} batch tasks run`,
    );

    // The surge begins, and grows while reclaims for it are in progress.
    const replicas = GPUS - GUARANTEE;
    const surge = Array.from({ length: replicas }, (_, i) => jobOf(100 + i, { kind: 'service', priority: 'high' }));
    for (const job of surge.slice(0, replicas / 2)) await deployment.submit(job);
    await deployment.until(() => deployment.borrowing.stored.size > 0, 10_000);
    const leader = deployment.leader();
    if (leader !== null) await deployment.endController(leader);
    for (const job of surge.slice(replicas / 2)) await deployment.submit(job);
    assert.ok(
      await deployment.until(() => runningSurgeReplicas() === replicas, 40_000),
      `${runningSurgeReplicas()} replicas run`,
    );
    assert.equal(runningBatchTasks(), GUARANTEE);
    if (leader !== null) await deployment.startController(leader);

    // One replica more would take GPUs of the other team's guarantee, so it does not start.
    await deployment.submit(jobOf(200, { kind: 'service', priority: 'high' }));
    await deployment.pause(4 * deployment.heartbeatIntervalMs);
    assert.equal(runningBatchTasks(), GUARANTEE);

    // The surge ends, and batch work gets the GPUs back.
    for (const job of [...surge, jobOf(200, {})]) await deployment.cancel(job.id);
    assert.ok(
      await deployment.until(() => runningBatchTasks() === GPUS, 30_000),
      `${runningBatchTasks()} batch tasks run`,
    );
    assert.ok((deployment.occurrences.get('reclaim') ?? 0) > 0);
    assert.deepEqual(deployment.violations, []);
  } finally {
    await deployment.stop();
  }
});
