// What borrowing brings and costs, against the same days without it: time to capacity, work lost, time below a
// guarantee. Small in CI; `npm run measure-borrowing` takes GINGERLOCK_MACHINES and GINGERLOCK_SEEDS. All machines
// are simulated.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@gingerlock/wire';
import { runScenario, World } from '../src/index';

const MACHINES = Number(process.env.GINGERLOCK_MACHINES ?? 12);
const SEEDS = Number(process.env.GINGERLOCK_SEEDS ?? 1);

const GPUS_PER_MACHINE = 4;
const GPUS = MACHINES * GPUS_PER_MACHINE;
const GUARANTEE = Math.floor(GPUS / 4);

const BATCH_AT = 5000;
const SURGE_AT = 60_000;
/** The surge wants more than is left beside the guarantee of the other team. */
const GROWTH_AT = 110_000;
const END_AT = 160_000;
const DAY_MS = 220_000;

const LOOK_MS = 100;

/** Share of what is wanted that counts as there. */
const ENOUGH = 0.95;

const TASKS_PER_JOB = 12;

/** For so long each GPU of a guarantee may stand empty in all while tasks follow each other, in seconds. */
const TURN_S = 4;

interface Figures {
  /** Seconds until the surge has what it wants, as it begins. */
  readonly surgeS: number;
  /** Seconds until batch work has its GPUs back, from the end of the surge. */
  readonly returnS: number;
  /**
   * What batch work lacks of its guarantee, in GPU seconds. Some of it is the change from one task to the next, with or
   * without others.
   */
  readonly missedGpuS: number;
  /** The longest that it goes on lacking something, in seconds. */
  readonly longestS: number;
  /** Run time of stopped tasks that was not saved, in GPU seconds. */
  readonly lostGpuS: number;
  readonly messages: number;
  readonly changes: number;
}

function jobOf(world: World, over: Partial<JobSpec>): JobSpec {
  const shape = { cpus: 2, gpus: 1, memoryGb: 8, types: null, zone: null, oneZone: false, spread: false, spot: false };
  return { ...world.randomJob(), ...shape, ...over };
}

/** Submits so many tasks in jobs of a few each, within a second. */
function submit(world: World, tasks: number, over: Partial<JobSpec>, cancelAfterMs: number | null): void {
  for (let left = tasks; left > 0; left -= TASKS_PER_JOB) {
    const spec = jobOf(world, { ...over, tasks: Math.min(TASKS_PER_JOB, left) });
    world.sim.after(world.sim.random() * 1000, () => void world.users.live(spec, cancelAfterMs));
  }
}

async function measure(seed: number, isOn: boolean): Promise<Figures> {
  const world = new World({
    seed,
    controllers: 5,
    machines: MACHINES,
    capacity: MACHINES,
    load: 1e-6,
    gpusMax: GPUS,
    guaranteedGpus: GUARANTEE,
    operators: { max_ordinary_machines: MACHINES, max_spot_machines: 0, headroom: 0 },
    ...(isOn ? { features: { borrowing: { enabled: true } } } : {}),
  });
  const batch = { team: 'blue', kind: 'array', priority: 'normal', estimateS: 45 } as const;
  const surge = { team: 'red', kind: 'service', priority: 'high', estimateS: 0 } as const;
  world.sim.after(BATCH_AT, () => {
    submit(world, GPUS * 2, { ...batch, checkpointS: 10, saveS: 1 }, null);
    submit(world, GPUS * 2, batch, null);
  });
  const wanted = Math.floor(GPUS / 2);
  world.sim.after(SURGE_AT, () => submit(world, wanted, surge, END_AT - SURGE_AT));
  world.sim.after(GROWTH_AT, () => submit(world, GPUS - wanted, surge, END_AT - GROWTH_AT));
  const figures = { surgeS: NaN, returnS: NaN, missedGpuS: 0, longestS: 0 };
  let lastWholeAt = SURGE_AT;
  const look = (): void => {
    const { now } = world.sim;
    const use = world.borrowing.useNow();
    const blue = use.get('blue') ?? 0;
    const sinceSurge = (now - SURGE_AT) / 1000;
    if (now > SURGE_AT && Number.isNaN(figures.surgeS) && (use.get('red') ?? 0) >= wanted * ENOUGH)
      figures.surgeS = sinceSurge;
    if (now > SURGE_AT && now < END_AT) {
      figures.missedGpuS += (Math.max(0, GUARANTEE - blue) * LOOK_MS) / 1000;
      if (blue >= GUARANTEE) lastWholeAt = now;
      figures.longestS = Math.max(figures.longestS, (now - lastWholeAt) / 1000);
    }
    if (now > END_AT + 1000 && Number.isNaN(figures.returnS) && blue >= GPUS * ENOUGH)
      figures.returnS = (now - END_AT) / 1000;
    world.sim.after(LOOK_MS, look);
  };
  look();
  await runScenario(world, { seed, forMs: DAY_MS, faults: [] });
  assert.deepEqual(world.violations, []);
  const { lostGpuSeconds: lostGpuS, peerMessages: messages } = world;
  return { ...figures, lostGpuS, messages, changes: world.state.changes };
}

function describe(name: string, all: readonly Figures[]): string {
  const spread = (figure: keyof Figures): string => {
    const values = all.map((figures) => figures[figure]).sort((a, b) => a - b);
    const shown = (value: number): string => (Math.round(value * 10) / 10).toString();
    return `${shown(values[0]!)} / ${shown(values[Math.floor(values.length / 2)]!)} / ${shown(values.at(-1)!)}`;
  };
  return (
    `${name}, ${MACHINES} machines, ${all.length} seeds (least / median / most): surge ${spread('surgeS')} s, return ` +
    `${spread('returnS')} s, guarantee missed ${spread('missedGpuS')} GPU s, longest ${spread('longestS')} s, lost ${spread('lostGpuS')} GPU s, ` +
    `messages ${spread('messages')}, changes ${spread('changes')}`
  );
}

test('a surge with borrowing and without: capacity is there as soon, and no guarantee is missed for it', async (context) => {
  const off: Figures[] = [];
  const on: Figures[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    off.push(await measure(seed, false));
    on.push(await measure(seed, true));
  }
  context.diagnostic(describe('off', off));
  context.diagnostic(describe('on', on));
  for (const figures of on) {
    // The turn from one task to the next is all that is left.
    assert.ok(figures.missedGpuS < GUARANTEE * TURN_S, `${figures.missedGpuS} GPU s of the guarantee missed`);
    assert.ok(figures.surgeS < 30, `${figures.surgeS} s until the surge has what it wants`);
  }
  for (const figures of off) assert.ok(figures.missedGpuS > GUARANTEE * TURN_S * 4);
});
