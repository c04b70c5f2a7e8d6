// Keys of jobs whose tasks fit in the same places: a search that failed for one is not repeated for the others.
import type { Job } from '../jobs/jobs';

/** Key of a job's tasks: of jobs with equal keys, either each has tasks that fit on some machine, or none has. */
export function taskShapeOf({ ownPriority, spec, need }: Job): string {
  const { cpus, gpus, memoryGb, reportBytes } = need;
  return [ownPriority, cpus, gpus, memoryGb, reportBytes, spec.zone, spec.spot, ...(spec.types ?? [])].join();
}

/** Key of a job's tasks that may go to these zones only; see `taskShapeOf`. */
export function taskShapeIn(job: Job, zones: readonly (string | null)[]): string {
  return [taskShapeOf(job), ...zones].join();
}

/**
 * Key of a replica group: groups with equal keys either all fit or all do not. Machines that a group avoids are not
 * part of the key; they may delay a group to the next assignment.
 */
export function groupShapeOf(job: Job): string {
  const { tasks, spread, oneZone } = job.spec;
  return [taskShapeOf(job), tasks, spread, oneZone].join();
}
