// What follows from a claim table for others, without changing it: which tasks can be given back to the leader, which are to be
// written as finished, what is missing and what runs.
import type { ClaimView } from './claim-view';
import {
  type Resources,
  bootMsOf,
  type ClusterConfig,
  countWithinLimit,
  NO_RESOURCES,
  addResources,
  SUSPECT_INTERVALS,
} from './facts';
import { PRIORITIES } from '@gingerlock/wire';
import { type Job, jobOrder } from './jobs';
import type { Machine, Slot } from './slots';

/** A partition of which most machines have not been heard for so many report intervals after its takeover is cut off. */
const CUT_INTERVALS = 4;

/** A replica that was moved waits for a machine of this partition that has its image for so many report intervals. */
const MOVING_INTERVALS = 2;

/** Whether a replica that was moved waits for a machine here that has its image. */
export function isMovingOn(slot: Slot, now: number, clusterConfig: ClusterConfig): boolean {
  return slot.moving && now - slot.since < clusterConfig.heartbeatIntervalMs * MOVING_INTERVALS;
}

/** Tasks by their jobs, each once. */
class TasksByJob {
  readonly #jobs = new Map<string, Set<Slot>>();

  add(slot: Slot): void {
    const tasks = this.#jobs.get(slot.job.id);
    if (tasks === undefined) this.#jobs.set(slot.job.id, new Set([slot]));
    else tasks.add(slot);
  }

  lists(): Map<string, Slot[]> {
    return new Map([...this.#jobs].map(([job, tasks]) => [job, [...tasks]]));
  }
}

/**
 * Tasks that can be given back to the leader, by job: those of cancelled jobs that surely run nowhere, those of failing jobs that
 * are no trial, members of a replica group of which the generation ends, and those that have waited a while for room that this partition does not have.
 */
export function returnableTasks(table: ClaimView, stuck: readonly Slot[], now: number): Map<string, Slot[]> {
  const { heartbeatIntervalMs } = table.clusterConfig;
  const back = new TasksByJob();
  for (const slots of table.slots.values()) {
    for (const slot of slots.values()) {
      if (slot.job.cancelled && (slot.state === 'waiting' || slot.state === 'finishing')) back.add(slot);
      if (slot.job.isGroup && slot.state === 'waiting' && table.members.mustReturn(slot)) back.add(slot);
    }
  }
  for (const slot of stuck) {
    if (slot.state === 'waiting' && (now - slot.since > heartbeatIntervalMs / 2 || slot.moving)) back.add(slot);
  }
  for (const job of table.wakes()) {
    const isFailing = table.isFailing(job);
    for (const slot of table.waitingSlots(job)) {
      if (isFailing && !table.mayStart(slot) && now - slot.since > heartbeatIntervalMs) back.add(slot);
      const isCached = slot.plan?.machine.cache.has(job.spec.image) ?? true;
      if (!isCached && isMovingOn(slot, now, table.clusterConfig)) back.add(slot);
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
  { slots: jobs, clusterConfig }: ClaimView,
  now: number,
  patienceMs: number,
): Map<string, Slot[]> {
  const ready: { readonly job: Job; readonly slots: Slot[]; readonly isOverdue: boolean }[] = [];
  for (const slots of jobs.values()) {
    const all = [...slots.values()];
    const finished = all.filter((s) => s.state === 'finishing' && !s.job.cancelled);
    if (finished.length === 0) continue;
    const oldest = finished.reduce((least, { since }) => Math.min(least, since), Infinity);
    const mayWait = finished.length < all.length && isUnlimited(finished[0]!.job, clusterConfig);
    if (mayWait && now - oldest < patienceMs) continue;
    ready.push({ job: finished[0]!.job, slots: finished, isOverdue: now - oldest > clusterConfig.workerLeaseMs });
  }
  ready.sort((a, b) => Number(b.isOverdue) - Number(a.isOverdue) || jobOrder(a.job, b.job));
  return new Map(ready.map(({ job, slots }) => [job.id, slots]));
}

/**
 * What the services' tasks add up to that no machine has reported though it should have. While most machines of the
 * partition have yet to find their new owner, that says nothing of any of them: a new leader once asked for 44 machines. If
 * that lasts, their zone is cut off. Room for them is asked for so that it has booted when the partition is cleared: waiting
 * for that first cost a boot more of every long cut, and a short one may be over before.
 */
export function missingServices(table: ClaimView, now: number): Resources {
  const { clusterConfig, machines, unheard, openedAt, fencedUntil } = table;
  if (table.cleared) return NO_RESOURCES;
  const synchronised = [...machines.values()].filter((m) => m.synchronised).length;
  if (unheard.size > synchronised) {
    const bootMs = Math.max(0, ...[...table.types.values()].map(bootMsOf));
    if (now < Math.max(openedAt + clusterConfig.heartbeatIntervalMs * CUT_INTERVALS, fencedUntil - bootMs))
      return NO_RESOURCES;
  }
  let sum = NO_RESOURCES;
  for (const slots of table.slots.values()) {
    for (const { state, job, since } of slots.values()) {
      if (state !== 'uncertain' || job.spec.kind !== 'service' || job.cancelled) continue;
      if (now - since > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS) sum = addResources(sum, job.spec);
    }
  }
  return sum;
}

/** How many tasks of each job run in the partition, for display. */
export function runningTasks(table: ClaimView): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [id, slots] of table.slots) {
    let running = 0;
    for (const { claim } of slots.values()) if (claim?.stage === 'running' || claim?.stage === 'saving') running++;
    if (running > 0) counts.set(id, running);
  }
  return counts;
}

/** The rank under which the leader is told of a task: members of replica groups make way for nobody, whatever their priority. */
export function toldRank(job: Job): number {
  return job.isGroup ? 0 : job.rank;
}

/**
 * What waiting tasks are expected to take of each machine, by rank: they hold nothing yet and give way to more urgent ones.
 * Told as neither free nor theirs, batch work that waited had room rented for services to come.
 */
export function plannedByRank(claimTable: ClaimView): Map<Machine, Resources[]> {
  const planned = new Map<Machine, Resources[]>();
  for (const job of claimTable.wakes()) {
    for (const { plan } of claimTable.waitingSlots(job)) {
      if (plan === null) continue;
      const byRank = planned.get(plan.machine) ?? PRIORITIES.map(() => NO_RESOURCES);
      const rank = toldRank(job);
      byRank[rank] = addResources(byRank[rank]!, job.spec);
      planned.set(plan.machine, byRank);
    }
  }
  return planned;
}
