import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MachineType } from '@gingerlock/wire';
import {
  chooseMachineOption,
  Job,
  NO_RESOURCES,
  type ScaleOutChoice,
  type ScaleOutDemand,
  type MachineOption,
  ScaleOutPlan,
  type ScaleOutPlanInput,
  type ScaleOutContext,
  countFitting,
} from '../src/index';
import { CLUSTER_CONFIG, specOf } from './fixtures';

const ZONES = ['north', 'south', 'east'];
const clusterConfig = { ...CLUSTER_CONFIG, zones: ZONES };

const machineType = (name: string): fc.Arbitrary<MachineType> =>
  fc
    .record({
      size: fc.constantFrom(1, 2, 4),
      fetchGbPerS: fc.constantFrom(1, 2.5, 10),
      price: fc.double({ min: 0.5, max: 40, noNaN: true }),
      spotShare: fc.constantFrom(0.2, 0.5, 1.1),
      bootS: fc.constantFrom(0.5, 10, 60),
      zones: fc.subarray(ZONES, { minLength: 1 }),
    })
    .map(({ size, price, spotShare, ...rest }) => ({
      ...rest,
      name,
      cpus: size * 8,
      gpus: size * 2,
      memoryGb: size * 32,
      cacheGb: 100,
      price,
      spotPrice: price * spotShare,
    }));

const types = (most: number): fc.Arbitrary<MachineType[]> =>
  fc
    .integer({ min: 1, max: most })
    .chain((n) => fc.tuple(...Array.from({ length: n }, (_, i) => machineType(`t-${i}`))));

const demand: fc.Arbitrary<ScaleOutDemand> = fc.record({
  need: fc.record({
    cpus: fc.constantFrom(0, 4, 8),
    gpus: fc.constantFrom(1, 2),
    memoryGb: fc.constantFrom(0, 16),
  }),
  count: fc.integer({ min: 0, max: 20 }),
  imageGb: fc.constantFrom(0, 30, 70),
  types: fc.constantFrom(null, ['t-0'], ['t-1', 't-0']),
  spot: fc.boolean(),
  runMs: fc.constantFrom(0, 500, 60_000),
});

const situation = (most: number): fc.Arbitrary<ScaleOutContext> =>
  fc
    .record({
      types: types(most),
      demands: fc.array(demand, { minLength: 1, maxLength: 4 }),
      machinesIn: fc.tuple(...ZONES.map(() => fc.integer({ min: 0, max: 5000 }))),
      isOpen: fc.array(fc.boolean(), { minLength: 24, maxLength: 24 }),
    })
    .map(({ types: all, demands, machinesIn, isOpen }) => ({
      clusterConfig,
      types: new Map(all.map((t) => [t.name, t])),
      demands,
      machinesIn: new Map(ZONES.map((zone, i) => [zone, machinesIn[i]!])),
      options: allOptions(all).filter((_, i) => isOpen[i % isOpen.length]),
      wasRefused: () => false,
    }));

function allOptions(all: readonly MachineType[]): MachineOption[] {
  return all.flatMap((type) => type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot }))));
}

type Choose = (situation: ScaleOutContext) => ScaleOutChoice | null;

/** What is wrong with a choice; null: nothing. */
function fault(given: ScaleOutContext, choice: ScaleOutChoice | null): string | null {
  if (choice === null) return given.options.length > 0 ? 'nothing chosen though something may be rented' : null;
  const { chosen } = choice;
  if (!given.options.includes(chosen.option)) return 'not allowed';
  for (const other of given.options) {
    const alone = chooseMachineOption({ ...given, options: [other] })!.chosen;
    const isDearer = alone.costRatio < chosen.costRatio && alone.startMs <= chosen.startMs;
    const isSlower = alone.startMs < chosen.startMs && alone.costRatio <= chosen.costRatio;
    if (isDearer || isSlower) return 'another is neither dearer nor slower';
  }
  return null;
}

/** What was chosen before there were several types: the least price of a whole machine. */
function cheapestMachine(given: ScaleOutContext): ScaleOutChoice | null {
  const price = ({ type, spot }: MachineOption): number => (spot ? type.spotPrice : type.price);
  const [option] = [...given.options].sort((a, b) => price(a) - price(b));
  return option === undefined ? null : chooseMachineOption({ ...given, options: [option] });
}

