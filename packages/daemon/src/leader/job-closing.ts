// Closing of jobs: the record of a job that is over is replaced by its final state.
import { assignedUnfinished, type Job } from '@gingerlock/core';
import { jobRecord } from '@gingerlock/wire';
import type { JobBatch } from './job-batch';

/**
 * The final state of a job of which nothing can run any more: all tasks are finished or, after a cancellation, gone;
 * null: open.
 */
function finalStateOf(job: Job): 'done' | 'cancelled' | null {
  if (job.isCancelled) return assignedUnfinished(job) === 0 ? 'cancelled' : null;
  return job.spec.kind === 'array' && job.isComplete ? 'done' : null;
}

/** Closes as many of the jobs that are over as the transaction has space for. */
export function closeJobs(batch: JobBatch, jobs: Iterable<Job>): void {
  for (const job of jobs) {
    const final = finalStateOf(job);
    if (final !== null && !batch.put(job, jobRecord.write({ final }))) return;
  }
}
