// The stored records that requests of users write, and what users are shown of a job. Pure functions of the cluster
// state.
import { coveringRanges, type Job, type JobTable } from '@gingerlock/core';
import { type JobRecord, jobRecord, type JobSpec, type JobState } from '@gingerlock/wire';

/** Why the jobs that a submission names are none that it can wait for; null: it can. */
export function unfitDependency(spec: JobSpec, jobs: JobTable): string | null {
  const unknown = spec.awaits.find((id) => !jobs.isKnown(id));
  if (unknown !== undefined) return `awaits: ${unknown} was never accepted`;
  if (spec.awaits.includes(spec.id)) return 'awaits: the job itself';
  const service = spec.awaits.find((id) => jobs.live.get(id)?.spec.kind === 'service');
  return service === undefined ? null : `awaits: ${service} is a service, which is never done`;
}

/**
 * The record of a job that is accepted now. Dependencies that are done need not be kept: they remain so. With a
 * cancelled one the job is cancelled at once. `acceptedAt`: time of day in milliseconds.
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
 * The stored value of a live job once it is cancelled. `isTooLarge`: the store rejected the record as it is, since it
 * was stored under a larger limit on values; its ranges are merged then.
 */
export function cancelledJobValue(job: Job, isTooLarge: boolean): unknown {
  const { spec, acceptedAt, isCrashLooping } = job;
  // With nothing assigned there is nothing to stop: the record closes at once.
  if (job.assignedRanges.length === 0) return jobRecord.write({ final: 'cancelled' });
  const assignedRanges = isTooLarge ? coveringRanges(job.assignedRanges) : job.assignedRanges;
  return jobRecord.write({ final: null, spec, acceptedAt, cancelled: true, isCrashLooping, assignedRanges });
}

/** What users are shown of a job; null: it is not known. `runningTasks`: how many of its tasks run now. */
export function jobStateOf(id: string, jobs: JobTable, runningTasks: (id: string) => number): JobState | null {
  const final = jobs.outcomes.get(id);
  if (final !== undefined) return { id, status: final };
  const job = jobs.live.get(id);
  if (job === undefined) return null;
  if (job.isCancelled) return { id, status: 'cancelled' };
  const running = runningTasks(id);
  return { id, status: running > 0 ? 'running' : 'queued', done: job.finishedCount, running };
}
