// Arithmetic on a job's rounds: the ranges of its tasks that are assigned to partitions, as its record keeps them.
import type { Round } from '@gingerlock/wire';

/** Cuts the given tasks out of the rounds of one partition; what is left keeps its partition, zone and term. */
export function withoutTasks(rounds: readonly Round[], partitionId: number, removed: ReadonlySet<number>): Round[] {
  const left: Round[] = [];
  for (const round of rounds) {
    if (round.partitionId !== partitionId) {
      left.push(round);
      continue;
    }
    const end = round.from + round.count;
    let from = round.from;
    for (let taskIndex = round.from; taskIndex <= end; taskIndex++) {
      if (taskIndex < end && !removed.has(taskIndex)) continue;
      if (taskIndex > from) left.push({ ...round, from, count: taskIndex - from });
      from = taskIndex + 1;
    }
  }
  return left;
}

function assignedAlike(a: Round, b: Round): boolean {
  return a.partitionId === b.partitionId && a.zone === b.zone && a.term === b.term;
}

/**
 * Joins neighbours that are assigned alike, so that a record stays small. Finished tasks need no assignment: rounds are
 * joined across them, and a round of finished tasks alone is dropped.
 */
export function joinRounds(
  rounds: readonly Round[],
  isFinished: (taskIndex: number) => boolean = () => false,
): Round[] {
  const allFinished = (from: number, end: number): boolean => {
    for (let taskIndex = from; taskIndex < end; taskIndex++) if (!isFinished(taskIndex)) return false;
    return true;
  };
  const joined: Round[] = [];
  for (const round of [...rounds].sort((a, b) => a.from - b.from)) {
    const end = round.from + round.count;
    if (allFinished(round.from, end)) continue;
    const last = joined.at(-1);
    const lastEnd = last === undefined ? 0 : last.from + last.count;
    if (last !== undefined && lastEnd <= round.from && assignedAlike(last, round) && allFinished(lastEnd, round.from)) {
      joined[joined.length - 1] = { ...last, count: end - last.from };
    } else {
      joined.push(round);
    }
  }
  return joined;
}

/** Ranges of tasks that are in no round, as [from, count]. */
export function unassignedRanges(rounds: readonly Round[], tasks: number): [number, number][] {
  const gaps: [number, number][] = [];
  let next = 0;
  for (const round of [...rounds].sort((a, b) => a.from - b.from)) {
    if (round.from > next) gaps.push([next, round.from - next]);
    next = Math.max(next, round.from + round.count);
  }
  if (next < tasks) gaps.push([next, tasks - next]);
  return gaps;
}

/**
 * One round per partition that covers all of its tasks, for a cancelled job whose exact rounds outgrow a value. The
 * rounds may overlap: nothing of the job is started any more, and each partition removes its own round once none of
 * the job's tasks is left there. Until then too much is counted against the team's limit, never too little.
 */
export function coverPerPartition(rounds: readonly Round[]): Round[] {
  const covers = new Map<number, Round>();
  for (const round of rounds) {
    const cover = covers.get(round.partitionId) ?? round;
    const from = Math.min(cover.from, round.from);
    const end = Math.max(cover.from + cover.count, round.from + round.count);
    // The higher term would make an owner trust that no other machine can run the task.
    const term = Math.min(cover.term, round.term);
    covers.set(round.partitionId, { from, count: end - from, partitionId: round.partitionId, zone: null, term });
  }
  return [...covers.values()];
}