const RUNS = { numRuns: 500, seed: 31 };

test('what is rented is never dearer and slower than another allowed choice', () => {
  fc.assert(
    fc.property(situation(4), (given) => {
      assert.equal(fault(given, chooseMachineOption(given)), null);
    }),
    RUNS,
  );
});

test('the check of choices finds mutants: the cheapest machine, the first option, none', () => {
  const mutants: Choose[] = [
    cheapestMachine,
    (given) =>
      given.options.length === 0 ? null : chooseMachineOption({ ...given, options: given.options.slice(0, 1) }),
    () => null,
  ];
  for (const mutant of mutants) {
    const found = fc.check(
      fc.property(situation(4), (given) => fault(given, mutant(given)) === null),
      RUNS,
    );
    assert.ok(found.failed);
  }
});

test('the order of types, zones and options is of no effect', () => {
  fc.assert(
    fc.property(situation(4), (given) => {
      const turned: ScaleOutContext = {
        ...given,
        types: new Map([...given.types].reverse()),
        machinesIn: new Map([...given.machinesIn].reverse()),
        options: [...given.options].reverse(),
      };
      assert.deepEqual(chooseMachineOption(turned)?.chosen.option, chooseMachineOption(given)?.chosen.option);
    }),
    RUNS,
  );
});

test('with one type the cheaper kind is chosen, in the zone with the fewest machines', () => {
  fc.assert(
    fc.property(situation(1), (given) => {
      const price = ({ type, spot }: MachineOption): number => (spot ? type.spotPrice : type.price);
      const machines = ({ zone }: MachineOption): number => given.machinesIn.get(zone)!;
      const [expected] = [...given.options].sort(
        (a, b) =>
          price(a) - price(b) ||
          machines(a) - machines(b) ||
          ZONES.indexOf(a.zone) - ZONES.indexOf(b.zone) ||
          Number(a.spot) - Number(b.spot),
      );
      assert.deepEqual(chooseMachineOption(given)?.chosen.option, expected);
    }),
    RUNS,
  );
});

// One type is dearer for each GPU, though cheaper for each machine, and boots and fetches at half the speed.
const SMALL: MachineType = {
  name: 'small',
  cpus: 16,
  gpus: 4,
  memoryGb: 64,
  cacheGb: 100,
  fetchGbPerS: 2,
  price: 15,
  spotPrice: 7,
  bootS: 60,
  zones: ZONES,
};
const LARGE: MachineType = {
  ...SMALL,
  name: 'large',
  cpus: 32,
  gpus: 8,
  memoryGb: 128,
  fetchGbPerS: 4,
  price: 27,
  spotPrice: 11,
  bootS: 30,
};

function planOf(over: Partial<ScaleOutPlanInput> = {}): ScaleOutPlan {
  return new ScaleOutPlan({
    clusterConfig,
    types: new Map([SMALL, LARGE].map((t) => [t.name, t])),
    booting: [],
    drainingIdleMachines: [],
    known: [],
    maxOrdinaryMachines: Infinity,
    maxSpotMachines: Infinity,
    isOpen: () => true,
    isSilent: () => false,
    wasRefused: () => false,
    onlySpot: () => false,
    ...over,
  });
}

function waiting(tasks: number, over: Parameters<typeof specOf>[1] = {}): { job: Job; count: number; zones: null } {
  const job = new Job('j-1');
  job.spec = specOf('j-1', { kind: 'service', gpus: 2, cpus: 4, memoryGb: 8, imageGb: 70, estimateS: 0, ...over });
  return { job, count: tasks, zones: null };
}

/** By type: how many machines the plan asks for. */
function countRented(plan: ScaleOutPlan): Record<string, number> {
  const byType: Record<string, number> = {};
  for (const r of plan.requests(() => 'r')) byType[r.type] = (byType[r.type] ?? 0) + r.count;
  return byType;
}

