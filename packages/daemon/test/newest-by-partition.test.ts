import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestByPartition, type PartitionRevision } from '../src/peers/newest-by-partition';

const of = (term: number, revision: number, partitionId = 0): PartitionRevision => ({ partitionId, term, revision });

test('of each partition the value of the latest term and revision is kept, in whatever order they come', () => {
  const newest = new NewestByPartition<PartitionRevision>();
  const other = of(1, 1, 1);
  newest.put(other);
  for (const [value, kept] of [
    [of(2, 10), of(2, 10)],
    [of(2, 9), of(2, 10)],
    [of(1, 99), of(2, 10)],
    [of(2, 11), of(2, 11)],
    [of(3, 5), of(3, 5)],
  ] as const) {
    newest.put(value);
    assert.deepEqual(newest.get(0), kept);
  }
  assert.deepEqual([...newest.values()], [other, of(3, 5)]);
});

test('of two values with one term and revision the one that came later is kept', () => {
  const newest = new NewestByPartition<PartitionRevision & { readonly at: number }>();
  newest.put({ ...of(1, 1), at: 1 });
  newest.put({ ...of(1, 1), at: 2 });
  assert.equal(newest.get(0)?.at, 2);
});
