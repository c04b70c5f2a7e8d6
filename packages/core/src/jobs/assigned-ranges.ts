// Arithmetic on a job's rounds: the ranges of its tasks that are assigned to partitions, as its record keeps them.
import type { AssignedRange } from '@gingerlock/wire';

/** Cuts the given tasks out of the rounds of one partition; what is left keeps its partition, zone and term. */
export function withoutTasks(
  assignedRanges: readonly AssignedRange[],
  partitionId: number,
  removed: ReadonlySet<number>,
): AssignedRange[] {
  const left: AssignedRange[] = [];
  for (const range of assignedRanges) {
    if (range.partitionId !== partitionId) {
      left.push(range);
      continue;
    }
    const end = range.from + range.count;
    let from = range.from;
    for (let taskIndex = range.from; taskIndex <= end; taskIndex++) {
      if (taskIndex < end && !removed.has(taskIndex)) continue;
      if (taskIndex > from) left.push({ ...range, from, count: taskIndex - from });
      from = taskIndex + 1;
    }
  }
  return left;
}

function assignedAlike(a: AssignedRange, b: AssignedRange): boolean {
  return a.partitionId === b.partitionId && a.zone === b.zone && a.term === b.term;
}

/**
 * Joins neighbours that are assigned alike, so that a record stays small. Finished tasks need no assignment: rounds are
 * joined across them, and a round of finished tasks alone is dropped.
 */
export function mergeRanges(
  assignedRanges: readonly AssignedRange[],
  isFinished: (taskIndex: number) => boolean = () => false,
): AssignedRange[] {
  const allFinished = (from: number, end: number): boolean => {
    for (let taskIndex = from; taskIndex < end; taskIndex++) if (!isFinished(taskIndex)) return false;
    return true;
  };
  const joined: AssignedRange[] = [];
  for (const range of [...assignedRanges].sort((a, b) => a.from - b.from)) {
    const end = range.from + range.count;
    if (allFinished(range.from, end)) continue;
    const last = joined.at(-1);
    const lastEnd = last === undefined ? 0 : last.from + last.count;
    if (last !== undefined && lastEnd <= range.from && assignedAlike(last, range) && allFinished(lastEnd, range.from)) {
      joined[joined.length - 1] = { ...last, count: end - last.from };
    } else {
      joined.push(range);
    }
  }
  return joined;
}

/** Ranges of tasks that are in no round, as [from, count]. */
export function unassignedRanges(assignedRanges: readonly AssignedRange[], tasks: number): [number, number][] {
  const gaps: [number, number][] = [];
  let next = 0;
  for (const range of [...assignedRanges].sort((a, b) => a.from - b.from)) {
    if (range.from > next) gaps.push([next, range.from - next]);
    next = Math.max(next, range.from + range.count);
  }
  if (next < tasks) gaps.push([next, tasks - next]);
  return gaps;
}

/**
 * One round per partition that covers all of its tasks, for a cancelled job whose exact rounds outgrow a value. The
 * rounds may overlap: nothing of the job is started any more, and each partition removes its own round once none of
 * the job's tasks is left there. Until then too much is counted against the team's limit, never too little.
 */
export function coverPerPartition(assignedRanges: readonly AssignedRange[]): AssignedRange[] {
  const covers = new Map<number, AssignedRange>();
  for (const range of assignedRanges) {
    const cover = covers.get(range.partitionId) ?? range;
    const from = Math.min(cover.from, range.from);
    const end = Math.max(cover.from + cover.count, range.from + range.count);
    // The higher term would make an owner trust that no other machine can run the task.
    const term = Math.min(cover.term, range.term);
    covers.set(range.partitionId, { from, count: end - from, partitionId: range.partitionId, zone: null, term });
  }
  return [...covers.values()];
}
