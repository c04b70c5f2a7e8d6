import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { finishedRecord, jobRecord, KEYS, parseKey } from '@gingerlock/wire';
import fc from 'fast-check';
import { BitSet, finishedPageFor, type Job, JobTable } from '../src/index';
import { specOf } from './fixtures';

/** Length of regular pages, as stored under a limit on values of 16 KiB, and the smaller current limit. */
const PAGE_TASKS = 49_152;
const VALUE_BYTES = 2048;
const PARTITION_ID = 3;

function tableWith(tasks: number): { table: JobTable; job: Job } {
  const table = new JobTable(() => PAGE_TASKS);
  const spec = specOf('j-1', { tasks });
  table.applyJob(
    spec.id,
    jobRecord.write({ final: null, spec, acceptedAt: 0, cancelled: false, isCrashLooping: false, assignedRanges: [] }),
    1,
  );
  return { table, job: table.live.get(spec.id)! };
}

function store(table: JobTable, key: string, bits: BitSet, version: number): number {
  const parsed = parseKey(key);
  assert.ok(parsed.kind === 'finished' || parsed.kind === 'finishedFrom');
  const value = finishedRecord.write(bits.bytes);
  table.applyFinished(parsed, value, version);
  return JSON.stringify(value).length;
}

const task = fc.integer({ min: 0, max: 99_999 });

test('finished tasks are stored within a smaller limit on values even if pages exist from a larger limit', () => {
  fc.assert(
    fc.property(fc.array(task, { maxLength: 30 }), fc.array(task, { maxLength: 60 }), (before, after) => {
      const { table, job } = tableWith(100_000);
      let version = 1;
      const large = new Map<string, BitSet>();
      for (const taskIndex of before) {
        const page = Math.floor(taskIndex / PAGE_TASKS);
        const key = KEYS.finished(job.id, PARTITION_ID, page);
        large.set(key, (large.get(key) ?? new BitSet()).with(taskIndex - page * PAGE_TASKS));
      }
      for (const [key, bits] of large) store(table, key, bits, ++version);
      for (const taskIndex of after) {
        const limits = { pageTasks: PAGE_TASKS, valueBytes: VALUE_BYTES };
        const { key, first, bits } = finishedPageFor(job, PARTITION_ID, taskIndex, limits);
        const written = store(table, key, bits.with(taskIndex - first), ++version);
        assert.ok(written <= VALUE_BYTES, `${key} takes ${written} characters`);
      }
      const finished = new Set([...before, ...after]);
      assert.equal(job.finishedCount, finished.size);
      for (const taskIndex of finished) assert.ok(job.isFinished(taskIndex), `task ${taskIndex}`);
    }),
    { seed: 391, numRuns: 200 },
  );
});

test('tasks that fit into their regular page are stored there, so that the previous version can read them', () => {
  const { job } = tableWith(90);
  for (const taskIndex of [0, 41, 89]) {
    const { key, first } = finishedPageFor(job, PARTITION_ID, taskIndex, {
      pageTasks: PAGE_TASKS,
      valueBytes: VALUE_BYTES,
    });
    assert.deepEqual({ key, first }, { key: KEYS.finished(job.id, PARTITION_ID, 0), first: 0 });
  }
});

// Guards against a controller that takes in a whole page of a huge array again each time that one more task has finished.
test('a later version of a page is taken in by what it adds', () => {
  const { table, job } = tableWith(100_000);
  let bits = new BitSet();
  for (let taskIndex = 0; taskIndex < 40_000; taskIndex += 7) bits = bits.with(taskIndex);
  const key = KEYS.finished(job.id, PARTITION_ID, 0);
  store(table, key, bits, 2);
  const finishedCount = job.finishedCount;
  const has = mock.method(BitSet.prototype, 'has');
  store(table, key, bits.with(39_999).with(12), 3);
  has.mock.restore();
  assert.equal(job.finishedCount, finishedCount + 2);
  assert.ok(has.mock.callCount() <= 16, `${has.mock.callCount()} tasks are looked at`);
});
