// Two days of a large fleet: one with a crash, a zone cut and a rolling restart, and one on which a single controller
// is left under a huge array and a flood of jobs. Small in CI; `npm run large-day` sets GINGERLOCK_MACHINES to a
// production size.
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { type Fault, runScenario, World } from '../src/index';

const MACHINES = Number(process.env.GINGERLOCK_MACHINES ?? 48);
const SEED = Number(process.env.GINGERLOCK_SEED ?? 391);

/** The state service's limit on changes allows at most this many times the usual arrivals. */
const MAX_LOAD = 10;

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** The number of tasks in each job that keeps the fleet busy, and their estimate in seconds. */
const TASKS_PER_JOB = 200;
const TASK_ESTIMATE_S = 70;

/** A task runs for at most 1.5 times its estimate, and may start just before the end of the day. */
const LONGEST_RUN_MS = TASK_ESTIMATE_S * 1500;

/** Keeps three of the four GPUs of each machine busy during the faults, as idle machines would be returned. */
function occupy(world: World): void {
  for (let i = 0; i * TASKS_PER_JOB < MACHINES * 3; i++) {
    const spec = {
      ...world.randomJob(),
      kind: 'array' as const,
      team: i % 2 === 0 ? 'red' : 'blue',
      priority: 'normal' as const,
      tasks: Math.min(TASKS_PER_JOB, MACHINES * 3 - i * TASKS_PER_JOB),
      gpus: 1,
      types: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: true,
      estimateS: TASK_ESTIMATE_S,
    };
    world.sim.after(2000 + 100 * i, () => void world.users.submitAndFollow(spec, null));
  }
}

function largeWorld(): World {
  return new World({
    seed: SEED,
    controllers: 5,
    machines: MACHINES,
    capacity: MACHINES,
    load: Math.min(MAX_LOAD, MACHINES / 30),
    gpusMax: MACHINES * 2,
  });
}

/** Tracks the smallest number of rented machines during the faults of the day. */
function trackFleetSize(world: World): { minMachines: number } {
  const fleet = { minMachines: Infinity };
  const sample = (): void => {
    if (world.sim.now > 15_000 && world.sim.now < 80_000)
      fleet.minMachines = Math.min(fleet.minMachines, world.cloud.rented.length);
    world.sim.after(1000, sample);
  };
  sample();
  return fleet;
}

/** Reports what the day cost this process, which runs all controllers and stand-ins. */
function reportCost(context: TestContext, world: World, startedAt: NodeJS.CpuUsage, minMachines: number): void {
  const { user, system } = process.cpuUsage(startedAt);
  const rssMb = Math.round(process.memoryUsage().rss / 2 ** 20);
  const seconds = Math.round((user + system) / 1e6);
  const { startedAttempts: startsSeen, peerBytes } = world;
  context.diagnostic(
    `${MACHINES} machines (at least ${minMachines} until 80 s), seed ${SEED}: ${seconds} s of processor time, ${rssMb} MiB resident at the end, ` +
      `${startsSeen} starts, ${Math.round(peerBytes / 2 ** 20)} MiB between controllers`,
  );
}

/** The number of the job's tasks that run now. */
function runningOf(world: World, id: string): number {
  return [...world.runningTasks().keys()].filter((task) => task.startsWith(`${id}/`)).length;
}

/** Describes the jobs that are still open. */
function describeOpenJobs(world: World): string[] {
  return world.users.open().map(({ spec: { id, team, kind, tasks, gpus, zone, spread } }) => {
    const runs = runningOf(world, id);
    return `${id} ${team} ${kind} gpus ${gpus} zone ${zone} spread ${spread}: ${world.doneOf(id)} done and ${runs} running of ${tasks}`;
  });
}

/** The open jobs that have a task waiting to be started. */
function waitingJobs(world: World): string[] {
  const waiting = world.users
    .open()
    .filter(({ spec }) => world.doneOf(spec.id) + runningOf(world, spec.id) < spec.tasks);
  return waiting.map(({ spec }) => spec.id);
}

async function play(context: TestContext, faults: readonly TimedFault[]): Promise<World> {
  const startedAt = process.cpuUsage();
  const world = largeWorld();
  const fleet = trackFleetSize(world);
  occupy(world);
  await runScenario(world, { seed: SEED, forMs: 200_000, faults });
  reportCost(context, world, startedAt, fleet.minMachines);
  assert.deepEqual(world.violations, []);
  // The team limit delays the last tasks that keep the fleet busy until halfway through the day, so that some of them
  // run beyond its end.
  assert.deepEqual(waitingJobs(world), [], describeOpenJobs(world).join());
  await world.sim.run(world.sim.now + LONGEST_RUN_MS);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(describeOpenJobs(world), []);
  return world;
}

test('all work of a large day gets done despite a crash, a zone cut and a rolling restart', async (context) => {
  await play(context, [
    { at: 20_000, fault: { kind: 'crash', nodes: [-1], backMs: 5000 } },
    { at: 40_000, fault: { kind: 'zone cut', zone: 1, how: 'lose', forMs: 30_000 } },
    { at: 80_000, fault: { kind: 'rolling restarts', everyMs: 6000, backMs: 2000 } },
  ]);
});

test('one surviving controller handles all machines, a huge array and a flood of jobs', async (context) => {
  const world = await play(context, [
    { at: 20_000, fault: { kind: 'crash', nodes: [0, 1, 2, 3], backMs: 60_000 } },
    { at: 30_000, fault: { kind: 'guests', what: 'huge array', perS: 0, forMs: 0 } },
    { at: 30_000, fault: { kind: 'guests', what: 'flood', perS: 20, forMs: 20_000 } },
  ]);
  assert.ok(world.users.finished() > 0);
});
