// What follows from a claim table for others, without changing it: which tasks can be given back to the leader, which are to be
// written as finished, what is missing and what runs.
import type { ClaimView } from './claim-view';
import { type Resources, NO_RESOURCES, addResources } from '../cluster/resources';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import { countWithinLimit } from '../cluster/quota';
import { PRIORITIES } from '@gingerlock/wire';
import { type Job, jobOrder } from '../jobs/jobs';
import type { Machine, TaskEntry } from './task-entry';

/** A partition of which most machines have not been heard for so many report intervals after its takeover is cut off. */
const CUT_INTERVALS = 4;

/** A replica that was moved waits for a machine of this partition that has its image for so many report intervals. */
const CACHED_IMAGE_WAIT_INTERVALS = 2;

/** Whether a replica that was moved waits for a machine here that has its image. */
export function waitsForCachedImage(task: TaskEntry, now: number, clusterConfig: ClusterConfig): boolean {
  return task.isRelocating && now - task.since < clusterConfig.heartbeatIntervalMs * CACHED_IMAGE_WAIT_INTERVALS;
}

/** Tasks by their jobs, each once. */
class TasksByJob {
  readonly #jobs = new Map<string, Set<TaskEntry>>();

  add(task: TaskEntry): void {
    const tasks = this.#jobs.get(task.job.id);
    if (tasks === undefined) this.#jobs.set(task.job.id, new Set([task]));
    else tasks.add(task);
  }

