/** What is known of a job apart from its failures in one partition: whether it is seen to run, or was. */
import type { JobEvidence } from './failure-attribution';
import type { JobTable } from '../jobs/job-table';
import type { TaskEntry } from './task-entry';

/**
 * The evidence on the job `id` now. `tasksByJob`: the tasks that are assigned to the partition, by job and task index.
 */
export function evidenceOn(
  jobs: JobTable,
  tasksByJob: ReadonlyMap<string, ReadonlyMap<number, TaskEntry>>,
  id: string,
  now: number,
): JobEvidence {
  const job = jobs.live.get(id);
  const machines = new Set<string>();
  let oldestRunSince = Infinity;
  for (const { claim } of tasksByJob.get(id)?.values() ?? []) {
    if (claim === null || claim.stage !== 'running' || claim.runningSince === null) continue;
    machines.add(claim.machine.name);
    oldestRunSince = Math.min(oldestRunSince, claim.runningSince);
  }
  return {
    hasCompleted: (job?.finishedCount ?? 0) > 0 || jobs.finals.get(id) === 'done',
    isOver: job === undefined,
    isMarkedCrashLooping: job?.isCrashLooping === true,
    runningOn: machines.size,
    longestRunMs: oldestRunSince === Infinity ? 0 : now - oldestRunSince,
  };
}
