// Compares generated job graphs with a simple model that recomputes everything on each call.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobRecord, type JobRecord, type JobSpec, PRIORITIES } from '@gingerlock/wire';
import fc from 'fast-check';
import { type Job, jobOrder, JobTable } from '../src/index';
import { specOf } from './fixtures';
import { StepCounter } from './step-counter';

type State = 'live' | 'done' | 'cancelled';

interface ModelJob {
  readonly spec: JobSpec;
  readonly acceptedAt: number;
  state: State;
}

/** The expected state of the jobs, computed without incremental updates. */
class Model {
  readonly jobs = new Map<string, ModelJob>();

  get(id: string): ModelJob {
    return this.jobs.get(id)!;
  }

  isReady(id: string): boolean {
    return this.get(id).spec.awaits.every((need) => this.get(need).state === 'done');
  }

  isCancelled(id: string): boolean {
    const { state, spec } = this.get(id);
    return state === 'cancelled' || (state === 'live' && spec.awaits.some((need) => this.isCancelled(need)));
  }

  /** Direct dependents of the job that are live and not cancelled. */
  dependentsOf(id: string): string[] {
    return [...this.jobs.keys()].filter(
      (other) =>
        this.get(other).spec.awaits.includes(id) && this.get(other).state === 'live' && !this.isCancelled(other),
    );
  }

  effectivePriority(id: string): number {
    const own = PRIORITIES.indexOf(this.get(id).spec.priority);
    return Math.min(own, ...this.dependentsOf(id).map((other) => this.effectivePriority(other)));
  }

  startBy(id: string): number {
    const { spec, acceptedAt } = this.get(id);
    const dependents = this.dependentsOf(id);
    if (spec.awaits.length === 0 && dependents.length === 0) return Infinity;
    const own = spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000;
    return Math.min(own, ...dependents.map((other) => this.startBy(other))) - spec.estimateS * 1000;
  }

  recordOf(id: string): JobRecord {
    const { spec, acceptedAt, state } = this.get(id);
    if (state !== 'live') return { final: state };
    return { final: null, spec, acceptedAt, cancelled: false, isCrashLooping: false, assignedRanges: [] };
  }
}

/** One generated step: a job that depends on earlier jobs is accepted, or an earlier job finishes or is cancelled. */
const step = fc.record({
  what: fc.constantFrom('accept' as const, 'accept' as const, 'finish' as const, 'cancel' as const),
  which: fc.nat(),
  needs: fc.array(fc.nat(), { maxLength: 3 }),
  priority: fc.constantFrom(...PRIORITIES),
  deadlineS: fc.option(fc.integer({ min: 1, max: 100 })),
  estimateS: fc.integer({ min: 1, max: 30 }),
});

function check(table: JobTable, model: Model): void {
  for (const [id, { state }] of model.jobs) {
    assert.equal(table.outcomes.get(id), state === 'live' ? undefined : state);
    const job = table.live.get(id);
    assert.equal(job !== undefined, state === 'live');
    if (job === undefined) continue;
    assert.equal(job.isCancelled, model.isCancelled(id), `${id} cancelled`);
    assert.equal(job.isReady, model.isReady(id), `${id} ready`);
    if (job.isCancelled) continue;
    assert.equal(job.effectivePriority, model.effectivePriority(id), `${id} priority`);
    assert.equal(job.startBy, model.startBy(id), `${id} latest start`);
  }
}

/** Applies a change; returns the jobs that were passed to `onDerived`, and the jobs whose derived state has changed. */
function derivedBy(table: JobTable, apply: () => void): { notified: Set<string>; changed: Set<string> } {
  const snapshot = (): Map<string, string> =>
    new Map(
      [...table.live.values()].map((j) => [j.id, [j.isReady, j.isCancelled, j.effectivePriority, j.startBy].join()]),
    );
  const before = snapshot();
  const notified = new Set<string>();
  table.onDerived = (id) => notified.add(id);
  apply();
  const changed = new Set(
    [...snapshot()].filter(([id, now]) => before.has(id) && before.get(id) !== now).map(([id]) => id),
  );
  return { notified, changed };
}

