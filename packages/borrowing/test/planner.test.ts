// Reclaims that the leader plans on given and generated fleets: victims are only tasks that may be preempted, and no
// more of them than needed.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type Resources,
  capacityOf,
  fitsIn,
  type Job,
  NO_RESOURCES,
  addResources,
  subtractResources,
} from '@gingerlock/core';
import { parseTaskName, PRIORITIES, taskName } from '@gingerlock/wire';
import { type HeldTask, type Plan, type PlannerInput, planReclaims } from '../src/index';
import { clusterConfigOf, jobOf, machineStatusOf, teamOf } from './fixtures';

interface Fleet {
  readonly input: PlannerInput;
  readonly held: ReadonlyMap<string, readonly HeldTask[]>;
  readonly jobs: ReadonlyMap<string, Job>;
}

interface RunningTask {
  readonly job: Job;
  readonly runMs?: number;
  readonly stage?: HeldTask['stage'];
}

const MACHINE: Resources = capacityOf({ cpus: 100, gpus: 4, memoryGb: 100 });

/** Machines that hold the given tasks, numbered within their jobs in this order, and jobs that wait. */
function fleetOf(
  teams: Parameters<typeof clusterConfigOf>[0],
  machines: readonly (readonly RunningTask[])[],
  waiting: readonly Job[],
  overrides: Partial<PlannerInput> = {},
): Fleet {
  const next = new Map<Job, number>();
  const held = new Map(
    machines.map((tasks, i) => [
      `m-${i}`,
      tasks.map(({ job, runMs = 60_000, stage = 'running' }): HeldTask => {
        const index = next.get(job) ?? 0;
        next.set(job, index + 1);
        return { task: taskName(job.id, index), attempt: 7, stage, runMs, stopping: false };
      }),
    ]),
  );
  const jobs = new Map([...next.keys(), ...waiting].map((job) => [job.id, job]));
  for (const [job, count] of next) job.assignedRanges = [{ from: 0, count, partitionId: 0, zone: null, term: 3 }];
  const free = new Map(
    machines.map((tasks, i) => [`m-${i}`, tasks.reduce((sum, { job }) => subtractResources(sum, job.need), MACHINE)]),
  );
  const machineStatuses = machines.map((_, i) => machineStatusOf(`m-${i}`));
  const status = {
    partitionId: 0,
    term: 3,
    revision: 1,
    machines: machineStatuses,
    missing: NO_RESOURCES,
    running: [],
  };
  const claims = [...held].map(([machine, tasks]) => ({ machine, held: tasks }));
  const input: PlannerInput = {
    clusterConfig: clusterConfigOf(teams),
    settings: { maxShare: 1 },
    jobs,
    unschedulable: waiting.map((job) => ({ job, count: job.spec.tasks, zones: null })),
    statuses: [status],
    free,
    claims: [{ partitionId: 0, term: 3, revision: 1, machines: claims }],
    pending: [],
    maxDecisions: 100,
    scaleOutMs: () => Infinity,
    stopMs: 1000,
    ...overrides,
  };
  return { input, held, jobs };
}

function victimsOf(plan: Plan): string[] {
  return plan.decisions.flatMap(({ victims }) => victims.map(({ task }) => task));
}

const RED = teamOf('red', 4);
const BLUE = teamOf('blue', 4);

test('batch tasks are preempted before replicas, and among them those that lose the least work', () => {
  const service = jobOf('j-000001', { team: 'blue', kind: 'service', priority: 'low' });
  const old = jobOf('j-000002', { team: 'blue' });
  const young = jobOf('j-000003', { team: 'blue' });
  const surge = jobOf('j-000006', { kind: 'service', priority: 'high', tasks: 1 });
  const machine = [{ job: service }, { job: old, runMs: 500_000 }, { job: young, runMs: 40_000 }, { job: service }];
  const { input } = fleetOf([RED, teamOf('blue', 0)], [machine], [surge]);
  assert.deepEqual(victimsOf(planReclaims(input)), ['j-000003/0']);
});

test('tasks that save when they are stopped are preempted first', () => {
  const saving = jobOf('j-000004', { team: 'blue', checkpointS: 30, saveS: 2 });
  const other = jobOf('j-000005', { team: 'blue' });
  const surge = jobOf('j-000006', { kind: 'service', priority: 'high', tasks: 1 });
  const machine = [other, other, saving, other].map((job) => ({ job, runMs: job === saving ? 900_000 : 45_000 }));
  const { input } = fleetOf([RED, teamOf('blue', 0)], [machine], [surge]);
  assert.deepEqual(victimsOf(planReclaims(input)), ['j-000004/0']);
});

