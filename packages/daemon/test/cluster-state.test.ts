import assert from 'node:assert/strict';
import { test } from 'node:test';
import { finishedRecord, jobRecord, KEYS, metaRecord } from '@gingerlock/wire';
import { ClusterState } from '../src/state/cluster-state';
import { specOf } from '../../core/test/fixtures';

// A list read returns keys in order, finished pages before the page size. Guards against applying pages with another
// page size: after a restart, the tasks of a later page would count as other tasks of the job.
test('finished pages that are read before the page size is known finish the right tasks', () => {
  const clusterState = new ClusterState();
  const spec = specOf('j-1', { tasks: 200 });
  const record = {
    final: null,
    spec,
    acceptedAt: 0,
    cancelled: false,
    isCrashLooping: false,
    assignedRanges: [],
  } as const;
  const meta = metaRecord.write({ format: 1, partitionCount: 1, zones: [], pageTasks: 64 });
  clusterState.apply(KEYS.finished(spec.id, 0, 2), finishedRecord.write(new Uint8Array([0b11])), 5);
  clusterState.apply(KEYS.job(spec.id), jobRecord.write(record), 2);
  clusterState.apply(KEYS.meta, meta, 1);
  const job = clusterState.jobs.live.get(spec.id)!;
  assert.deepEqual(
    [0, 1, 8, 9, 128, 129, 130].map((task) => job.isFinished(task)),
    [false, false, false, false, true, true, false],
  );
});
