import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  chooseMachineOption,
  type MachineOption,
  NO_RESOURCES,
  type ScaleOutChoice,
  type ScaleOutContext,
  type ScaleOutDemand,
} from '../src/index';
import { allOptions, anyTypes, clusterConfig, RUNS, ZONES } from './machine-types';

const demand: fc.Arbitrary<ScaleOutDemand> = fc.record({
  need: fc
    .record({
      cpus: fc.constantFrom(0, 4, 8),
      gpus: fc.constantFrom(1, 2),
      memoryGb: fc.constantFrom(0, 16),
    })
    .map((need) => ({ ...NO_RESOURCES, ...need })),
  count: fc.integer({ min: 0, max: 20 }),
  imageGb: fc.constantFrom(0, 30, 70),
  types: fc.constantFrom(null, ['t-0'], ['t-1', 't-0']),
  spot: fc.boolean(),
  runMs: fc.constantFrom(0, 500, 60_000),
});

const context = (maxTypes: number): fc.Arbitrary<ScaleOutContext> =>
  fc
    .record({
      types: anyTypes(maxTypes),
      demands: fc.array(demand, { minLength: 1, maxLength: 4 }),
      machineCounts: fc.tuple(...ZONES.map(() => fc.integer({ min: 0, max: 5000 }))),
      isOpen: fc.array(fc.boolean(), { minLength: 24, maxLength: 24 }),
    })
    .map(({ types: all, demands, machineCounts, isOpen }) => ({
      clusterConfig,
      types: new Map(all.map((t) => [t.name, t])),
      demands,
      machineCountByZone: new Map(ZONES.map((zone, i) => [zone, machineCounts[i]!])),
      options: allOptions(all).filter((_, i) => isOpen[i % isOpen.length]),
      wasRefused: () => false,
    }));

type Choose = (context: ScaleOutContext) => ScaleOutChoice | null;

/** The rule that a choice violates; null if none. */
function violation(given: ScaleOutContext, choice: ScaleOutChoice | null): string | null {
  if (choice === null) return given.options.length > 0 ? 'nothing chosen though something may be rented' : null;
  const { chosen } = choice;
  if (!given.options.includes(chosen.option)) return 'not allowed';
  for (const other of given.options) {
    const alone = chooseMachineOption({ ...given, options: [other] })!.chosen;
    const isMoreExpensive = alone.costRatio < chosen.costRatio && alone.startMs <= chosen.startMs;
    const isSlower = alone.startMs < chosen.startMs && alone.costRatio <= chosen.costRatio;
    if (isMoreExpensive || isSlower) return 'another is neither more expensive nor slower';
  }
  return null;
}

/** A mutant that chooses the machine with the lowest price, regardless of its capacity. */
function cheapestMachine(given: ScaleOutContext): ScaleOutChoice | null {
  const price = ({ type, spot }: MachineOption): number => (spot ? type.spotPrice : type.price);
  const [option] = [...given.options].sort((a, b) => price(a) - price(b));
  return option === undefined ? null : chooseMachineOption({ ...given, options: [option] });
}

test('no other allowed option is cheaper without being slower, or faster without being more expensive', () => {
  fc.assert(
    fc.property(context(4), (given) => {
      assert.equal(violation(given, chooseMachineOption(given)), null);
    }),
    RUNS,
  );
});

test('the check of choices detects mutants that choose the cheapest machine, the first option or none', () => {
  const mutants: Choose[] = [
    cheapestMachine,
    (given) =>
      given.options.length === 0 ? null : chooseMachineOption({ ...given, options: given.options.slice(0, 1) }),
    () => null,
  ];
  for (const mutant of mutants) {
    const found = fc.check(
      fc.property(context(4), (given) => violation(given, mutant(given)) === null),
      RUNS,
    );
    assert.ok(found.failed);
  }
});

test('the choice does not depend on the order of types, zones and options', () => {
  fc.assert(
    fc.property(context(4), (given) => {
      const reversed: ScaleOutContext = {
        ...given,
        types: new Map([...given.types].reverse()),
        machineCountByZone: new Map([...given.machineCountByZone].reverse()),
        options: [...given.options].reverse(),
      };
      assert.deepEqual(chooseMachineOption(reversed)?.chosen.option, chooseMachineOption(given)?.chosen.option);
    }),
    RUNS,
  );
});

test('with one type, the cheaper kind is chosen in the zone with the fewest machines', () => {
  fc.assert(
    fc.property(context(1), (given) => {
      const price = ({ type, spot }: MachineOption): number => (spot ? type.spotPrice : type.price);
      const machines = ({ zone }: MachineOption): number => given.machineCountByZone.get(zone)!;
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