test('teams exactly at their guarantees get nothing from each other, and the refusal has the reason', () => {
  const blue = jobOf('j-000007', { team: 'blue' });
  const red = jobOf('j-000008', { team: 'red' });
  const surge = jobOf('j-000006', { team: 'red', kind: 'service', priority: 'high', tasks: 2, gpus: 4 });
  const { input } = fleetOf(
    [RED, BLUE],
    [
      [blue, blue, blue, blue].map((job) => ({ job })),
      [red, red, red, red].map((job) => ({ job, stage: 'saving' as const })),
    ],
    [surge],
  );
  const plan = planReclaims(input);
  assert.deepEqual(plan.decisions, []);
  assert.deepEqual(
    plan.refused.map(({ why, account }) => [why, account.surelyUsed.gpus, account.possiblyUsed.gpus]),
    [['others would fall below their guarantees', 0, 4]],
  );
});

test('a team below its guarantee gets exactly its guarantee back from a surge of higher priority', () => {
  const surge = jobOf('j-000006', { team: 'red', kind: 'service', priority: 'high' });
  const batch = jobOf('j-000009', { team: 'blue', tasks: 20 });
  const full = [surge, surge, surge, surge].map((job) => ({ job }));
  const { input } = fleetOf([RED, BLUE], [full, full, full], [batch]);
  const plan = planReclaims(input);
  assert.equal(victimsOf(plan).length, 4);
  assert.ok(plan.decisions.every(({ reason }) => reason === 'guarantee'));
});

test('replicas of production services are never preempted', () => {
  const production = jobOf('j-000010', { team: 'red', kind: 'service', priority: 'production' });
  const batch = jobOf('j-000009', { team: 'blue' });
  const surge = jobOf('j-000006', { team: 'blue', kind: 'service', priority: 'high' });
  const full = [production, production, production, production].map((job) => ({ job }));
  const { input } = fleetOf([RED, BLUE], [full, full], [surge, batch]);
  const plan = planReclaims(input);
  assert.deepEqual(plan.decisions, []);
  assert.deepEqual([...new Set(plan.refused.map(({ why }) => why))], ['no task may be stopped for it']);
});

test('no task is preempted if renting is sooner, reclaims are at their limit, or claims are unknown', () => {
  const batch = jobOf('j-000009', { team: 'blue', checkpointS: 10, saveS: 20 });
  const surge = jobOf('j-000006', { kind: 'service', priority: 'high', tasks: 1 });
  const full = [batch, batch, batch, batch].map((job) => ({ job }));
  const whyOf = (overrides: Partial<PlannerInput>): string[] => {
    const plan = planReclaims(fleetOf([RED, teamOf('blue', 0)], [full], [surge], overrides).input);
    return [...victimsOf(plan), ...plan.refused.map(({ why }) => why)];
  };
  assert.deepEqual(whyOf({ scaleOutMs: () => 20_000 }), ['renting is sooner']);
  assert.deepEqual(whyOf({ claims: [] }), ['what machines hold is not known']);
  assert.deepEqual(whyOf({ maxDecisions: 0 }), ['enough reclaims under way']);
  const pending = { machine: 'm-9', job: 'x', tasks: [0], victims: [], decidedAt: 0, reason: 'priority' as const };
  assert.deepEqual(whyOf({ pending: [pending], settings: { maxShare: 0.1 } }), ['enough reclaims under way']);
  assert.deepEqual(whyOf({ scaleOutMs: () => 40_000 }), ['j-000009/0']);
});

test('a reclaim in progress excludes its machine and its victims from further reclaims', () => {
  const batch = jobOf('j-000009', { team: 'blue' });
  const surge = jobOf('j-000006', { kind: 'service', priority: 'high', tasks: 8 });
  const full = [batch, batch, batch, batch].map((job) => ({ job }));
  const pending = [
    { machine: 'm-0', job: 'x', tasks: [0], victims: [], decidedAt: 0, reason: 'priority' as const },
    {
      machine: 'm-7',
      job: 'x',
      tasks: [1],
      victims: [{ task: 'j-000009/5', attempt: 7 }],
      decidedAt: 0,
      reason: 'priority' as const,
    },
  ];
  const plan = planReclaims(fleetOf([RED, teamOf('blue', 0)], [full, full, []], [surge], { pending }).input);
  assert.deepEqual(victimsOf(plan).sort(), ['j-000009/4', 'j-000009/6', 'j-000009/7']);
});

// --- generated fleets ------------------------------------------------------------------------------------------------

const anyJob = fc.record({
  team: fc.constantFrom('red', 'blue', 'guests', 'gone'),
  kind: fc.constantFrom('array' as const, 'service' as const),
  priority: fc.constantFrom(...PRIORITIES),
  gpus: fc.constantFrom(0.1, 1, 2, 4),
  spread: fc.boolean(),
  checkpointS: fc.constantFrom(0, 10),
  saveS: fc.constantFrom(1, 5),
});

const anyFleet = fc.record({
  guarantees: fc.tuple(fc.integer({ min: 0, max: 12 }), fc.integer({ min: 0, max: 12 })),
  limit: fc.integer({ min: 12, max: 60 }),
  jobs: fc.array(anyJob, { minLength: 1, maxLength: 8 }),
  machines: fc.array(fc.array(fc.record({ job: fc.nat(7), runMs: fc.nat(100_000) }), { maxLength: 12 }), {
    maxLength: 12,
  }),
  waiting: fc.array(fc.tuple(anyJob, fc.integer({ min: 1, max: 12 })), { minLength: 1, maxLength: 5 }),
});

