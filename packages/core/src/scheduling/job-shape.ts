// Jobs whose tasks fit in the same places, so that a search that failed for one is not repeated for the others.
import type { Job } from '../jobs/jobs';

/** Equal for jobs whose single tasks all fit on some machine or all on none. */
export function taskShapeOf({ ownPriority, spec }: Job): string {
  return [ownPriority, spec.cpus, spec.gpus, spec.memoryGb, spec.zone, spec.spot, ...(spec.types ?? [])].join();
}

/**
 * Equal for replica groups that all fit or all do not; one that avoids a machine still waits for the next assignment.
 */
export function groupShapeOf(job: Job): string {
  const { tasks, spread, oneZone } = job.spec;
  return [taskShapeOf(job), tasks, spread, oneZone].join();
}
