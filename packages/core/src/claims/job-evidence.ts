/** Collects what is known about a job apart from its failures in one partition, such as whether it runs. */
import type { JobTable } from '../jobs/job-table';
import type { JobEvidence } from './failure-attribution';
import type { TaskEntry } from './task-entry';

/**
 * Returns the current evidence on the job `id`. `tasksByJob`: the tasks of the partition, by job id and task index.
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
    hasCompleted: (job?.finishedCount ?? 0) > 0 || jobs.outcomes.get(id) === 'done',
    isOver: job === undefined,
    isMarkedCrashLooping: job?.isCrashLooping === true,
    runningMachineCount: machines.size,
    longestRunMs: oldestRunSince === Infinity ? 0 : now - oldestRunSince,
  };
}
