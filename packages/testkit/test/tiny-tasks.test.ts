// Jobs of tasks so small that a machine has room for more of them than its worker can list in a report of 64 KiB.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

const TINY: Partial<JobSpec> = {
  kind: 'array',
  priority: 'normal',
  cpus: 0.0004,
  gpus: 0,
  memoryGb: 0.001,
  estimateS: 4,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
};

/** Submits jobs and follows them; returns their ids. */
function submit(world: World, count: number, overrides: Partial<JobSpec>): string[] {
  return Array.from({ length: count }, () => {
    const spec = { ...world.randomJob(), ...TINY, ...overrides };
    void world.users.submitAndFollow(spec, null);
    return spec.id;
  });
}

/** Fails if a worker has lost its lease. */
function assertNoLeaseLost(world: World): void {
  for (const worker of world.workers.values()) assert.equal(worker.agentEpoch, 1, `${worker.name} lost its lease`);
}

// Guards against answers and reports beyond 64 KiB, whose workers lose their leases with all tasks, again and again.
test('arrays of tiny tasks and services beside them run on few machines, and no message exceeds its limit', async () => {
  const world = new World({ seed: 31, machines: 3, capacity: 0, load: 0.2 });
  await world.sim.run(6000);
  const arrays = submit(world, 3, { tasks: 2400 });
  const services = submit(world, 2, { kind: 'service', priority: 'production', cpus: 2, gpus: 1, tasks: 1 });
  await world.sim.run(90_000);
  assert.deepEqual(world.violations, []);
  assertNoLeaseLost(world);
  for (const id of arrays)
    assert.equal(world.users.observedByJob.get(id)!.final, 'done', `${world.doneOf(id)} of ${id}`);
  for (const id of services) assert.equal(world.tasksOn(id), 1);
  // The reports are used: 500 entries take more than this.
  assert.ok(world.messages.largestBytes > 25_000, `${world.messages.largestBytes} bytes`);
});

// Guards against controllers that run out of memory with a job of the largest size that the protocol allows.
test('a job of 100,000 tiny tasks has no more claims than its machines can report, and can be cancelled', async () => {
  const world = new World({ seed: 32, machines: 6, capacity: 0, load: 0 });
  await world.sim.run(6000);
  const [id] = submit(world, 1, { tasks: 100_000, estimateS: 300 });
  const maxTasks = world.workers.size * 700;
  const entries = (): number =>
    world.nodes.reduce(
      (sum, { controller }) =>
        sum +
        (controller?.owned() ?? []).reduce((n, owner) => n + (owner.claimTable.tasksByJob.get(id!)?.size ?? 0), 0),
      0,
    );
  for (let until = 8000; until <= 40_000; until += 1000) {
    await world.sim.run(until);
    assert.ok(entries() <= maxTasks, `${entries()} entries for ${world.workers.size} machines`);
  }
  assert.ok(world.tasksOn(id!) >= world.workers.size * 500, `${world.tasksOn(id!)} tasks run`);
  void world.users.cancel(id!);
  await world.sim.run(world.sim.now + world.cancellationBoundMs);
  assert.equal(world.tasksOn(id!), 0);
  assert.deepEqual(world.violations, []);
  assertNoLeaseLost(world);
});

// Guards against controllers that keep more tasks than their memory holds, and against jobs that wait although a machine
// has room, because those before them have used up what controllers can keep.
test('jobs of 100,000 tiny tasks leave tasks to others, and all of them no more than controllers can keep', async () => {
  const world = new World({ seed: 34, machines: 6, capacity: 0, load: 0, ramMb: 3 });
  // A fifth of the memory, of which each task takes some 600 bytes.
  const maxTasks = 1000;
  const tasksRunning = (): number => [...world.workers.values()].reduce((sum, { tasks }) => sum + tasks.size, 0);
  await world.sim.run(6000);
  submit(world, 3, { tasks: 100_000, estimateS: 900, team: 'red' });
  submit(world, 1, { kind: 'service', tasks: 100_000, team: 'red' });
  await world.sim.run(16_000);
  const small = submit(world, 3, { tasks: 8, estimateS: 4, team: 'blue', priority: 'low' });
  for (let until = 17_000; until <= 60_000; until += 1000) {
    await world.sim.run(until);
    assert.ok(tasksRunning() <= maxTasks, `${tasksRunning()} tasks`);
  }
  for (const id of small)
    assert.equal(world.users.observedByJob.get(id)!.final, 'done', `${world.doneOf(id)} of ${id}`);
  assert.ok(tasksRunning() >= maxTasks / 2, `${tasksRunning()} tasks`);
  assert.deepEqual(world.violations, []);
  assertNoLeaseLost(world);
});

// Guards against leases lost when reports are full and their owners change: new owners adopt what is reported.
test('tiny tasks get done though controllers and the leader end while all reports are full', async () => {
  const world = new World({ seed: 33, controllers: 5, machines: 5, capacity: 0, load: 0.2 });
  await world.sim.run(6000);
  const arrays = submit(world, 2, { tasks: 3000, estimateS: 8 });
  const faults = [
    { at: 12_000, fault: { kind: 'leaders end' as const, times: 2, everyMs: 9000, backMs: 3000 } },
    { at: 20_000, fault: { kind: 'rolling restarts' as const, everyMs: 5000, backMs: 1500 } },
  ];
  await runScenario(world, { seed: 33, forMs: 150_000, faults });
  assert.deepEqual(world.violations, []);
  assertNoLeaseLost(world);
  for (const id of arrays)
    assert.equal(world.users.observedByJob.get(id)!.final, 'done', `${world.doneOf(id)} of ${id}`);
});
