// The interface through which the assignment probes crash-looping jobs; `ProbeSchedule` implements it.
import type { Job } from '../jobs/jobs';

/** Decides when and where single tasks of crash-looping jobs are started as probes. */
export interface ProbePolicy {
  /** Whether a probe has run for long enough to show that the job can run. */
  isProven(job: string): boolean;
  /** Whether the next probe is due; `now` in milliseconds. */
  mayProbe(job: string, now: number): boolean;
  /** The partition of the last probe; null: there was none. */
  lastPartitionId(job: string): number | null;
}

/** Whether the job is crash-looping, and no probe has shown since that it can run. */
export function mustBeProbed(job: Job, probes: ProbePolicy): boolean {
  return job.isCrashLooping && !probes.isProven(job.id);
}
