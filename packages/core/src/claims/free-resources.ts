/** The free resources of a machine according to its claims and its worker's reports. */
import { type MachineType, parseTaskName } from '@gingerlock/wire';
import { type Resources, NO_RESOURCES, subtractResources } from '../cluster/resources';
import type { JobTable } from '../jobs/job-table';
import type { Machine } from './machine-entry';

/**
 * The resources left on the machine after its claims and the orphaned tasks that it reports; none if its type is
 * unknown.
 */
export function freeResourcesOn(machine: Machine, type: MachineType | undefined, jobs: JobTable): Resources {
  if (type === undefined) return NO_RESOURCES;
  let free: Resources = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
  for (const task of machine.claims.values()) free = subtractResources(free, task.job.spec);
  for (const reported of machine.reportedTasks) {
    if (reported.state === 'exited' || machine.claims.has(reported.task)) continue;
    const parsed = parseTaskName(reported.task);
    const spec = parsed === null ? undefined : jobs.live.get(parsed.job)?.spec;
    // The size of this orphaned task is unknown, so nothing is known to be free until it is gone.
    if (spec === undefined) return NO_RESOURCES;
    free = subtractResources(free, spec);
  }
  return free;
}
