/** Resource usage of jobs by their records: tasks that are assigned to partitions count as used before they run. */
import type { AssignedRange } from '@gingerlock/wire';
import { type Resources, NO_RESOURCES, addResources } from '../cluster/resources';
import type { Job } from './jobs';

/** All assigned, unfinished tasks. */
export interface AssignedUsage {
  readonly taskCount: number;
  /** Their resources by team; teams without such tasks are omitted. */
  readonly byTeam: Map<string, Resources>;
}

/** Counts the assigned, unfinished tasks of all jobs. */
export function assignedUsage(jobs: Iterable<Job>): AssignedUsage {
  const byTeam = new Map<string, Resources>();
  let total = 0;
  for (const job of jobs) {
    const taskCount = countAssignedUnfinished(job);
    if (taskCount === 0) continue;
    const { team } = job.spec;
    byTeam.set(team, addResources(byTeam.get(team) ?? NO_RESOURCES, job.need, taskCount));
    total += taskCount;
  }
  return { taskCount: total, byTeam };
}

/** How many unfinished tasks of the job are assigned to partitions. */
export function countAssignedUnfinished(job: Job): number {
  return job.assignedRanges.reduce((sum, range) => sum + countUnfinishedIn(job, range), 0);
}

/** How many tasks of a range are not finished. */
export function countUnfinishedIn(job: Job, { from, count }: Pick<AssignedRange, 'from' | 'count'>): number {
  if (job.finishedCount === 0) return count;
  let unfinishedCount = 0;
  for (let taskIndex = from; taskIndex < from + count; taskIndex++) {
    if (!job.isFinished(taskIndex)) unfinishedCount++;
  }
  return unfinishedCount;
}

/** How many tasks of a job with `spread` may be assigned to one zone. */
export function maxTasksPerZone(job: Job): number {
  return Math.ceil(job.spec.tasks / 2);
}

/** The assignment of an unfinished task to a partition, according to the job's record. */
export interface AssignedTask {
  /** Zone that the task has to run in; null if any. */
  readonly zone: string | null;
  /** Term of the partition's owner at the time of the assignment. */
  readonly term: number;
}

/** The job's unfinished tasks that are assigned to the partition under this term or an earlier one, by task index. */
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
