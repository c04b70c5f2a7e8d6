/**
 * Rules for the tasks of a crash-looping job, which failed wherever it was started: at most one at a time is started,
 * as a probe.
 */
import { countAssignedUnfinished } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { TaskEntry } from './task-entry';

/** Whether a job counts as crash-looping in this partition. */
type CrashLoopCheck = (job: Job) => boolean;

/**
 * Whether a waiting task may be started. A crash-looping job may start only a single probe that the leader has
 * assigned, and only once.
 */
export function mayStartTask({ job, failures }: TaskEntry, isCrashLooping: CrashLoopCheck): boolean {
  return !isCrashLooping(job) || (job.isCrashLooping && failures === 0 && countAssignedUnfinished(job) <= 1);
}

/**
 * Whether the write that returns these tasks to the leader is to mark their job as crash-looping.
 * `runningMachineCount`: on how many machines of the partition the job runs now.
 */
export function marksCrashLoop(
  job: Job,
  returned: readonly TaskEntry[],
  isCrashLooping: CrashLoopCheck,
  runningMachineCount: number,
): boolean {
  if (job.finishedCount > 0) return false;
  // The job cannot be started in this partition any more. It is probed in others, because it may fail there as well.
  const hasFailedHere = returned.some((task) => task.failures > 0) && runningMachineCount === 0;
  return hasFailedHere || isCrashLooping(job);
}
