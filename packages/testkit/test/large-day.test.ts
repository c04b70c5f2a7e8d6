// A generated day with a crash, a zone cut and a rolling restart, and one on which a single controller survives under a huge array and a
// flood. Small in CI; GINGERLOCK_MACHINES gives them the size that operators have (`npm run large-day`).
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { type Fault, playDay, World } from '../src/index';

const MACHINES = Number(process.env.GINGERLOCK_MACHINES ?? 48);
const SEED = Number(process.env.GINGERLOCK_SEED ?? 391);

/** So many times the usual arrivals are what the state service's limit on changes can take. */
const MOST_LOAD = 10;

interface TimedFault {
  readonly at: number;
  readonly fault: Fault;
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

/** What the day cost this process, which plays all controllers and stand-ins together. */
function noteCost(context: TestContext, world: World, startedAt: NodeJS.CpuUsage): void {
  const { user, system } = process.cpuUsage(startedAt);
  const rssMb = Math.round(process.memoryUsage().rss / 2 ** 20);
  const seconds = Math.round((user + system) / 1e6);
  const { startsSeen, peerBytes } = world;
  context.diagnostic(
    `${MACHINES} machines, seed ${SEED}: ${seconds} s of processor time, ${rssMb} MiB resident at the end, ` +
      `${startsSeen} starts, ${Math.round(peerBytes / 2 ** 20)} MiB between controllers`,
  );
}

async function play(context: TestContext, faults: readonly TimedFault[]): Promise<World> {
  const startedAt = process.cpuUsage();
  const world = largeWorld();
  await playDay(world, { seed: SEED, forMs: 200_000, faults });
  noteCost(context, world, startedAt);
  assert.deepEqual(world.breaches, []);
  assert.deepEqual(world.users.open(), []);
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
