// Crash-looping jobs at the leader: assigns one probe task per job at a time, and removes the mark from the job's
// record once a probe has run for long enough.
import { type Assignment, type Job, mustBeProbed, type PartitionStatus, ProbeSchedule } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import { type JobBatch, recordWith } from './job-batch';

/** Updates the probe schedule from statuses and committed transactions. */
export class CrashLoopProbes {
  readonly schedule: ProbeSchedule;

  constructor(readonly context: ControllerContext) {
    this.schedule = new ProbeSchedule(context.clusterConfig);
  }

  /** Updates the schedule from the jobs that are marked as crash-looping and the tasks that run now. */
  review(statuses: readonly PartitionStatus[], now: number): void {
    const { live } = this.context.clusterState.jobs;
    const crashLooping = [...live.values()]
      .filter((job) => job.isCrashLooping && !job.isCancelled)
      .map((job) => job.id);
    const runningByJob = new Map<string, number>();
    for (const { running } of statuses)
      for (const [job, tasks] of running) runningByJob.set(job, (runningByJob.get(job) ?? 0) + tasks);
    this.schedule.review(
      (job) => live.has(job),
      crashLooping,
      (job) => runningByJob.get(job) ?? 0,
      now,
    );
  }

  /** See `mustBeProbed` in the package `core`. */
  mustBeProbed(job: Job): boolean {
    return mustBeProbed(job, this.schedule);
  }

  /**
   * Removes the mark from jobs whose probe has succeeded. Skips jobs that the batch already changes, because an
   * assignment removes the mark too.
   */
  removeMarks(batch: JobBatch): void {
    const { clusterState, settings } = this.context;
    for (const job of clusterState.jobs.live.values()) {
      if (batch.changes.length >= settings.maxTransactionOps) return;
      if (!job.isCrashLooping || job.isCancelled || batch.jobs.has(job.id) || this.mustBeProbed(job)) continue;
      if (!batch.put(job, recordWith(job, false, []))) return;
    }
  }

  /** Records the probes that a committed batch has started and the marks that it has removed. */
  recordCommitted(assignments: readonly Assignment[], batch: JobBatch, now: number): void {
    for (const { job, added } of assignments) {
      if (!batch.jobs.has(job.id) || !job.isMarkedCrashLooping) continue;
      if (this.mustBeProbed(job)) this.schedule.probeStarted(job.id, added[0]!.partitionId, now);
    }
    for (const id of batch.jobs) if (this.schedule.isProven(id)) this.schedule.crashLoopMarkRemoved(id);
  }
}
