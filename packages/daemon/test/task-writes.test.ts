import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { BitSet, type ClaimTable, Job, type TaskEntry } from '@gingerlock/core';
import { finishedRecord } from '@gingerlock/wire';
import { specOf } from '../../core/test/fixtures';
import type { ControllerContext } from '../src/controller/controller-context';
import { TaskWrites } from '../src/owner/task-writes';

const PAGE_TASKS = 49_152;

/** The writes that an owner plans when these tasks of an array of 100,000 have finished. */
function planFinished(indexes: readonly number[]): ReturnType<TaskWrites['plan']> {
  const job = new Job('j-1');
  job.spec = specOf(job.id, { tasks: 100_000 });
  const tasks = indexes.map((index) => ({ job, index }) as TaskEntry);
  const context = {
    clusterConfig: { heartbeatIntervalMs: 1000 },
    clusterState: { meta: { pageTasks: PAGE_TASKS } },
    settings: { valueBytes: 16 * 1024 },
    watchCache: { version: () => 3 },
    keyValueStore: { options: { rateLimiter: { spareWriteShare: () => 1 } } },
  } as unknown as ControllerContext;
  const claimTable = {
    tasksToFinish: () => new Map([[job.id, tasks]]),
    returnable: () => new Map(),
  } as unknown as ClaimTable;
  return new TaskWrites(context, 0, claimTable).plan(0);
}

// Guards against an owner that copies a page of finished tasks once for each task that it adds to the page.
test('the write of many finished tasks of an array copies each page once', () => {
  const indexes = Array.from({ length: 20_000 }, (_, i) => i * 5);
  const copies = mock.method(BitSet.prototype, 'with');
  const writes = planFinished(indexes);
  copies.mock.restore();
  const finished = writes.flatMap(({ change }, page) => {
    const bits = new BitSet('put' in change ? finishedRecord.read(change.value) : undefined);
    return Array.from({ length: PAGE_TASKS }, (_, bit) => bit)
      .filter((bit) => bits.has(bit))
      .map((bit) => page * PAGE_TASKS + bit);
  });
  assert.deepEqual(finished, indexes);
  assert.ok(copies.mock.callCount() <= writes.length, `${copies.mock.callCount()} copies`);
});
