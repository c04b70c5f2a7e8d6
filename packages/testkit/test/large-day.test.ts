// A generated day with a crash, a zone cut and a rolling restart, and one on which a single controller survives under
// a huge array and a flood. Small in CI; GINGERLOCK_MACHINES gives them the size that operators have (`npm run
// large-day`).
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { type Fault, runScenario, World } from '../src/index';

const MACHINES = Number(process.env.GINGERLOCK_MACHINES ?? 48);
const SEED = Number(process.env.GINGERLOCK_SEED ?? 391);

/** So many times the usual arrivals are what the state service's limit on changes can take. */
const MOST_LOAD = 10;

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** Tasks of one of the jobs that keep the fleet busy, and for how long. */
const TASKS_PER_JOB = 200;
const BUSY_S = 70;

/**
 * A task runs for half as long again as estimated at the most, and may have begun to just before the end of the day.
 */
const LONGEST_RUN_MS = BUSY_S * 1500;

/** Keeps three of the four GPUs of each machine busy for the faults of the day: idle machines are returned. */
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
      estimateS: BUSY_S,
    };
    world.sim.after(2000 + 100 * i, () => void world.users.live(spec, null));
  }
}

function largeWorld(): World {
  return new World({
    seed: SEED,
    controllers: 5,
    machines: MACHINES,
    capacity: MACHINES,
    load: Math.min(MOST_LOAD, MACHINES / 30),
    gpusMax: MACHINES * 2,
  });
}

/** The fewest machines that are rented during the faults of the day. */
function watchFleet(world: World): { least: number } {
  const seen = { least: Infinity };
  const look = (): void => {
    if (world.sim.now > 15_000 && world.sim.now < 80_000) seen.least = Math.min(seen.least, world.cloud.rented.length);
    world.sim.after(1000, look);
  };
  look();
  return seen;
}

/** What the day cost this process, which plays all controllers and stand-ins together. */
function noteCost(context: TestContext, world: World, startedAt: NodeJS.CpuUsage, least: number): void {
  const { user, system } = process.cpuUsage(startedAt);
  const rssMb = Math.round(process.memoryUsage().rss / 2 ** 20);
  const seconds = Math.round((user + system) / 1e6);
  const { startsSeen, peerBytes } = world;
  context.diagnostic(
    `${MACHINES} machines (at least ${least} until 80 s), seed ${SEED}: ${seconds} s of processor time, ${rssMb} MiB resident at the end, ` +
      `${startsSeen} starts, ${Math.round(peerBytes / 2 ** 20)} MiB between controllers`,
  );
}

/** How many tasks of the job run now. */
function runningOf(world: World, id: string): number {
  return [...world.runningTasks().keys()].filter((task) => task.startsWith(`${id}/`)).length;
}

/** The jobs that are not over at the end of the day, in words. */
function openJobs(world: World): string[] {
  return world.users.open().map(({ spec: { id, team, kind, tasks, gpus, zone, spread } }) => {
    const runs = runningOf(world, id);
    return `${id} ${team} ${kind} gpus ${gpus} zone ${zone} spread ${spread}: ${world.doneOf(id)} done and ${runs} running of ${tasks}`;
  });
}

/** Those of which a task still waits to be started. */
function waitingJobs(world: World): string[] {
  const waiting = world.users
    .open()
    .filter(({ spec }) => world.doneOf(spec.id) + runningOf(world, spec.id) < spec.tasks);
  return waiting.map(({ spec }) => spec.id);
}

async function play(context: TestContext, faults: readonly TimedFault[]): Promise<World> {
  const startedAt = process.cpuUsage();
  const world = largeWorld();
  const fleet = watchFleet(world);
  occupy(world);
  await runScenario(world, { seed: SEED, forMs: 200_000, faults });
  noteCost(context, world, startedAt, fleet.least);
  assert.deepEqual(world.violations, []);
  // The team's limit lets the last tasks that keep the fleet busy begin halfway through the day, some of them for
  // longer than the rest of it.
  assert.deepEqual(waitingJobs(world), [], openJobs(world).join());
  await world.sim.run(world.sim.now + LONGEST_RUN_MS);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(openJobs(world), []);
  return world;
}

test('a large day with a crash, a zone cut and a rolling restart', async (context) => {
  await play(context, [
    { at: 20_000, fault: { kind: 'crash', nodes: [-1], backMs: 5000 } },
    { at: 40_000, fault: { kind: 'zone cut', zone: 1, how: 'lose', forMs: 30_000 } },
    { at: 80_000, fault: { kind: 'rolling restarts', everyMs: 6000, backMs: 2000 } },
  ]);
});

test('one surviving controller carries all machines, a huge array and a flood', async (context) => {
  const world = await play(context, [
    { at: 20_000, fault: { kind: 'crash', nodes: [0, 1, 2, 3], backMs: 60_000 } },
    { at: 30_000, fault: { kind: 'guests', what: 'huge array', perS: 0, forMs: 0 } },
    { at: 30_000, fault: { kind: 'guests', what: 'flood', perS: 20, forMs: 20_000 } },
  ]);
  assert.ok(world.users.finished() > 0);
});
