// What jobs use by their records: what is assigned to partitions counts against limits before it runs.
import type { AssignedRange } from '@gingerlock/wire';
import { type Resources, NO_RESOURCES, addResources } from '../cluster/resources';
import type { Job } from './jobs';

/** What the assigned and unfinished tasks of every team add up to. */
export function teamUse(jobs: Iterable<Job>): Map<string, Resources> {
  const use = new Map<string, Resources>();
  for (const job of jobs) {
    const n = assignedUnfinished(job);
    if (n > 0) use.set(job.spec.team, addResources(use.get(job.spec.team) ?? NO_RESOURCES, job.spec, n));
  }
  return use;
}

/** How many unfinished tasks of the job are assigned to partitions. */
export function assignedUnfinished(job: Job): number {
  return job.assignedRanges.reduce((n, range) => n + unfinishedIn(job, range), 0);
}

/** How many tasks of a range are not finished. */
export function unfinishedIn(job: Job, { from, count }: Pick<AssignedRange, 'from' | 'count'>): number {
  if (job.finishedCount === 0) return count;
  let n = 0;
  for (let i = from; i < from + count; i++) if (!job.isFinished(i)) n++;
  return n;
}

/** At most this many tasks of a spread job in one zone. */
export function spreadCap(job: Job): number {
  return Math.ceil(job.spec.tasks / 2);
}

/** What the record says of one unfinished task that is assigned to a partition. */
export interface AssignedTask {
  readonly zone: string | null;
  /** Term of the partition's owner at the assignment. */
  readonly term: number;
}

/** The job's unfinished tasks that are assigned to the partition under this term or an earlier one, by their numbers. */
export function tasksAssignedTo(job: Job, partitionId: number, term: number): Map<number, AssignedTask> {
  const assigned = new Map<number, AssignedTask>();
  for (const range of job.assignedRanges) {
    if (range.partitionId !== partitionId || range.term > term) continue;
    for (let taskIndex = range.from; taskIndex < range.from + range.count; taskIndex++) {
      if (!job.isFinished(taskIndex)) assigned.set(taskIndex, { zone: range.zone, term: range.term });
    }
  }
  return assigned;
}
