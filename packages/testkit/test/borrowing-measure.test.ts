// Compares the same simulated days with and without borrowing: time to capacity, lost work, and time below a guarantee.
// Small in CI; `npm run measure-borrowing` reads the size from GINGERLOCK_MACHINES and GINGERLOCK_SEEDS.
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
/** The surge grows to all GPUs, so that it competes for the other team's guaranteed GPUs. */
const GROWTH_AT = 110_000;
const END_AT = 160_000;
const DAY_MS = 220_000;

const SAMPLE_MS = 100;

/** The share of the wanted GPUs at which capacity counts as reached. */
const CAPACITY_REACHED_SHARE = 0.95;

const TASKS_PER_JOB = 12;

/** How long each GPU of a guarantee may be idle in total between one task and the next, in seconds. */
const TASK_CHANGE_S = 4;

interface Figures {
  /** Seconds from the start of the surge until it has the GPUs that it wants at first. */
  readonly surgeS: number;
  /** Seconds from the end of the surge until batch work has its GPUs back. */
  readonly returnS: number;
  /**
   * How far batch work is below its guarantee, in GPU seconds. It includes the time between one task and the next,
   * which occurs without borrowing too.
   */
  readonly shortfallGpuS: number;
  /** The longest continuous time below the guarantee, in seconds. */
  readonly longestShortfallS: number;
  /** Run time of stopped tasks that no checkpoint had saved, in GPU seconds. */
  readonly lostGpuS: number;
  readonly messages: number;
  readonly changes: number;
}

function jobOf(world: World, overrides: Partial<JobSpec>): JobSpec {
  const shape = { cpus: 2, gpus: 1, memoryGb: 8, types: null, zone: null, oneZone: false, spread: false, spot: false };
  return { ...world.randomJob(), ...shape, ...overrides };
}

/** Submits the tasks within a second, in jobs of at most `TASKS_PER_JOB` tasks. */
function submit(world: World, tasks: number, overrides: Partial<JobSpec>, cancelAfterMs: number | null): void {
  for (let left = tasks; left > 0; left -= TASKS_PER_JOB) {
    const spec = jobOf(world, { ...overrides, tasks: Math.min(TASKS_PER_JOB, left) });
    world.sim.after(world.sim.random() * 1000, () => void world.users.submitAndFollow(spec, cancelAfterMs));
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
  const figures = { surgeS: NaN, returnS: NaN, shortfallGpuS: 0, longestShortfallS: 0 };
  let lastAtGuaranteeMs = SURGE_AT;
  const sample = (): void => {
    const { now } = world.sim;
    const use = world.borrowing.useNow();
    const blue = use.get('blue') ?? 0;
    const sinceSurge = (now - SURGE_AT) / 1000;
    if (now > SURGE_AT && Number.isNaN(figures.surgeS) && (use.get('red') ?? 0) >= wanted * CAPACITY_REACHED_SHARE)
      figures.surgeS = sinceSurge;
    if (now > SURGE_AT && now < END_AT) {
      figures.shortfallGpuS += (Math.max(0, GUARANTEE - blue) * SAMPLE_MS) / 1000;
      if (blue >= GUARANTEE) lastAtGuaranteeMs = now;
      figures.longestShortfallS = Math.max(figures.longestShortfallS, (now - lastAtGuaranteeMs) / 1000);
    }
    if (now > END_AT + 1000 && Number.isNaN(figures.returnS) && blue >= GPUS * CAPACITY_REACHED_SHARE)
      figures.returnS = (now - END_AT) / 1000;
    world.sim.after(SAMPLE_MS, sample);
  };
  sample();
  await runScenario(world, { seed, forMs: DAY_MS, faults: [] });
  assert.deepEqual(world.violations, []);
  const { lostGpuSeconds: lostGpuS, peerMessages: messages } = world;
  return { ...figures, lostGpuS, messages, changes: world.state.changes };
}

function describe(name: string, all: readonly Figures[]): string {
  const range = (figure: keyof Figures): string => {
    const values = all.map((figures) => figures[figure]).sort((a, b) => a - b);
    const shown = (value: number): string => (Math.round(value * 10) / 10).toString();
    return `${shown(values[0]!)} / ${shown(values[Math.floor(values.length / 2)]!)} / ${shown(values.at(-1)!)}`;
  };
  return (
    `${name}, ${MACHINES} machines, ${all.length} seeds (least / median / most): surge ${range('surgeS')} s, return ` +
    `${range('returnS')} s, guarantee missed ${range('shortfallGpuS')} GPU s, longest ${range('longestShortfallS')} s, lost ${range('lostGpuS')} GPU s, ` +
    `messages ${range('messages')}, changes ${range('changes')}`
  );
}

test('with borrowing a surge gets its capacity within 30 s, and the guarantee of the other team is kept', async (context) => {
  const off: Figures[] = [];
  const on: Figures[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    off.push(await measure(seed, false));
    on.push(await measure(seed, true));
  }
  context.diagnostic(describe('off', off));
  context.diagnostic(describe('on', on));
  for (const figures of on) {
    // The only shortfall is the time between one task and the next.
    assert.ok(figures.shortfallGpuS < GUARANTEE * TASK_CHANGE_S, `${figures.shortfallGpuS} GPU s below the guarantee`);
    assert.ok(figures.surgeS < 30, `${figures.surgeS} s until the surge has its GPUs`);
  }
  for (const figures of off) assert.ok(figures.shortfallGpuS > GUARANTEE * TASK_CHANGE_S * 4);
});