/** A fleet whose machines hold as many of the drawn tasks as fit. */
function fleetFrom(drawn: typeof anyFleet extends fc.Arbitrary<infer T> ? T : never): Fleet {
  const teams = [
    teamOf('red', drawn.guarantees[0], drawn.limit),
    teamOf('blue', drawn.guarantees[1], drawn.limit),
    teamOf('guests', 0, drawn.limit),
  ];
  const jobs = drawn.jobs.map((spec, i) => jobOf(`j-00010${i}`, { ...spec, tasks: 200 }));
  const machines = drawn.machines.map((tasks) => {
    const fitting: RunningTask[] = [];
    let left = MACHINE;
    for (const { job: index, runMs } of tasks) {
      const job = jobs[index % jobs.length]!;
      if (!fitsIn(job.need, left)) continue;
      left = subtractResources(left, job.need);
      fitting.push({ job, runMs });
    }
    return fitting;
  });
  const waiting = drawn.waiting.map(([spec, tasks], i) => jobOf(`j-00020${i}`, { ...spec, tasks }));
  return fleetOf(teams, machines, waiting);
}

function useOf(fleet: Fleet, without: ReadonlySet<string>): Map<string, number> {
  const use = new Map<string, number>();
  for (const tasks of fleet.held.values()) {
    for (const { task } of tasks) {
      const { team, gpus } = fleet.jobs.get(parseTaskName(task)!.job)!.spec;
      if (!without.has(task)) use.set(team, (use.get(team) ?? 0) + gpus);
    }
  }
  return use;
}

test('on generated fleets, victims free enough, none is unneeded or chosen twice, and no guarantee is broken', () => {
  let decided = 0;
  fc.assert(
    fc.property(anyFleet, (drawn) => {
      const fleet = fleetFrom(drawn);
      const plan = planReclaims(fleet.input);
      decided += plan.decisions.length;
      const stopped = new Set(victimsOf(plan));
      assert.equal(stopped.size, victimsOf(plan).length);
      assert.equal(new Set(plan.decisions.map(({ machine }) => machine)).size, plan.decisions.length);
      for (const { job, machine, victims, tasks, placements } of plan.decisions) {
        const held = fleet.held.get(machine)!;
        const victimJobs = victims.map(({ task }) => {
          assert.ok(held.some((h) => h.task === task));
          return fleet.jobs.get(parseTaskName(task)!.job)!;
        });
        const available = victimJobs.reduce((sum, { need }) => addResources(sum, need), fleet.input.free.get(machine)!);
        assert.ok(fitsIn(addResources(NO_RESOURCES, job.need, tasks.length), available));
        for (const { need } of victimJobs)
          assert.ok(
            !fitsIn(addResources(NO_RESOURCES, job.need, tasks.length), subtractResources(available, need)) ||
              tasks.length > 1,
          );
        assert.equal(tasks.length, placements.length);
        for (const { spec } of victimJobs) assert.ok(spec.team !== 'gone');
      }
      const before = useOf(fleet, new Set());
      for (const account of plan.accounts) {
        const { name, gpus } = account.team;
        const foreign = plan.decisions
          .filter(({ job }) => job.spec.team !== name)
          .flatMap(({ victims }) => victims.map((v) => v.task));
        const left = useOf(fleet, new Set(foreign)).get(name) ?? 0;
        assert.ok(left >= Math.min(gpus, before.get(name) ?? 0) - 1e-6, `${name}: ${left} of ${before.get(name)}`);
        assert.ok(account.possiblyUsed.gpus <= Math.max(account.team.gpusMax, before.get(name) ?? 0) + 1e-6);
      }
    }),
    { seed: 391, numRuns: 500 },
  );
  assert.ok(decided > 300, `${decided} decisions`);
});

test('the cost of planning grows at most linearly with the number of machines', () => {
  const countPriorityReads = (machines: number): number => {
    const batch = jobOf('j-000009', { team: 'blue', gpus: 0.1, tasks: 40 * machines });
    const surge = jobOf('j-000006', { kind: 'service', priority: 'high', tasks: 4, gpus: 1 });
    const full = Array.from({ length: 40 }, () => ({ job: batch }));
    const fleet = fleetOf(
      [RED, teamOf('blue', 0)],
      Array.from({ length: machines }, () => full),
      [surge],
    );
    let reads = 0;
    const priority = batch.effectivePriority;
    Object.defineProperty(batch, 'effectivePriority', { get: () => (reads++, priority) });
    assert.ok(planReclaims(fleet.input).decisions.length > 0);
    return reads;
  };
  const [small, large] = [countPriorityReads(20), countPriorityReads(200)] as [number, number];
  assert.ok(large <= small * 12, `${small}, then ${large}`);
});