  lists(): Map<string, TaskEntry[]> {
    return new Map([...this.#jobs].map(([job, tasks]) => [job, [...tasks]]));
  }
}

/**
 * Tasks that can be given back to the leader, by job: those of cancelled jobs that surely run nowhere, those of failing jobs that
 * are no trial, members of a replica group of which the generation ends, and those that have waited a while for room that this partition does not have.
 */
export function returnableTasks(
  table: ClaimView,
  unschedulable: readonly TaskEntry[],
  now: number,
): Map<string, TaskEntry[]> {
  const { heartbeatIntervalMs } = table.clusterConfig;
  const back = new TasksByJob();
  for (const tasksByIndex of table.tasksByJob.values()) {
    for (const task of tasksByIndex.values()) {
      if (task.job.cancelled && (task.state === 'waiting' || task.state === 'finishing')) back.add(task);
      if (task.job.isGroup && task.state === 'waiting' && table.members.mustReturn(task)) back.add(task);
    }
  }
  for (const task of unschedulable) {
    if (task.state === 'waiting' && (now - task.since > heartbeatIntervalMs / 2 || task.isRelocating)) back.add(task);
  }
  for (const job of table.wakes()) {
    const isCrashLooping = table.isCrashLooping(job);
    for (const task of table.waitingTasks(job)) {
      if (isCrashLooping && !table.mayStart(task) && now - task.since > heartbeatIntervalMs) back.add(task);
      const isCached = task.plan?.machine.cache.has(job.spec.image) ?? true;
      if (!isCached && waitsForCachedImage(task, now, table.clusterConfig)) back.add(task);
    }
  }
  return back.lists();
}

/** Whether no limit is set on anything that the job's tasks take. */
function isUnlimited({ spec }: Job, clusterConfig: ClusterConfig): boolean {
  const team = clusterConfig.teams.get(spec.team);
  return team !== undefined && countWithinLimit(team, NO_RESOURCES, spec) === Infinity;
}

/**
 * Completed tasks that are to be written now, by job. Those of a job are written together: at once when no other task
 * of the job is here, for then somebody may wait for its end, or if its team has a limit, of which a completed task
 * holds a part until it is written; otherwise after `patienceMs`. Written as they came, the tasks of large arrays
 * used up the changes that users' submissions waited for. The most urgent jobs come first: with hundreds of one-task jobs of
 * one team ahead of them, all others' waited for the limit on changes. What has waited for a lease goes before.
 */
export function tasksToFinish(
  { tasksByJob: jobs, clusterConfig }: ClaimView,
  now: number,
  patienceMs: number,
): Map<string, TaskEntry[]> {
  const ready: { readonly job: Job; readonly tasks: TaskEntry[]; readonly isOverdue: boolean }[] = [];
  for (const tasksByIndex of jobs.values()) {
    const all = [...tasksByIndex.values()];
    const finished = all.filter((s) => s.state === 'finishing' && !s.job.cancelled);
    if (finished.length === 0) continue;
    const oldest = finished.reduce((least, { since }) => Math.min(least, since), Infinity);
    const mayWait = finished.length < all.length && isUnlimited(finished[0]!.job, clusterConfig);
    if (mayWait && now - oldest < patienceMs) continue;
    ready.push({ job: finished[0]!.job, tasks: finished, isOverdue: now - oldest > clusterConfig.workerLeaseMs });
  }
  ready.sort((a, b) => Number(b.isOverdue) - Number(a.isOverdue) || jobOrder(a.job, b.job));
  return new Map(ready.map(({ job, tasks }) => [job.id, tasks]));
}

/**
 * What the services' tasks add up to that no machine has reported though it should have. While most machines of the
 * partition have yet to find their new owner, that says nothing of any of them: a new leader once asked for 44 machines. If
 * that lasts, their zone is cut off. Room for them is asked for so that it has booted when the partition is cleared: waiting
 * for that first cost a boot more of every long cut, and a short one may be over before.
 */
export function missingServices(table: ClaimView, now: number): Resources {
  const { clusterConfig, machines, unconfirmedMachines, openedAt, fencedUntil } = table;
  if (table.isFencingOver) return NO_RESOURCES;
  const synchronisedMachines = [...machines.values()].filter((m) => m.hasCurrentToken).length;
  if (unconfirmedMachines.size > synchronisedMachines) {
    const bootMs = Math.max(0, ...[...table.types.values()].map(bootMsOf));
    if (now < Math.max(openedAt + clusterConfig.heartbeatIntervalMs * CUT_INTERVALS, fencedUntil - bootMs))
      return NO_RESOURCES;
  }
  let sum = NO_RESOURCES;
  for (const tasksByIndex of table.tasksByJob.values()) {
    for (const { state, job, since } of tasksByIndex.values()) {
      if (state !== 'uncertain' || job.spec.kind !== 'service' || job.cancelled) continue;
      if (now - since > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS) sum = addResources(sum, job.spec);
    }
  }
  return sum;
}

/** How many tasks of each job run in the partition, for display. */
export function runningTasks(table: ClaimView): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [id, tasksByIndex] of table.tasksByJob) {
    let running = 0;
    for (const { claim } of tasksByIndex.values())
      if (claim?.stage === 'running' || claim?.stage === 'saving') running++;
    if (running > 0) counts.set(id, running);
  }
  return counts;
}

/** The rank under which the leader is told of a task: members of replica groups make way for nobody, whatever their priority. */
export function advertisedPriority(job: Job): number {
  return job.isGroup ? 0 : job.effectivePriority;
}

/**
 * What waiting tasks are expected to take of each machine, by rank: they hold nothing yet and give way to more urgent ones.
 * Told as neither free nor theirs, batch work that waited had room rented for services to come.
 */
export function plannedByPriority(claimTable: ClaimView): Map<Machine, Resources[]> {
  const planned = new Map<Machine, Resources[]>();
  for (const job of claimTable.wakes()) {
    for (const { plan } of claimTable.waitingTasks(job)) {
      if (plan === null) continue;
      const byPriority = planned.get(plan.machine) ?? PRIORITIES.map(() => NO_RESOURCES);
      const priority = advertisedPriority(job);
      byPriority[priority] = addResources(byPriority[priority]!, job.spec);
      planned.set(plan.machine, byPriority);
    }
  }
  return planned;
}
