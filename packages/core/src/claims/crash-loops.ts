/**
 * What follows for the tasks of a job that failed wherever it was started: at most one at a time is started, as a
 * probe.
 */
import { assignedUnfinished } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { TaskEntry } from './task-entry';

/** Whether a job counts as crash-looping in this partition. */
type CrashLoopCheck = (job: Job) => boolean;

/**
 * Whether a waiting task may be started: of a crash-looping job only a single probe that the leader has assigned, and
 * once.
 */
export function mayStartTask({ job, failures }: TaskEntry, isCrashLooping: CrashLoopCheck): boolean {
  return !isCrashLooping(job) || (job.isCrashLooping && failures === 0 && assignedUnfinished(job) <= 1);
}

/**
 * Whether the record of a job of which these tasks are returned to the leader is to mark it as crash-looping.
 * `runningOn`: on how many machines of the partition the job runs now.
 */
export function marksCrashLoop(
  job: Job,
  returned: readonly TaskEntry[],
  isCrashLooping: CrashLoopCheck,
  runningOn: number,
): boolean {
  if (job.finishedCount > 0) return false;
  // No machine here is left to start it on: elsewhere it is probed, for it may fail there as well.
  const hasFailedHere = returned.some((task) => task.failures > 0) && runningOn === 0;
  return hasFailedHere || isCrashLooping(job);
}
