// The state service lowers its limits while controllers run, and some stored records exceed the new limits.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type JobSpec,
  encode,
  jobRecord,
  KEYS,
  ownerRecord,
  type AssignedRange,
  STATE_PATHS,
  transactionMap,
} from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

const LOWERED_LIMITS = { valueKb: 2, txnOps: 4, writesPerS: 70 };

/** Stores a job whose record has an assigned range per task, as earlier versions wrote it. Returns the job's id. */
function storeScattered(world: World, overrides: Partial<JobSpec>): string {
  const spec: JobSpec = {
    ...world.randomJob(),
    kind: 'array',
    tasks: 240,
    cpus: 0.5,
    gpus: 0,
    memoryGb: 0.5,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 5,
    ...overrides,
  };
  const assignedRanges = Array.from({ length: spec.tasks }, (_, from): AssignedRange => {
    const partitionId = from % world.nodes.length;
    const { term } = ownerRecord.read(world.state.data.get(KEYS.owner(String(partitionId)))!.value);
    return { from, count: 1, partitionId, zone: null, term };
  });
  const value = jobRecord.write({
    final: null,
    spec,
    acceptedAt: world.sim.now,
    cancelled: false,
    isCrashLooping: false,
    assignedRanges,
  });
  assert.ok(JSON.stringify(value).length > LOWERED_LIMITS.valueKb * 1024);
  world.users.adopt(spec);
  void world.state.handle(
    'POST',
    STATE_PATHS.txn,
    encode(transactionMap([], [{ put: KEYS.job(spec.id), value }])),
    'test',
  );
  return spec.id;
}

async function startedWorld(seed: number): Promise<World> {
  const world = new World({ seed, machines: 9, capacity: 6, nextLimits: LOWERED_LIMITS });
  await world.sim.run(8000);
  return world;
}

test('a job whose stored record exceeds the new limit can be cancelled with a single refused write, and leaves no tasks', async () => {
  const world = await startedWorld(21);
  const id = storeScattered(world, { estimateS: 300 });
  await world.sim.run(world.sim.now + 8000);
  assert.ok([...world.runningTasks().keys()].some((task) => task.startsWith(`${id}/`)));
  world.state.limits = LOWERED_LIMITS;
  void world.users.cancel(id);
  await world.sim.run(world.sim.now + world.cancellationBoundMs);
  assert.equal(world.users.observedByJob.get(id)!.final, 'cancelled');
  assert.ok(![...world.runningTasks().keys()].some((task) => task.startsWith(`${id}/`)));
  await world.sim.run(world.sim.now + world.cancellationBoundMs);
  assert.deepEqual(world.state.data.get(KEYS.job(id))?.value, jobRecord.write({ final: 'cancelled' }));
  assert.deepEqual(
    world.violations.map((b) => b.rule),
    ['refused'],
  );
});

test('a job whose stored record exceeds the new limit is completed', async () => {
  const world = await startedWorld(22);
  const id = storeScattered(world, {});
  world.state.limits = LOWERED_LIMITS;
  void world.users.follow(id);
  await world.sim.run(world.sim.now + 120_000);
  assert.equal(world.users.observedByJob.get(id)!.final, 'done');
  assert.deepEqual(world.violations, []);
});

test('after the limits are lowered, all work of a busy day gets done within them', async () => {
  const world = new World({ seed: 23, controllers: 5, machines: 15, capacity: 8, load: 2, nextLimits: LOWERED_LIMITS });
  const faults = [
    { at: 1000, fault: { kind: 'pipelines' as const, everyMs: 3000, forMs: 60_000, seed: 5 } },
    { at: 20_000, fault: { kind: 'state limits' as const } },
    { at: 30_000, fault: { kind: 'rolling restarts' as const, everyMs: 3000, backMs: 1000 } },
  ];
  await runScenario(world, { seed: 23, forMs: 200_000, faults });
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.open(), []);
  assert.ok(world.state.largestTxn <= LOWERED_LIMITS.txnOps, `transaction of ${world.state.largestTxn} changes`);
  assert.ok(
    world.state.largestValue <= LOWERED_LIMITS.valueKb * 1024,
    `value of ${world.state.largestValue} characters`,
  );
});
