/** The free resources of a machine according to its claims and its worker's reports. */
import { type MachineType, parseTaskName, type ReportedTask, reportedTaskBytes } from '@gingerlock/wire';
import { type Resources, capacityOf, NO_RESOURCES, subtractResources } from '../cluster/resources';
import type { JobTable } from '../jobs/job-table';
import type { Machine } from './machine-entry';

/**
 * The resources left on the machine after its claims and the other attempts that it reports, exited ones included; none
 * if its type is unknown.
 */
export function freeResourcesOn(machine: Machine, type: MachineType | undefined, jobs: JobTable): Resources {
  if (type === undefined) return NO_RESOURCES;
  let free = capacityOf(type);
  for (const task of machine.claims.values()) free = subtractResources(free, task.job.need);
  for (const reported of machine.reportedTasks) {
    if (isClaimed(machine, reported)) continue;
    // If two attempts at a task are reported, the task runs in one of them.
    const isOnlyReported = reported.state === 'exited' || machine.claims.has(reported.task);
    const need = isOnlyReported ? reportNeedOf(reported) : needOfOrphan(reported, jobs);
    // The size of this orphaned task is unknown, so nothing is known to be free until it is gone.
    if (need === undefined) return NO_RESOURCES;
    free = subtractResources(free, need);
  }
  return free;
}

/**
 * The resources that are free once the worker has forgotten the exited tasks of its latest report, which it is told to
 * do as soon as their ends are recorded. `free`: the resources that are free now.
 */
export function freeAfterForgetting(free: Resources, { reportedTasks }: Machine): Resources {
  if (free === NO_RESOURCES) return free;
  let { reportBytes } = free;
  for (const { state, task } of reportedTasks) if (state === 'exited') reportBytes += reportedTaskBytes(task);
  return reportBytes === free.reportBytes ? free : { ...free, reportBytes };
}

/** Whether the attempt is the one that the machine has a claim on. */
function isClaimed({ claims }: Machine, { task, attempt }: ReportedTask): boolean {
  return claims.get(task)?.claim?.attempt === attempt;
}

/** What an attempt takes that uses nothing but its place in the report. */
function reportNeedOf({ task }: ReportedTask): Resources {
  return { ...NO_RESOURCES, reportBytes: reportedTaskBytes(task) };
}

/** What a task takes that runs without a claim; undefined if its job is unknown. */
function needOfOrphan({ task }: ReportedTask, jobs: JobTable): Resources | undefined {
  const parsed = parseTaskName(task);
  return parsed === null ? undefined : jobs.live.get(parsed.job)?.need;
}
