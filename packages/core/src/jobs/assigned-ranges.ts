/** Operations on assigned ranges: the ranges of a job's tasks that its record assigns to partitions. */
import type { AssignedRange } from '@gingerlock/wire';

/** Removes the given tasks from the ranges of one partition; other tasks keep their partition, zone and term. */
export function withoutTasks(
  assignedRanges: readonly AssignedRange[],
  partitionId: number,
  removed: ReadonlySet<number>,
): AssignedRange[] {
  const kept: AssignedRange[] = [];
  for (const range of assignedRanges) {
    if (range.partitionId !== partitionId) {
      kept.push(range);
      continue;
    }
    const end = range.from + range.count;
    let from = range.from;
    for (let taskIndex = range.from; taskIndex <= end; taskIndex++) {
      if (taskIndex < end && !removed.has(taskIndex)) continue;
      if (taskIndex > from) kept.push({ ...range, from, count: taskIndex - from });
      from = taskIndex + 1;
    }
  }
  return kept;
}

/** Whether both ranges are assigned to the same partition and zone under the same term. */
function isAssignedAlike(a: AssignedRange, b: AssignedRange): boolean {
  return a.partitionId === b.partitionId && a.zone === b.zone && a.term === b.term;
}

/**
 * Merges adjacent ranges with the same partition, zone and term, so that a record stays small. Finished tasks need no
 * assignment: ranges are merged across them, and ranges with only finished tasks are dropped. The result is sorted by
 * task index.
 */
export function mergeRanges(
  assignedRanges: readonly AssignedRange[],
  isFinished: (taskIndex: number) => boolean = () => false,
): AssignedRange[] {
  const areAllFinished = (from: number, end: number): boolean => {
    for (let taskIndex = from; taskIndex < end; taskIndex++) if (!isFinished(taskIndex)) return false;
    return true;
  };
  const merged: AssignedRange[] = [];
  for (const range of [...assignedRanges].sort((a, b) => a.from - b.from)) {
    const end = range.from + range.count;
    if (areAllFinished(range.from, end)) continue;
    const last = merged.at(-1);
    const lastEnd = last === undefined ? 0 : last.from + last.count;
    if (
      last !== undefined &&
      lastEnd <= range.from &&
      isAssignedAlike(last, range) &&
      areAllFinished(lastEnd, range.from)
    ) {
      merged[merged.length - 1] = { ...last, count: end - last.from };
    } else {
      merged.push(range);
    }
  }
  return merged;
}

/** The tasks of a job with `taskCount` tasks that are in no range, as [from, count] pairs sorted by `from`. */
export function unassignedRanges(assignedRanges: readonly AssignedRange[], taskCount: number): [number, number][] {
  const gaps: [number, number][] = [];
  let next = 0;
  for (const range of [...assignedRanges].sort((a, b) => a.from - b.from)) {
    if (range.from > next) gaps.push([next, range.from - next]);
    next = Math.max(next, range.from + range.count);
  }
  if (next < taskCount) gaps.push([next, taskCount - next]);
  return gaps;
}

/**
 * Returns one range per partition that covers all of its tasks, for a cancelled job whose exact ranges exceed the limit
 * of a stored value. The ranges may overlap: no task of the job is started any more, and each partition removes its
 * range once it holds no task of the job. Until then, too many tasks may count against the team's limit, never too few.
 */
export function coveringRanges(assignedRanges: readonly AssignedRange[]): AssignedRange[] {
  const coverByPartition = new Map<number, AssignedRange>();
  for (const range of assignedRanges) {
    const cover = coverByPartition.get(range.partitionId) ?? range;
    const from = Math.min(cover.from, range.from);
    const end = Math.max(cover.from + cover.count, range.from + range.count);
    // With the higher term, an owner would immediately grant tasks that a machine may still run from the earlier term.
    const term = Math.min(cover.term, range.term);
    coverByPartition.set(range.partitionId, {
      from,
      count: end - from,
      partitionId: range.partitionId,
      zone: null,
      term,
    });
  }
  return [...coverByPartition.values()];
}
