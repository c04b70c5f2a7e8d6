import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MachineType } from '@gingerlock/wire';
import { capacityOf, countFitting, Job, NO_RESOURCES, ScaleOutPlan, type ScaleOutPlanInput } from '../src/index';
import { SCALE_OUT_INPUT, specOf } from './fixtures';
import { allOptions, anyTypes, clusterConfig, RUNS, ZONES } from './machine-types';
import { StepCounter } from './step-counter';

// SMALL is more expensive per GPU than LARGE, though cheaper per machine, and it boots and fetches at half the speed.
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

function planOf(overrides: Partial<ScaleOutPlanInput> = {}): ScaleOutPlan {
  return new ScaleOutPlan({
    clusterConfig,
    types: new Map([SMALL, LARGE].map((t) => [t.name, t])),
    ...SCALE_OUT_INPUT,
    ...overrides,
  });
}

function waiting(
  tasks: number,
  overrides: Parameters<typeof specOf>[1] = {},
): { job: Job; count: number; zones: null } {
  const job = new Job('j-1');
  job.spec = specOf('j-1', { kind: 'service', gpus: 2, cpus: 4, memoryGb: 8, imageGb: 70, estimateS: 0, ...overrides });
  return { job, count: tasks, zones: null };
}

/** Number of machines that the plan requests, by type. */
function countRented(plan: ScaleOutPlan): Record<string, number> {
  const byType: Record<string, number> = {};
  for (const r of plan.requests(() => 'r')) byType[r.type] = (byType[r.type] ?? 0) + r.count;
  return byType;
}

// If the price per machine decided, all machines would be of the type that costs more per GPU and boots more slowly.
test('an empty cluster gets the type that is cheaper per capacity and boots faster', () => {
  const plan = planOf();
  plan.planForTasks([waiting(40)], 0);
  assert.deepEqual(countRented(plan), { large: 10 });
});

test('a small machine is rented for a single task, unless spare capacity is needed too', () => {
  const alone = planOf();
  alone.planForTasks([waiting(1)], 0);
  assert.deepEqual(countRented(alone), { small: 1 });
  const withSpare = planOf();
  withSpare.planForTasks([waiting(1)], 6);
  assert.deepEqual(countRented(withSpare), { large: 1 });
});

test('the next best type is rented while a type is backing off, and the best type afterwards', () => {
  const plan = planOf({ mayRequest: ({ type }) => type !== LARGE });
  plan.planForTasks([waiting(8)], 0);
  plan.planSpareGpus(0, 4);
  assert.deepEqual(countRented(plan), { small: 5 });
  const later = planOf();
  later.planForTasks([waiting(8)], 0);
  assert.deepEqual(countRented(later), { large: 2 });
});

// If only the number of machines counted, zones without capacity would be requested repeatedly before the others.
test('among zones of equal cost, one that was not recently refused is requested first', () => {
  const plan = planOf({
    known: Array.from({ length: 9 }, () => ({ zone: 'east', spot: false })),
    wasRefused: ({ zone }) => zone !== 'east',
  });
  plan.planForTasks([waiting(8)], 0);
  assert.deepEqual(
    plan.requests(() => 'r').map(({ zone, count }) => [zone, count]),
    [['east', 2]],
  );
});

test('a suspect machine is replaced, by smaller machines if no large one can be rented', () => {
  const machine = {
    spot: false,
    byPriority: [{ ...NO_RESOURCES, cpus: 16, gpus: 8, memoryGb: 64 }, NO_RESOURCES, NO_RESOURCES, NO_RESOURCES],
  };
  const suspect = { ...machine } as unknown as Parameters<ScaleOutPlan['planReplacement']>[0];
  const plan = planOf();
  plan.planReplacement(suspect);
  assert.deepEqual(countRented(plan), { large: 1 });
  const refused = planOf({ mayRequest: ({ type }) => type !== LARGE });
  refused.planReplacement(suspect);
  assert.deepEqual(countRented(refused), { small: 2 });
});

test('a machine without GPUs is not rented for GPUs, however cheap it is', () => {
  const without = { ...SMALL, name: 'without', gpus: 0, price: 0.1, spotPrice: 0.1 };
  const plan = planOf({ types: new Map([SMALL, without].map((t) => [t.name, t])) });
  plan.planSpareGpus(0, 4);
  plan.planReplacement({
    spot: false,
    byPriority: [{ ...NO_RESOURCES, cpus: 16, gpus: 2, memoryGb: 8 }],
  } as unknown as Parameters<ScaleOutPlan['planReplacement']>[0]);
  assert.equal(countRented(plan).without ?? 0, 0);
  assert.ok(countRented(plan).small! > 0);
});