// The least price of a machine once had a whole fleet rented of the type that is dearer for each GPU and half as fast.
test('a fleet that starts empty is rented of the type that is cheaper for the room and quicker', () => {
  const plan = planOf();
  plan.serve([waiting(40)], 0);
  assert.deepEqual(countRented(plan), { large: 10 });
});

test('for a single task a machine of its size is rented, unless spare room is wanted too', () => {
  const alone = planOf();
  alone.serve([waiting(1)], 0);
  assert.deepEqual(countRented(alone), { small: 1 });
  const withSpare = planOf();
  withSpare.serve([waiting(1)], 6);
  assert.deepEqual(countRented(withSpare), { large: 1 });
});

test('a type that is refused gives way to the next best, and comes back', () => {
  const plan = planOf({ isOpen: ({ type }) => type !== LARGE });
  plan.serve([waiting(8)], 0);
  plan.keepSpare(0, 4);
  assert.deepEqual(countRented(plan), { small: 5 });
  const later = planOf();
  later.serve([waiting(8)], 0);
  assert.deepEqual(countRented(later), { large: 2 });
});

// Zones that were full were asked again and again before one that was not, for it had more machines.
test('of zones that cost the same one that was not refused lately is taken first', () => {
  const plan = planOf({
    known: Array.from({ length: 9 }, () => ({ zone: 'east', spot: false })),
    wasRefused: ({ zone }) => zone !== 'east',
  });
  plan.serve([waiting(8)], 0);
  assert.deepEqual(
    plan.requests(() => 'r').map(({ zone, count }) => [zone, count]),
    [['east', 2]],
  );
});

test('the room of a suspect machine is rented anew, of smaller machines where no large one can be had', () => {
  const machine = {
    spot: false,
    byPriority: [{ cpus: 16, gpus: 8, memoryGb: 64 }, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES],
  };
  const suspect = { ...machine } as unknown as Parameters<ScaleOutPlan['replace']>[0];
  const plan = planOf();
  plan.replace(suspect);
  assert.deepEqual(countRented(plan), { large: 1 });
  const refused = planOf({ isOpen: ({ type }) => type !== LARGE });
  refused.replace(suspect);
  assert.deepEqual(countRented(refused), { small: 2 });
});

test('for room in GPUs no machine without any is rented, however cheap', () => {
  const without = { ...SMALL, name: 'without', gpus: 0, price: 0.1, spotPrice: 0.1 };
  const plan = planOf({ types: new Map([SMALL, without].map((t) => [t.name, t])) });
  plan.keepSpare(0, 4);
  plan.replace({ spot: false, byPriority: [{ cpus: 16, gpus: 2, memoryGb: 8 }] } as unknown as Parameters<
    ScaleOutPlan['replace']
  >[0]);
  assert.equal(countRented(plan).without ?? 0, 0);
  assert.ok(countRented(plan).small! > 0);
});

test('no need is left unmet that an open place could serve, and none is rented for twice', () => {
  fc.assert(
    fc.property(
      types(3),
      fc.array(fc.boolean(), { minLength: 18, maxLength: 18 }),
      fc.integer({ min: 1, max: 30 }),
      (all, isOpen, tasks) => {
        const options = allOptions(all);
        const open = options.filter((_, i) => isOpen[i]);
        const plan = planOf({
          types: new Map(all.map((t) => [t.name, t])),
          isOpen: (option) =>
            open.some((o) => o.type === option.type && o.zone === option.zone && o.spot === option.spot),
        });
        const entry = waiting(tasks);
        plan.serve([entry], 0);
        const places = plan
          .requests(() => 'r')
          .map((r) => ({
            fit: countFitting(
              entry.job.spec,
              all.find((t) => t.name === r.type)!,
            ),
            ...r,
          }));
        const remaining = places.reduce((sum, { fit, count }) => sum + fit * count, 0);
        const couldServe = open.some((o) => !o.spot && countFitting(entry.job.spec, o.type) > 0);
        assert.ok(couldServe ? remaining >= tasks : remaining === 0);
        for (const { fit, spot } of places) {
          assert.equal(spot, false);
          assert.ok(remaining - fit < tasks, 'a machine that nobody needs');
        }
      },
    ),
    RUNS,
  );
});
