import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestByPartition, type PartitionRevision } from '../src/peers/newest-by-partition';

const valueOf = (term: number, revision: number, partitionId = 0): PartitionRevision => ({
  partitionId,
  term,
  revision,
});

test('the value of the latest term and revision is kept for each partition, in any order of arrival', () => {
  const newest = new NewestByPartition<PartitionRevision>();
  const other = valueOf(1, 1, 1);
  newest.put(other);
  for (const [value, kept] of [
    [valueOf(2, 10), valueOf(2, 10)],
    [valueOf(2, 9), valueOf(2, 10)],
    [valueOf(1, 99), valueOf(2, 10)],
    [valueOf(2, 11), valueOf(2, 11)],
    [valueOf(3, 5), valueOf(3, 5)],
  ] as const) {
    newest.put(value);
    assert.deepEqual(newest.get(0), kept);
  }
  assert.deepEqual([...newest.values()], [other, valueOf(3, 5)]);
});

test('if two values have the same term and revision, the one that arrives later is kept', () => {
  const newest = new NewestByPartition<PartitionRevision & { readonly at: number }>();
  newest.put({ ...valueOf(1, 1), at: 1 });
  newest.put({ ...valueOf(1, 1), at: 2 });
  assert.equal(newest.get(0)?.at, 2);
});
