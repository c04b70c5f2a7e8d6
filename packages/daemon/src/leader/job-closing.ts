// Closes jobs: replaces the record of a job that has ended with its final state.
import { countAssignedUnfinished, type Job } from '@gingerlock/core';
import { jobRecord } from '@gingerlock/wire';
import type { JobBatch } from './job-batch';

/**
 * The final state of a job: 'done' if all its tasks are finished, 'cancelled' if it is cancelled and no assigned task
 * is left to stop; null: the job is still open.
 */
function finalStateOf(job: Job): 'done' | 'cancelled' | null {
  if (job.isCancelled) return countAssignedUnfinished(job) === 0 ? 'cancelled' : null;
  return job.spec.kind === 'array' && job.isComplete ? 'done' : null;
}

/** Closes as many ended jobs as the transaction has space for. */
export function closeJobs(batch: JobBatch, jobs: Iterable<Job>): void {
  for (const job of jobs) {
    const final = finalStateOf(job);
    if (final !== null && !batch.put(job, jobRecord.write({ final }))) return;
  }
}