test('all tasks that an available option can run get a machine, and no superfluous machine is rented', () => {
  fc.assert(
    fc.property(
      anyTypes(3),
      fc.array(fc.boolean(), { minLength: 18, maxLength: 18 }),
      fc.integer({ min: 1, max: 30 }),
      (all, isOpen, tasks) => {
        const options = allOptions(all);
        const open = options.filter((_, i) => isOpen[i]);
        const plan = planOf({
          types: new Map(all.map((t) => [t.name, t])),
          mayRequest: (option) =>
            open.some(({ type, zone, spot }) => type === option.type && zone === option.zone && spot === option.spot),
        });
        const entry = waiting(tasks);
        plan.planForTasks([entry], 0);
        const places = plan
          .requests(() => 'r')
          .map((r) => ({
            fit: countFitting(entry.job.need, capacityOf(all.find((t) => t.name === r.type)!)),
            ...r,
          }));
        const remaining = places.reduce((sum, { fit, count }) => sum + fit * count, 0);
        const couldServe = open.some((o) => !o.spot && countFitting(entry.job.need, capacityOf(o.type)) > 0);
        assert.ok(couldServe ? remaining >= tasks : remaining === 0);
        for (const { fit, spot } of places) {
          assert.equal(spot, false);
          assert.ok(remaining - fit < tasks, 'superfluous machine');
        }
      },
    ),
    RUNS,
  );
});

/** The steps of a plan for some jobs with equally many waiting tasks each; a step reads a field of a job's spec. */
function stepsOfPlan(jobs: number, tasksPerJob: number, maxSteps: number): number {
  const counter = new StepCounter(maxSteps);
  const entry = waiting(tasksPerJob, { kind: 'array', gpus: 0, cpus: 8, spot: true });
  entry.job.spec = counter.countReads(entry.job.spec);
  const plan = planOf();
  plan.planForTasks(
    Array.from({ length: jobs }, () => entry),
    0,
  );
  assert.ok(plan.requests(() => 'r').length > 0);
  return counter.steps;
}

// Guards against a plan that outlasts the store lease of one leader after the other: six huge arrays did (review/1).
test('the steps of a plan do not depend on the number of waiting tasks, up to six arrays of 100,000', () => {
  const steps = stepsOfPlan(6, 10_000, 1e6);
  assert.ok(stepsOfPlan(6, 100_000, steps * 2) <= steps * 1.1);
});

// Guards against the same for a flood of one-task jobs, each of which searched all machines planned before.
test('the steps of a plan grow with the number of waiting jobs, and not faster', () => {
  const steps = stepsOfPlan(2_500, 1, 1e7);
  assert.ok(stepsOfPlan(10_000, 1, steps * 5) <= steps * 4.4);
});

test('a plan asks for no more machines than one request may have, in each zone before the next best type', () => {
  const plan = planOf({ known: Array.from({ length: 300 }, () => ({ zone: 'south', spot: false })) });
  plan.planForTasks([waiting(100_000)], 0);
  const requests = plan.requests(() => 'r');
  assert.deepEqual(
    requests.map(({ type, zone, spot, count }) => [type, zone, spot, count]),
    ZONES.filter((zone) => zone !== 'south')
      .concat('south')
      .map((zone) => ['large', zone, false, 50]),
  );
});

// Guards against a plan that searches all planned machines for each suspect machine, as when a large zone falls silent.
test('the steps of replacing suspect machines grow with their number, also if many machines boot', () => {
  const stepsFor = (count: number): number => {
    const counter = new StepCounter(1e8);
    const small = counter.countReads(SMALL);
    const plan = planOf({
      types: new Map([[SMALL.name, small]]),
      booting: Array.from({ length: count }, () => ({ type: SMALL.name, zone: 'south', spot: false })),
      isSilent: () => {
        counter.count();
        return false;
      },
    });
    const need = { ...NO_RESOURCES, cpus: 4, gpus: 3, memoryGb: 8 };
    const suspect = { spot: false, byPriority: [need] } as unknown as Parameters<ScaleOutPlan['planReplacement']>[0];
    for (let i = 0; i < count; i++) plan.planReplacement(suspect);
    assert.equal(plan.requests(() => 'r').length, 0);
    return counter.steps;
  };
  assert.ok(stepsFor(800) <= stepsFor(200) * 4.4);
});
