// Compares the same simulated days with replica groups and with their members started one by one. Small in CI; `npm run
// measure-replica-groups` plays more (GINGERLOCK_GROUPS: the numbers of groups, GINGERLOCK_SEEDS: days for each).
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
 * Machines that are up at the start, and the capacity of each of the three zones for ordinary and for spot machines, as
 * shares of the machines that the groups need.
 */
const START_SHARE = 0.5;
const ZONE_SHARE = 0.6;

const DAY_MS = 150_000;
const SUBMIT_MS = 30_000;
const SAMPLE_MS = 200;

interface Sample {
  /** When the group last stopped being whole, or was submitted; null while all its members are up. */
  brokenSince: number | null;
  hasServed: boolean;
}

/** Totals over the days played, with times in milliseconds. */
interface Figures {
  readonly toServe: number[];
  readonly toRepair: number[];
  partialMs: number;
  wholeMs: number;
  /** GPU time reserved for members that were not up, and GPU time of members that were up. */
  reservedGpuMs: number;
  usedGpuMs: number;
  withdrawn: number;
  changes: number;
  messages: number;
  groups: number;
}

function emptyFigures(): Figures {
  const counts = {
    partialMs: 0,
    wholeMs: 0,
    reservedGpuMs: 0,
    usedGpuMs: 0,
    withdrawn: 0,
    changes: 0,
    messages: 0,
    groups: 0,
  };
  return { toServe: [], toRepair: [], ...counts };
}

/** Samples every group at a fixed interval. */
function watch(world: World, figures: Figures): void {
  const samples = new Map<string, Sample>();
  const sampleGroups = (): void => {
    for (const { spec, since } of world.users.observedByJob.values()) {
      if (spec.jobClass !== GROUP_CLASS) continue;
      const sample = samples.get(spec.id) ?? { brokenSince: since, hasServed: false };
      samples.set(spec.id, sample);
      const up = world.tasksOn(spec.id);
      const state = world.groups.storedRecords.get(spec.id)?.record.state;
      if (up >= spec.tasks) figures.wholeMs += SAMPLE_MS;
      else if (up > 0) figures.partialMs += SAMPLE_MS;
      figures.usedGpuMs += up * spec.gpus * SAMPLE_MS;
      if (state === 'reserved' || state === 'admitted')
        figures.reservedGpuMs += (spec.tasks - up) * spec.gpus * SAMPLE_MS;
      recordUptime(sample, up >= spec.tasks, world.sim.now, figures);
    }
    world.sim.after(SAMPLE_MS, sampleGroups);
  };
  sampleGroups();
}

function recordUptime(sample: Sample, isWhole: boolean, now: number, figures: Figures): void {
  if (!isWhole) {
    sample.brokenSince ??= now;
    return;
  }
  if (sample.brokenSince === null) return;
  (sample.hasServed ? figures.toRepair : figures.toServe).push(now - sample.brokenSince);
  sample.hasServed = true;
  sample.brokenSince = null;
}

/** Ten machines die, one every 3 s from 45 s on; one controller crashes, then two more. */
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
  figures.withdrawn += world.groups.transitionCounts.get('ending') ?? 0;
  figures.changes += world.state.changes;
  figures.messages += world.peerMessages;
  figures.groups += groups;
}

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? '-' : `${(value / 1000).toFixed(1)} s`;
}

function reportFigures(context: TestContext, what: string, f: Figures): void {
  const percent = (part: number, whole: number): string => `${((100 * part) / Math.max(1, whole)).toFixed(2)}%`;
  const perGroup = (count: number): string => (count / f.groups).toFixed(1);
  context.diagnostic(
    `${what}: to serve ${quantile(f.toServe, 0.5)} (90% ${quantile(f.toServe, 0.9)}, ${f.toServe.length} of ${f.groups}), ` +
      `to repair ${quantile(f.toRepair, 0.5)} (${quantile(f.toRepair, 0.9)}, ${f.toRepair.length} times), ` +
      `some but not all members up ${percent(f.partialMs, f.partialMs + f.wholeMs)} of the time, ` +
      `GPU time kept unused ${percent(f.reservedGpuMs, f.reservedGpuMs + f.usedGpuMs)}, generations ended ${f.withdrawn}, ` +
      `changes ${perGroup(f.changes)} and messages ${perGroup(f.messages)} a group`,
  );
}

for (const groups of SIZES) {
  for (const hasTroubles of [false, true]) {
    const day = hasTroubles ? 'a day on which machines and controllers fail' : 'a quiet day';
    test(`at least 90% of ${groups} replica groups serve on ${day}, compared with members started one by one`, async (context) => {
      const [on, off] = [emptyFigures(), emptyFigures()];
      for (let i = 0; i < SEEDS; i++) {
        await play(groups, FIRST_SEED + i, true, hasTroubles, on);
        await play(groups, FIRST_SEED + i, false, hasTroubles, off);
      }
      reportFigures(context, `${groups} groups, ${day}, on`, on);
      reportFigures(context, `${groups} groups, ${day}, off`, off);
      assert.ok(on.toServe.length >= on.groups * 0.9, `${on.toServe.length} of ${on.groups} groups have served`);
      const share = ({ partialMs, wholeMs }: Figures): number => partialMs / (partialMs + wholeMs);
      if (hasTroubles)
        assert.ok(share(on) < share(off), 'groups are partially up for as much of the time as single tasks');
    });
  }
}
