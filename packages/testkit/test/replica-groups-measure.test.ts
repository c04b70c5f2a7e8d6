// What replica groups cost and gain, in simulated machines: the same days with groups, and with their members started
// one by one. Small in CI; `npm run measure-replica-groups` plays more (GINGERLOCK_GROUPS: how many,
// GINGERLOCK_SEEDS: on how many days each).
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { type Fault, GROUP_CLASS, runScenario, World } from '../src/index';

const SIZES = (process.env.GINGERLOCK_GROUPS ?? '6').split(',').map(Number);
const SEEDS = Number(process.env.GINGERLOCK_SEEDS ?? 1);
const FIRST_SEED = Number(process.env.GINGERLOCK_SEED ?? 51);

const MEMBERS = 3;
const GPUS = 2;
const GPUS_PER_MACHINE = 4;

/**
 * Machines that are up at the start, and those of either kind that each of the three zones can have, against what the
 * groups take.
 */
const START_SHARE = 0.5;
const ZONE_SHARE = 0.6;

const DAY_MS = 150_000;
const SUBMIT_MS = 30_000;
const SAMPLE_MS = 200;

interface Sample {
  /**
   * Of one group: since when all its members have not been up, after they were or since it was submitted; null: they
   * are.
   */
  brokenSince: number | null;
  hasServed: boolean;
}

/** What one day came to. Times in milliseconds. */
interface Figures {
  readonly toServe: number[];
  readonly toRepair: number[];
  partialMs: number;
  wholeMs: number;
  /** GPU time that was kept for members and not used, and all that groups held. */
  keptGpuMs: number;
  heldGpuMs: number;
  withdrawn: number;
  changes: number;
  messages: number;
  groups: number;
}

function emptyFigures(): Figures {
  const counts = {
    partialMs: 0,
    wholeMs: 0,
    keptGpuMs: 0,
    heldGpuMs: 0,
    withdrawn: 0,
    changes: 0,
    messages: 0,
    groups: 0,
  };
  return { toServe: [], toRepair: [], ...counts };
}

/** Looks at every group again and again. */
function watch(world: World, figures: Figures): void {
  const samples = new Map<string, Sample>();
  const look = (): void => {
    for (const { spec, since } of world.users.observedByJob.values()) {
      if (spec.jobClass !== GROUP_CLASS) continue;
      const sample = samples.get(spec.id) ?? { brokenSince: since, hasServed: false };
      samples.set(spec.id, sample);
      const up = world.tasksOn(spec.id);
      const state = world.groups.seen.get(spec.id)?.record.state;
      if (up >= spec.tasks) figures.wholeMs += SAMPLE_MS;
      else if (up > 0) figures.partialMs += SAMPLE_MS;
      figures.heldGpuMs += up * spec.gpus * SAMPLE_MS;
      if (state === 'reserved' || state === 'admitted') figures.keptGpuMs += (spec.tasks - up) * spec.gpus * SAMPLE_MS;
      noteUp(sample, up >= spec.tasks, world.sim.now, figures);
    }
    world.sim.after(SAMPLE_MS, look);
  };
  look();
}

function noteUp(sample: Sample, isWhole: boolean, now: number, figures: Figures): void {
  if (!isWhole) {
    sample.brokenSince ??= now;
    return;
  }
  if (sample.brokenSince === null) return;
  (sample.hasServed ? figures.toRepair : figures.toServe).push(now - sample.brokenSince);
  sample.hasServed = true;
  sample.brokenSince = null;
}

/** Machines die every other second of the middle of the day, controllers end and a zone is cut. */
function troubles(machines: number): { at: number; fault: Fault }[] {
  const deaths = Array.from({ length: 10 }, (_, i) => ({
    at: 45_000 + i * 3000,
    fault: { kind: 'machine dies' as const, machine: (i * 7) % machines, listedAs: 'failed' as const },
  }));
  return [
    ...deaths,
    { at: 55_000, fault: { kind: 'crash', nodes: [-1], backMs: 4000 } },
    { at: 65_000, fault: { kind: 'crash', nodes: [1, 2], backMs: 5000 } },
  ];
}

async function play(
  groups: number,
  seed: number,
  isOn: boolean,
  hasTroubles: boolean,
  figures: Figures,
): Promise<void> {
  const machines = Math.ceil((groups * MEMBERS * GPUS) / GPUS_PER_MACHINE);
  const features = { replica_groups: { enabled: isOn, classes: [GROUP_CLASS] } };
  const world = new World({
    seed,
    controllers: 5,
    machines: Math.ceil(machines * START_SHARE),
    capacity: Math.ceil(machines * ZONE_SHARE) + 2,
    gpusMax: groups * MEMBERS * GPUS + 20,
    load: 0.5,
    features,
  });
  watch(world, figures);
  const submitted: Fault = {
    kind: 'groups',
    count: groups,
    members: MEMBERS,
    gpus: GPUS,
    everyMs: SUBMIT_MS / groups,
    place: 'any',
  };
  const faults = [{ at: 5000, fault: submitted }, ...(hasTroubles ? troubles(machines) : [])];
  await runScenario(world, { seed, forMs: DAY_MS, faults });
  assert.deepEqual(world.violations, []);
  figures.withdrawn += world.groups.moves.get('ending') ?? 0;
  figures.changes += world.state.changes;
  figures.messages += world.peerMessages;
  figures.groups += groups;
}

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? '-' : `${(value / 1000).toFixed(1)} s`;
}

function tell(context: TestContext, what: string, f: Figures): void {
  const percent = (partitionId: number, whole: number): string =>
    `${((100 * partitionId) / Math.max(1, whole)).toFixed(2)}%`;
  const perGroup = (count: number): string => (count / f.groups).toFixed(1);
  context.diagnostic(
    `${what}: to serve ${quantile(f.toServe, 0.5)} (nine of ten ${quantile(f.toServe, 0.9)}, ${f.toServe.length} of ${f.groups}), ` +
      `to repair ${quantile(f.toRepair, 0.5)} (${quantile(f.toRepair, 0.9)}, ${f.toRepair.length} times), ` +
      `some but not all members up ${percent(f.partialMs, f.partialMs + f.wholeMs)} of the time, ` +
      `GPU time kept unused ${percent(f.keptGpuMs, f.keptGpuMs + f.heldGpuMs)}, generations ended ${f.withdrawn}, ` +
      `changes ${perGroup(f.changes)} and messages ${perGroup(f.messages)} a group`,
  );
}

for (const groups of SIZES) {
  for (const hasTroubles of [false, true]) {
    const day = hasTroubles ? 'a day on which machines and controllers fail' : 'a quiet day';
    test(`${groups} replica groups on ${day}, and their members one by one`, async (context) => {
      const [on, off] = [emptyFigures(), emptyFigures()];
      for (let i = 0; i < SEEDS; i++) {
        await play(groups, FIRST_SEED + i, true, hasTroubles, on);
        await play(groups, FIRST_SEED + i, false, hasTroubles, off);
      }
      tell(context, `${groups} groups, ${day}, on`, on);
      tell(context, `${groups} groups, ${day}, off`, off);
      assert.ok(on.toServe.length >= on.groups * 0.9, `${on.toServe.length} of ${on.groups} groups served`);
      const share = ({ partialMs, wholeMs }: Figures): number => partialMs / (partialMs + wholeMs);
      if (hasTroubles) assert.ok(share(on) < share(off), 'groups are in part up for less of the time');
    });
  }
}
