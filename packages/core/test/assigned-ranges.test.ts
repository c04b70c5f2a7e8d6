import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AssignedRange } from '@gingerlock/wire';
import fc from 'fast-check';
import { coveringRanges, mergeRanges, unassignedRanges, withoutTasks } from '../src/index';

const TASKS = 40;
const placement = fc.record(
  { partitionId: fc.nat({ max: 2 }), zone: fc.constantFrom(null, 'a', 'b'), term: fc.constantFrom(1, 2) },
  { noNullPrototype: true },
);
type Placement = Omit<AssignedRange, 'from' | 'count'>;

/** The placement of each task; null if the task is not assigned. */
const assignment = fc.array(fc.option(placement, { nil: null }), { minLength: TASKS, maxLength: TASKS });
const tasks = fc.uniqueArray(fc.nat({ max: TASKS - 1 })).map((list) => new Set(list));

function assignedRangesOf(placements: readonly (Placement | null)[]): AssignedRange[] {
  return placements.flatMap((p, from) => (p === null ? [] : [{ from, count: 1, ...p }]));
}

function placesOf(assignedRanges: readonly AssignedRange[]): (Placement | null)[] {
  const placements: (Placement | null)[] = Array.from({ length: TASKS }, () => null);
  for (const { from, count, partitionId, zone, term } of assignedRanges) {
    for (let task = from; task < from + count; task++) {
      assert.equal(placements[task], null, `task ${task} is in two ranges`);
      placements[task] = { partitionId, zone, term };
    }
  }
  return placements;
}

test('merging ranges keeps the placement of every unfinished task and leaves no ranges to merge', () => {
  fc.assert(
    fc.property(assignment, tasks, (places, finished) => {
      const isFinished = (task: number): boolean => finished.has(task);
      const merged = mergeRanges(assignedRangesOf(places), isFinished);
      const after = placesOf(merged);
      for (let task = 0; task < TASKS; task++) {
        if (!isFinished(task)) assert.deepEqual(after[task], places[task], `task ${task}`);
      }
      assert.deepEqual(mergeRanges(merged, isFinished), merged);
    }),
    { seed: 391 },
  );
});

test('tasks are removed only from the ranges of the given partition', () => {
  fc.assert(
    fc.property(assignment, tasks, fc.nat({ max: 2 }), (places, removed, partitionId) => {
      const left = placesOf(withoutTasks(mergeRanges(assignedRangesOf(places)), partitionId, removed));
      for (let task = 0; task < TASKS; task++) {
        const isRemoved = removed.has(task) && places[task]?.partitionId === partitionId;
        assert.deepEqual(left[task], isRemoved ? null : places[task], `task ${task}`);
      }
    }),
    { seed: 391 },
  );
});

test('the unassigned ranges contain exactly the tasks that are in no assigned range', () => {
  fc.assert(
    fc.property(assignment, (places) => {
      const ranges = unassignedRanges(mergeRanges(assignedRangesOf(places)), TASKS);
      const unassigned = new Set(ranges.flatMap(([from, count]) => Array.from({ length: count }, (_, i) => from + i)));
      for (let task = 0; task < TASKS; task++)
        assert.equal(unassigned.has(task), places[task] === null, `task ${task}`);
    }),
    { seed: 391 },
  );
});

test('the covering range of a partition contains all its tasks and has no higher term than their ranges', () => {
  fc.assert(
    fc.property(assignment, (places) => {
      const covers = coveringRanges(assignedRangesOf(places));
      assert.equal(new Set(covers.map((c) => c.partitionId)).size, covers.length);
      for (const [task, p] of places.entries()) {
        if (p === null) continue;
        const cover = covers.find((c) => c.partitionId === p.partitionId)!;
        assert.ok(cover.from <= task && task < cover.from + cover.count && cover.term <= p.term, `task ${task}`);
      }
    }),
    { seed: 391 },
  );
});