function runSteps(steps: readonly (typeof step extends fc.Arbitrary<infer S> ? S : never)[]): {
  model: Model;
  table: JobTable;
} {
  const model = new Model();
  const table = new JobTable(() => 64);
  let version = 0;
  const apply = (id: string): void => {
    const { notified, changed } = derivedBy(table, () => {
      table.applyJob(id, jobRecord.write(model.recordOf(id)), ++version);
    });
    changed.delete(id);
    for (const other of changed) assert.ok(notified.has(other), `no callback for ${other}, which has changed`);
    check(table, model);
  };
  for (const s of steps) {
    const ids = [...model.jobs.keys()];
    const picked = ids[s.which % Math.max(1, ids.length)];
    if (s.what === 'accept' || picked === undefined) {
      const id = `j-${ids.length}`;
      const awaits = [...new Set(s.needs.map((n) => ids[n % Math.max(1, ids.length)]).filter((n) => n !== undefined))];
      const { priority, deadlineS, estimateS } = s;
      const spec = specOf(id, { awaits, priority, deadlineS, estimateS });
      model.jobs.set(id, { spec, acceptedAt: 1000 * ids.length, state: 'live' });
      apply(id);
    } else if (model.get(picked).state === 'live' && !model.isCancelled(picked)) {
      if (s.what === 'finish' && !model.isReady(picked)) continue;
      model.get(picked).state = s.what === 'finish' ? 'done' : 'cancelled';
      apply(picked);
    }
  }
  return { model, table };
}

const stepLists = fc.array(step, { minLength: 1, maxLength: 30 });

test('derived state matches the model after every change, and changes of other jobs are notified', () => {
  fc.assert(
    fc.property(stepLists, (steps) => void runSteps(steps)),
    { seed: 391, numRuns: 300 },
  );
});

test('records that are read in any order, as after a restart, give the same derived state', () => {
  fc.assert(
    fc.property(stepLists, fc.infiniteStream(fc.nat()), (steps, order) => {
      const { model } = runSteps(steps);
      const table = new JobTable(() => 64);
      const left = [...model.jobs.keys()];
      for (let version = 1; left.length > 0; version++) {
        const [id] = left.splice(order.next().value % left.length, 1);
        table.applyJob(id!, jobRecord.write(model.recordOf(id!)), version);
      }
      check(table, model);
    }),
    { seed: 391, numRuns: 200 },
  );
});

test('a cancellation that a peer has reported is propagated to the dependents of the job', () => {
  const { model, table } = runSteps([]);
  assert.equal(model.jobs.size, 0);
  const accept = (id: string, awaits: string[]): void => {
    const record = {
      final: null,
      spec: specOf(id, { awaits }),
      acceptedAt: 0,
      cancelled: false,
      isCrashLooping: false,
      assignedRanges: [],
    } as const;
    table.applyJob(id, jobRecord.write(record), 1);
  };
  accept('j-1', []);
  accept('j-2', ['j-1']);
  accept('j-3', ['j-2']);
  table.markCancelled('j-1');
  accept('j-4', ['j-3']);
  for (const job of table.live.values()) assert.ok(job.isCancelled, job.id);
});

test('a long chain of jobs is cancelled without exhausting the stack', () => {
  const table = new JobTable(() => 64);
  const length = 20_000;
  for (let i = 0; i < length; i++) {
    const spec = specOf(`j-${i}`, { awaits: i === 0 ? [] : [`j-${i - 1}`] });
    const record = {
      final: null,
      spec,
      acceptedAt: 0,
      cancelled: false,
      isCrashLooping: false,
      assignedRanges: [],
    } as const;
    table.applyJob(spec.id, jobRecord.write(record), i + 1);
  }
  table.applyJob('j-0', jobRecord.write({ final: 'cancelled' }), length + 1);
  assert.equal([...table.live.values()].filter((job) => job.isCancelled).length, length - 1);
});

test('jobs of the same priority are ordered by latest start in pipelines and by time of acceptance otherwise', () => {
  const job = (id: string, acceptedAt: number, startBy: number): Job =>
    ({ id, effectivePriority: 1, acceptedAt, startBy }) as unknown as Job;
  const jobs = [job('j-1', 5, Infinity), job('j-2', 1, 30), job('j-3', 2, 20), job('j-4', 25, Infinity)];
  assert.deepEqual(
    jobs.sort(jobOrder).map((j) => j.id),
    ['j-1', 'j-3', 'j-4', 'j-2'],
  );
});

