// The records that requests of users store, and the job states that users see. Pure functions of the cluster state.
import { coveringRanges, type Job, type JobTable } from '@gingerlock/core';
import { type JobRecord, jobRecord, type JobSpec, type JobState } from '@gingerlock/wire';

/** Returns why the job can't wait for the jobs that it names as dependencies, or null if it can. */
export function invalidDependencyReason(spec: JobSpec, jobs: JobTable): string | null {
  const unknown = spec.awaits.find((id) => !jobs.isKnown(id));
  if (unknown !== undefined) return `awaits: ${unknown} was never accepted`;
  if (spec.awaits.includes(spec.id)) return 'awaits: the job itself';
  const service = spec.awaits.find((id) => jobs.live.get(id)?.spec.kind === 'service');
  return service === undefined ? null : `awaits: ${service} is a service, which is never done`;
}

/**
 * Returns the record of a job that is accepted now. Dependencies that are done are left out, as they stay done. If a
 * dependency is cancelled, the job is cancelled at once. `acceptedAt`: time of day in milliseconds.
 */
export function newJobRecord(spec: JobSpec, { outcomes }: JobTable, acceptedAt: number): JobRecord {
  if (spec.awaits.some((id) => outcomes.get(id) === 'cancelled')) return { final: 'cancelled' };
  const awaits = spec.awaits.filter((id) => outcomes.get(id) !== 'done');
  return {
    final: null,
    spec: { ...spec, awaits },
    acceptedAt,
    cancelled: false,
    isCrashLooping: false,
    assignedRanges: [],
  };
}

/**
 * Returns the value to store when a live job is cancelled. `isTooLarge`: the store rejected the value because the limit
 * on values is smaller than when the record was written; its assigned ranges are then merged to shorten it.
 */
export function cancelledJobValue(job: Job, isTooLarge: boolean): unknown {
  const { spec, acceptedAt, isCrashLooping } = job;
  // Without assigned tasks there is nothing to stop, so the job is final at once.
  if (job.assignedRanges.length === 0) return jobRecord.write({ final: 'cancelled' });
  const assignedRanges = isTooLarge ? coveringRanges(job.assignedRanges) : job.assignedRanges;
  return jobRecord.write({ final: null, spec, acceptedAt, cancelled: true, isCrashLooping, assignedRanges });
}

/** Returns the job state that users see, or null for an unknown job. `runningTasks`: how many of its tasks run now. */
export function jobStateOf(id: string, jobs: JobTable, runningTasks: (id: string) => number): JobState | null {
  const final = jobs.outcomes.get(id);
  if (final !== undefined) return { id, status: final };
  const job = jobs.live.get(id);
  if (job === undefined) return null;
  if (job.isCancelled) return { id, status: 'cancelled' };
  const running = runningTasks(id);
  return { id, status: running > 0 ? 'running' : 'queued', done: job.finishedCount, running };
}
