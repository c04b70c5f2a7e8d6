/**
 * Read-only queries on a claim table: which tasks can be returned to the leader, which completions are to be written,
 * which resources are missing, and which tasks run.
 */
import { PRIORITIES } from '@gingerlock/wire';
import { countWithinLimit } from '../cluster/quota';
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type Resources, NO_RESOURCES, addResources } from '../cluster/resources';
import { type Job, jobOrder } from '../jobs/jobs';
import type { ClaimView } from './claim-view';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/**
 * A partition counts as cut off if most of its machines are still unconfirmed this many heartbeat intervals after its
 * acquisition.
 */
const CUT_OFF_INTERVALS = 4;

/** How many heartbeat intervals a relocated replica waits for a machine of this partition that has its image. */
const CACHED_IMAGE_WAIT_INTERVALS = 2;

/** Whether a relocated replica still waits for a machine of this partition that has its image. */
export function waitsForCachedImage(task: TaskEntry, now: number, clusterConfig: ClusterConfig): boolean {
  return task.isRelocating && now - task.since < clusterConfig.heartbeatIntervalMs * CACHED_IMAGE_WAIT_INTERVALS;
}

/** Groups tasks by job, each task once. */
class TasksByJob {
  /** By job id. */
  readonly #tasksByJob = new Map<string, Set<TaskEntry>>();

  add(task: TaskEntry): void {
    const tasks = this.#tasksByJob.get(task.job.id);
    if (tasks === undefined) this.#tasksByJob.set(task.job.id, new Set([task]));
    else tasks.add(task);
  }

  toMap(): Map<string, TaskEntry[]> {
    return new Map([...this.#tasksByJob].map(([jobId, tasks]) => [jobId, [...tasks]]));
  }
}

/**
 * Returns the tasks that can be returned to the leader, by job id: tasks of cancelled jobs that certainly run nowhere,
 * tasks of crash-looping jobs except a probe, members of a replica group whose generation ends, relocated replicas that
 * are planned on a machine without their image, and tasks that have waited a while for resources that this partition
 * does not have. `unschedulable`: the waiting tasks for which the last planning found no machine.
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
  return returnable.toMap();
}

/** Whether the job's team has no limit on any resource that its tasks use. */
function isUnlimited({ spec, need }: Job, clusterConfig: ClusterConfig): boolean {
  const team = clusterConfig.teams.get(spec.team);
  return team !== undefined && countWithinLimit(team, NO_RESOURCES, need) === Infinity;
}

/**
 * Returns the completed tasks whose completion is to be written now, by job id. The completions of a job are collected
 * for up to `maxDelayMs` and written together, because writing each separately would let large arrays use up the
 * store's write rate, on which users' submissions depend. They are written at once if the partition has no other task
 * of the job, because a user may be waiting for the job to end, or if the team has a limit, because a completed task
 * counts against the limit until it is written. Jobs with a completion older than a worker lease come first, then the
 * most urgent jobs, so that hundreds of one-task jobs of one team do not delay all others.
 */
export function tasksToFinish(
  { tasksByJob, clusterConfig }: ClaimView,
  now: number,
  maxDelayMs: number,
): Map<string, TaskEntry[]> {
  const ready: { readonly job: Job; readonly tasks: TaskEntry[]; readonly isOverdue: boolean }[] = [];
  for (const tasksByIndex of tasksByJob.values()) {
    const all = [...tasksByIndex.values()];
    const finished = all.filter(({ state, job }) => state === 'finishing' && !job.isCancelled);
    if (finished.length === 0) continue;
    const oldestFinishedAt = finished.reduce((earliest, { since }) => Math.min(earliest, since), Infinity);
    const mayWait = finished.length < all.length && isUnlimited(finished[0]!.job, clusterConfig);
    if (mayWait && now - oldestFinishedAt < maxDelayMs) continue;
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
 * The resources of service tasks that no machine has reported though it should have. While most machines of the
 * partition are unconfirmed, a missing report says nothing about a task, and counting these tasks would request far too
 * many machines. If this lasts, the partition is cut off: its tasks count as missing early enough that new machines
 * have booted when the fencing period ends, and no earlier, because a short outage may end before.
 */
export function missingServiceResources(table: ClaimView, now: number): Resources {
  const { clusterConfig, machines, unconfirmedMachines, acquiredAt, fencedUntil } = table;
  if (table.isFencingOver) return NO_RESOURCES;
  const confirmedMachines = [...machines.values()].filter((machine) => machine.hasCurrentToken).length;
  if (unconfirmedMachines.size > confirmedMachines) {
    const bootMs = Math.max(0, ...[...table.types.values()].map(bootMsOf));
    const cutOffAt = acquiredAt + clusterConfig.heartbeatIntervalMs * CUT_OFF_INTERVALS;
    if (now < Math.max(cutOffAt, fencedUntil - bootMs)) return NO_RESOURCES;
  }
  let missing = NO_RESOURCES;
  for (const tasksByIndex of table.tasksByJob.values()) {
    for (const { state, job, since } of tasksByIndex.values()) {
      if (state !== 'uncertain' || job.spec.kind !== 'service' || job.isCancelled) continue;
      if (now - since > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS) {
        missing = addResources(missing, job.need);
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
 * The priority class under which the job's tasks are reported to the leader: for members of replica groups the highest
 * one, because they are never preempted.
 */
export function advertisedPriority(job: Job): number {
  return job.isGroup ? 0 : job.effectivePriority;
}

/**
 * The resources that waiting tasks are expected to use on each machine, by priority class. These tasks hold nothing
 * yet and give way to more urgent ones. If their resources were reported neither as free nor under their class, they
 * would look taken, and waiting batch tasks would cause machines to be rented for future services.
 */
export function plannedByPriority(claimTable: ClaimView): Map<Machine, Resources[]> {
  const planned = new Map<Machine, Resources[]>();
  for (const job of claimTable.wakes()) {
    for (const { plan } of claimTable.waitingTasks(job)) {
      if (plan === null) continue;
      const byPriority = planned.get(plan.machine) ?? PRIORITIES.map(() => NO_RESOURCES);
      const priority = advertisedPriority(job);
      byPriority[priority] = addResources(byPriority[priority]!, job.need);
      planned.set(plan.machine, byPriority);
    }
  }
  return planned;
}