/** Accepts a job, or applies a later record of it. */
function applySpec(table: JobTable, spec: JobSpec): void {
  const { id } = spec;
  const state = { final: null, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges: [] } as const;
  table.applyJob(id, jobRecord.write({ ...state, spec }), 1);
}

/**
 * The jobs of a pipeline in which each job needs all jobs of the stage before its own, and the last one has a deadline.
 * The estimates are such that each path through the stages that is longer than those before makes all jobs more urgent.
 */
function stagedPipeline(stages: number, width: number): JobSpec[] {
  const specs: JobSpec[] = [];
  let awaits: string[] = [];
  for (let stage = 0; stage < stages; stage++) {
    const ids = Array.from({ length: width }, (_, i) => `j-${stage * width + i}`);
    for (const [i, id] of ids.entries())
      specs.push(specOf(id, { awaits, estimateS: i === 0 ? 1 + 2 ** Math.min(stage, 30) / 1000 : 1 }));
    awaits = ids;
  }
  return [...specs, specOf(`j-${stages * width}`, { awaits, priority: 'high', deadlineS: 100_000 })];
}

function countDependencies(specs: readonly JobSpec[]): number {
  return specs.reduce((sum, { awaits }) => sum + awaits.length, 0);
}

/** The steps of accepting the last job of a pipeline after all others; a step looks up a job or an outcome. */
function stepsOfLastJob(specs: readonly JobSpec[], maxSteps: number): number {
  const table = new JobTable(() => 64);
  for (const spec of specs.slice(0, -1)) applySpec(table, spec);
  const counter = new StepCounter(maxSteps);
  counter.countLookups(table.live);
  counter.countLookups(table.outcomes);
  applySpec(table, specs.at(-1)!);
  return counter.steps;
}

/** The most steps for each dependency of a pipeline in a change that affects all of its jobs. */
const STEPS_PER_DEPENDENCY = 10;

// Guards against urgency that is propagated along each path: one deadline stopped all controllers for good (review/3).
test('the steps of a deadline for a pipeline grow with its dependencies, however deep and wide it is', () => {
  for (const [stages, width] of [
    [26, 4],
    [400, 4],
    [12, 60],
    [5_000, 1],
    [2, 500],
  ] as const) {
    const specs = stagedPipeline(stages, width);
    stepsOfLastJob(specs, countDependencies(specs) * STEPS_PER_DEPENDENCY);
  }
});

// Guards against the same after a restart, when all records of a pipeline are read at once, in any order.
test('the steps of reading a pipeline grow with its dependencies, also if many jobs need the same one', () => {
  const needOne = Array.from({ length: 5_000 }, (_, i) =>
    specOf(`j-${i}`, { awaits: i === 0 ? [] : ['j-0'], deadlineS: 10_000 - i }),
  );
  for (const specs of [needOne, stagedPipeline(26, 4), stagedPipeline(30, 30), [...stagedPipeline(26, 4)].reverse()]) {
    const table = new JobTable(() => 64);
    const counter = new StepCounter(countDependencies(specs) * STEPS_PER_DEPENDENCY);
    counter.countLookups(table.live);
    counter.countLookups(table.outcomes);
    table.batch(() => {
      for (const spec of specs) applySpec(table, spec);
    });
  }
});

// Guards against a search of all dependencies of a job each time that one of them ends or is cancelled.
test('the steps until all jobs of a pipeline have ended grow with its dependencies', () => {
  for (const final of ['done', 'cancelled'] as const) {
    const specs = stagedPipeline(3, 150);
    const table = new JobTable(() => 64);
    for (const spec of specs) applySpec(table, spec);
    const counter = new StepCounter(countDependencies(specs) * STEPS_PER_DEPENDENCY);
    counter.countLookups(table.live);
    counter.countLookups(table.outcomes);
    for (const { id } of specs) {
      if (final === 'done') assert.ok(table.live.get(id)!.isReady, id);
      table.applyJob(id, jobRecord.write({ final }), 2);
    }
  }
});
