import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobRecord, type MachineType, type WorkerReport } from '@gingerlock/wire';
import { CALLS_PER_TERM, JobTable, ClaimTable } from '../src/index';
import { FACTS, specOf } from './fixtures';

const facts = { ...FACTS, controllers: 1 };
const type: MachineType = {
  name: 'box',
  cpus: 16,
  gpus: 4,
  memoryGb: 64,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 4,
  spotPrice: 1,
  bootS: 5,
  zones: ['a'],
};
const spec = specOf('j-000001', { kind: 'service', priority: 'high' });

/** The claim table of an owner with term 2 of the part. */
function claimTableOf(jobs: JobTable, fencedUntil: number, membership: readonly string[]): ClaimTable {
  return new ClaimTable({
    facts,
    part: 0,
    term: 2,
    fencedUntil,
    openedAt: 0,
    jobs,
    types: () => new Map([[type.name, type]]),
    membership: membership.map((name) => [name, `${name}:1`] as const),
  });
}

/** The job with its four tasks assigned to the part. */
function assigned(jobs: JobTable, term: number, version: number): void {
  const rounds = [{ from: 0, count: 4, part: 0, zone: null, term }];
  jobs.applyJob(spec.id, jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, rounds }), version);
}

/** The claim table of a new owner: four tasks were assigned before its time, and three machines may hold them. */
function taken(): ClaimTable {
  const jobs = new JobTable(() => 64);
  assigned(jobs, 1, 5);
  const claimTable = claimTableOf(jobs, 20_000, ['m-1', 'm-2', 'm-3']);
  claimTable.syncJob(spec.id, 0);
  return claimTable;
}

function report(machine: string, seq: number, token: number): WorkerReport {
  return {
    machine,
    addr: `${machine}:1`,
    type: type.name,
    zone: 'a',
    spot: false,
    session: 1,
    seq,
    token,
    noticeS: null,
    tasks: [],
  };
}

test('tasks that no machine has reported count as missing once most machines of the part were heard', () => {
  const claimTable = taken();
  assert.equal(claimTable.missing(3500).gpus, 0);
  for (const name of ['m-1', 'm-2']) {
    // The first answer shows it our term; the next report proves that it knows it.
    claimTable.report(report(name, 1, CALLS_PER_TERM), 3500, true);
    assert.equal(claimTable.missing(3600).gpus, 0);
    claimTable.report(report(name, 2, 2 * CALLS_PER_TERM), 3700, true);
  }
  assert.equal(claimTable.missing(3800).gpus, 4);
});

// Of a zone that was cut off for long nothing was rented before its tasks were known to be gone: a boot was waited for on top.
test('tasks of a part of which nothing is heard count as missing a boot before it is cleared, and not sooner', () => {
  const claimTable = taken();
  const bootMs = type.bootS * 1000;
  assert.equal(claimTable.missing(claimTable.fencedUntil - bootMs - 1).gpus, 0);
  assert.equal(claimTable.missing(claimTable.fencedUntil - bootMs).gpus, 4);
  claimTable.tick(claimTable.fencedUntil);
  assert.equal(claimTable.missing(claimTable.fencedUntil).gpus, 0);
});

// A worker that never takes a token is not answered for ever, as its lease would stay in doubt. A machine that came up deaf just
// as its part changed hands was counted among those, and refused long after it could hear again.
test('a machine that can hold no earlier task is answered however often it has not taken the token', () => {
  const claimTable = taken();
  const answers = (machine: string): string[] =>
    Array.from({ length: 8 }, (_, i) => claimTable.report(report(machine, i + 1, 0), 1000 + i, true).kind);
  assert.deepEqual(new Set(answers('m-new')), new Set(['answer']));
  assert.equal(answers('m-1').at(-1), 'refuse');
});

// While all is read anew, page by page, the record of a job may be seen before that of its part's next owner.
test('what was assigned to a later owner of the part is not this one’s to start', () => {
  const jobs = new JobTable(() => 64);
  const claimTable = claimTableOf(jobs, 0, []);
  claimTable.tick(1);
  assert.ok(claimTable.cleared);
  const assignment = (term: number, version: number): void => {
    assigned(jobs, term, version);
    claimTable.syncJob(spec.id, 2);
  };
  assignment(3, 5);
  assert.equal(claimTable.slots.size, 0);
  assignment(2, 6);
  assert.equal(claimTable.slots.get(spec.id)?.size, 4);
});

test('a job that a peer says is called off starts nothing more, also when older records of it come in after that', () => {
  const jobs = new JobTable(() => 64);
  assigned(jobs, 2, 5);
  const claimTable = claimTableOf(jobs, 0, ['m-1']);
  claimTable.syncJob(spec.id, 0);
  const token = 2 * CALLS_PER_TERM;
  const starts = (seq: number, tasks: WorkerReport['tasks'] = []): string[] => {
    const outcome = claimTable.report({ ...report('m-1', seq, token), tasks }, seq * 1000, true);
    return outcome.kind === 'answer' ? outcome.commands.map((c) => c.op) : [];
  };
  assert.deepEqual(starts(1), ['start', 'start', 'start', 'start']);
  jobs.markCancelled(spec.id);
  assert.equal(claimTable.syncJob(spec.id, 1500).length, 4);
  assert.equal(claimTable.syncJob(spec.id, 1500).length, 0);
  assigned(jobs, 2, 6);
  claimTable.syncJob(spec.id, 1600);
  // The starts were lost on the way: nothing is there, and nothing is started again.
  assert.deepEqual(starts(2), []);
  assert.equal(claimTable.giveBack([], 2500).get(spec.id)?.length, 4);
});

// A machine that was gone before its new owner could hear it stayed in the membership: each later owner of the part kept all waiting
// tasks back for it until its fencing period.
test('machines that were not heard until the clearing leave the membership, and those that were heard stay', () => {
  const claimTable = taken();
  claimTable.report(report('m-1', 1, 2 * CALLS_PER_TERM), claimTable.fencedUntil - 1000, true);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil - 1), []);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil), ['m-2', 'm-3']);
  assert.deepEqual(claimTable.tick(claimTable.fencedUntil + 1), []);
});
