/**
 * What follows from a claim table for others, without changing it: which tasks can be returned to the leader, which are
 * to be written as finished, what is missing and what runs.
 */
import type { ClaimView } from './claim-view';
import { type Resources, NO_RESOURCES, addResources } from '../cluster/resources';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import { countWithinLimit } from '../cluster/quota';
import { PRIORITIES } from '@gingerlock/wire';
import { type Job, jobOrder } from '../jobs/jobs';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/**
 * A partition counts as cut off if most of its machines have been silent for so many heartbeat intervals since its
 * acquisition.
 */
const CUT_OFF_INTERVALS = 4;

/** A relocated replica waits for a machine of this partition that has its image for so many heartbeat intervals. */
const CACHED_IMAGE_WAIT_INTERVALS = 2;

/** Whether a relocated replica still waits for a machine of this partition that has its image. */
export function waitsForCachedImage(task: TaskEntry, now: number, clusterConfig: ClusterConfig): boolean {
  return task.isRelocating && now - task.since < clusterConfig.heartbeatIntervalMs * CACHED_IMAGE_WAIT_INTERVALS;
}

/** Tasks by their jobs, each once. */
class TasksByJob {
  /** By job id. */
  readonly #tasksByJob = new Map<string, Set<TaskEntry>>();

  add(task: TaskEntry): void {
    const tasks = this.#tasksByJob.get(task.job.id);
    if (tasks === undefined) this.#tasksByJob.set(task.job.id, new Set([task]));
    else tasks.add(task);
  }

  lists(): Map<string, TaskEntry[]> {
    return new Map([...this.#tasksByJob].map(([jobId, tasks]) => [jobId, [...tasks]]));
  }
}

/**
 * Tasks that can be returned to the leader, by job: those of cancelled jobs that surely run nowhere, those of
 * crash-looping jobs that are no probe, members of a replica group whose generation ends, and those that have waited a
 * while for resources that this partition does not have. `unschedulable`: the waiting tasks that the last planning
 * found no machine for.
 */
export function returnableTasks(
  table: ClaimView,
  unschedulable: readonly TaskEntry[],
  now: number,
): Map<string, TaskEntry[]> {
  const { heartbeatIntervalMs } = table.clusterConfig;
  const returnable = new TasksByJob();
  for (const tasksByIndex of table.tasksByJob.values()) {
    for (const task of tasksByIndex.values()) {
      if (task.job.isCancelled && (task.state === 'waiting' || task.state === 'finishing')) returnable.add(task);
      if (task.job.isGroup && task.state === 'waiting' && table.members.mustReturn(task)) returnable.add(task);
    }
  }
  for (const task of unschedulable) {
    if (task.state === 'waiting' && (now - task.since > heartbeatIntervalMs / 2 || task.isRelocating))
      returnable.add(task);
  }
  for (const job of table.wakes()) {
    const isCrashLooping = table.isCrashLooping(job);
    for (const task of table.waitingTasks(job)) {
      if (isCrashLooping && !table.mayStart(task) && now - task.since > heartbeatIntervalMs) returnable.add(task);
      const isCached = task.plan?.machine.cache.has(job.spec.image) ?? true;
      if (!isCached && waitsForCachedImage(task, now, table.clusterConfig)) returnable.add(task);
    }
  }
  return returnable.lists();
}

/** Whether the job's team has no limit on anything that its tasks use. */
function isUnlimited({ spec }: Job, clusterConfig: ClusterConfig): boolean {
  const team = clusterConfig.teams.get(spec.team);
  return team !== undefined && countWithinLimit(team, NO_RESOURCES, spec) === Infinity;
}

/**
 * Completed tasks that are to be written now, by job. Those of a job are written together: at once when no other task
 * of the job is here, for then a user may wait for its end, or if its team has a limit, against which a completed task
 * counts until it is written; otherwise after `patienceMs`. Writing each as it comes would let large arrays use up the
 * store's write rate, on which users' submissions depend. What has waited for a worker lease goes first; then the most
 * urgent jobs, lest hundreds of one-task jobs of one team hold up all others.
 */
export function tasksToFinish(
  { tasksByJob, clusterConfig }: ClaimView,
  now: number,
  patienceMs: number,
): Map<string, TaskEntry[]> {
  const ready: { readonly job: Job; readonly tasks: TaskEntry[]; readonly isOverdue: boolean }[] = [];
  for (const tasksByIndex of tasksByJob.values()) {
    const all = [...tasksByIndex.values()];
    const finished = all.filter(({ state, job }) => state === 'finishing' && !job.isCancelled);
    if (finished.length === 0) continue;
    const oldestFinishedAt = finished.reduce((earliest, { since }) => Math.min(earliest, since), Infinity);
    const mayWait = finished.length < all.length && isUnlimited(finished[0]!.job, clusterConfig);
    if (mayWait && now - oldestFinishedAt < patienceMs) continue;
    ready.push({
      job: finished[0]!.job,
      tasks: finished,
      isOverdue: now - oldestFinishedAt > clusterConfig.workerLeaseMs,
    });
  }
  ready.sort((a, b) => Number(b.isOverdue) - Number(a.isOverdue) || jobOrder(a.job, b.job));
  return new Map(ready.map(({ job, tasks }) => [job.id, tasks]));
}

/**
 * The resources of services' tasks that no machine has reported though it should have. While most machines of the
 * partition have yet to find their new owner, a missing report says nothing of any of them, and asking for machines
 * would ask for far too many. If that lasts, their zone is cut off: resources are asked for early enough that machines
 * have booted when the fencing period ends, and not sooner, for a short cut may be over before.
 */
export function missingServices(table: ClaimView, now: number): Resources {
  const { clusterConfig, machines, unconfirmedMachines, openedAt, fencedUntil } = table;
  if (table.isFencingOver) return NO_RESOURCES;
  const confirmedMachines = [...machines.values()].filter((machine) => machine.hasCurrentToken).length;
  if (unconfirmedMachines.size > confirmedMachines) {
    const bootMs = Math.max(0, ...[...table.types.values()].map(bootMsOf));
    const cutOffAt = openedAt + clusterConfig.heartbeatIntervalMs * CUT_OFF_INTERVALS;
    if (now < Math.max(cutOffAt, fencedUntil - bootMs)) return NO_RESOURCES;
  }
  let missing = NO_RESOURCES;
  for (const tasksByIndex of table.tasksByJob.values()) {
    for (const { state, job, since } of tasksByIndex.values()) {
      if (state !== 'uncertain' || job.spec.kind !== 'service' || job.isCancelled) continue;
      if (now - since > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS) {
        missing = addResources(missing, job.spec);
      }
    }
  }
  return missing;
}

/** How many tasks of each job run in the partition, by job id; for display. */
export function runningTasks(table: ClaimView): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [id, tasksByIndex] of table.tasksByJob) {
    let running = 0;
    for (const { claim } of tasksByIndex.values()) {
      if (claim?.stage === 'running' || claim?.stage === 'saving') running++;
    }
    if (running > 0) counts.set(id, running);
  }
  return counts;
}

/**
 * The priority class under which the leader receives a job's tasks: members of replica groups are preempted for
 * nothing, whatever their own.
 */
export function advertisedPriority(job: Job): number {
  return job.isGroup ? 0 : job.effectivePriority;
}

/**
 * What waiting tasks are expected to use of each machine, by priority class: they hold nothing yet and give way to more
 * urgent ones. Reported neither as free nor under their own class, these resources would look taken, and waiting batch
 * work would have machines rented for services to come.
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
