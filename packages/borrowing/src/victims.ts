// Chooses the victims of a reclaim: the tasks of one machine to preempt for a task of another team or of higher
// priority, and the cost of that.
import { type Resources, fitsIn, type Job, NO_RESOURCES, addResources, subtractResources } from '@gingerlock/core';
import { PRIORITIES } from '@gingerlock/wire';
import { type Accounts, keepsGuaranteeWithout, isWithinGuarantee } from './accounts';
import type { HeldTask } from './claims';
import { saveGraceS } from './settings';

/**
 * A start counts for users only if the task is not stopped within 30 s (PROTOCOL). So tasks that have run for less are
 * preempted last, among batch tasks and among replicas.
 */
const MIN_COUNTED_RUN_MS = 30_000;

/** Replicas of services of this priority are never preempted. */
const PRODUCTION_PRIORITY = PRIORITIES.indexOf('production');

/** Why a task may be preempted: for work of higher priority, or to give a team its guarantee. */
export type ReclaimReason = 'priority' | 'guarantee';

/** A task that a machine holds, and its job. `isStoppable` and `reasonToStop` tell whether it may be preempted. */
export interface Candidate {
  readonly held: HeldTask;
  readonly job: Job;
}

/** The cost of preempting some tasks. `compareLoss` compares the fields in this order. */
export interface Loss {
  /** Number of replicas of services. */
  readonly replicas: number;
  /** Number of tasks that have run for less than `MIN_COUNTED_RUN_MS`. */
  readonly recentStarts: number;
  /** Work that has to be repeated, in GPU seconds. */
  readonly work: number;
  /** Number of tasks. */
  readonly tasks: number;
}

/** The loss of preempting nothing. */
export const NO_LOSS: Loss = { replicas: 0, recentStarts: 0, work: 0, tasks: 0 };

/** Comparator for `sort`: less than 0 if `a` is the smaller loss. */
export function compareLoss(a: Loss, b: Loss): number {
  return a.replicas - b.replicas || a.recentStarts - b.recentStarts || a.work - b.work || a.tasks - b.tasks;
}

/** The sum of two losses. */
export function addLoss(a: Loss, b: Loss): Loss {
  return {
    replicas: a.replicas + b.replicas,
    recentStarts: a.recentStarts + b.recentStarts,
    work: a.work + b.work,
    tasks: a.tasks + b.tasks,
  };
}

/**
 * Work that has to be repeated if the task is preempted, in GPU seconds. A task counts with its GPUs, or with a
 * thousandth of its CPUs if that is more.
 */
function lostWork({ held, job: { spec } }: Candidate): number {
  const size = Math.max(spec.gpus, spec.cpus / 1000);
  const runS = held.runMs / 1000;
  // A task with checkpoints saves when it is stopped, so it loses only the time that saving takes.
  const lostS = spec.checkpointS > 0 ? Math.min(runS, saveGraceS(spec)) : runS;
  return lostS * size;
}

function lossOf(candidate: Candidate): Loss {
  const isReplica = candidate.job.spec.kind === 'service';
  const isRecentStart = candidate.held.stage === 'running' && candidate.held.runMs < MIN_COUNTED_RUN_MS;
  return { replicas: isReplica ? 1 : 0, recentStarts: isRecentStart ? 1 : 0, work: lostWork(candidate), tasks: 1 };
}

/**
 * Why a task of `victim` may be preempted for `job`; null if it may not. See PROTOCOL, "Preemption", and
 * docs/borrowing-design.md.
 */
export function reasonToStop(job: Job, victim: Job, accounts: Accounts): ReclaimReason | null {
  if (isProtectedReplica(job, victim)) return null;
  if (victim.effectivePriority > job.ownPriority) return 'priority';
  if (victim.spec.team === job.spec.team) return null;
  const account = accounts.of(job.spec.team);
  return account !== undefined && isWithinGuarantee(account, job.need) ? 'guarantee' : null;
}

/**
 * Whether preemption of `victim` for `job` is ruled out: members of replica groups and replicas of production services
 * are never preempted, and replicas of other services are not preempted for a service of lower priority.
 */
function isProtectedReplica(job: Job, victim: Job): boolean {
  if (victim.isGroup) return true;
  if (victim.spec.kind !== 'service') return false;
  return (
    victim.ownPriority === PRODUCTION_PRIORITY ||
    (job.spec.kind === 'service' && victim.effectivePriority < job.ownPriority)
  );
}

/**
 * Whether the guarantee of the victim's team allows the preemption of this task. Within one team, only priority counts.
 * @param stopped by team: resources of the victims chosen before
 */
function isAllowedByGuarantee(
  victim: Job,
  job: Job,
  stopped: ReadonlyMap<string, Resources>,
  accounts: Accounts,
): boolean {
  const { team } = victim.spec;
  if (team === job.spec.team) return true;
  const account = accounts.of(team);
  // The guarantee of a team that is not in the settings is unknown, so its tasks are not preempted.
  if (account === undefined) return false;
  return keepsGuaranteeWithout(account, addResources(stopped.get(team) ?? NO_RESOURCES, victim.need));
}

/** The victims for one task, and the cost of preempting them. */
export interface VictimChoice {
  readonly victims: readonly Candidate[];
  /** Null if there are no victims because the task fits without preemption. */
  readonly reason: ReclaimReason | null;
  readonly loss: Loss;
  /** The longest time that any victim gets to save, in seconds. */
  readonly graceS: number;
}

/** Whether the task may be preempted at all: it runs or fetches its image, and is not being stopped. */
export function isStoppable({ held, job }: Candidate): boolean {
  return !held.stopping && !job.isCancelled && (held.stage === 'running' || held.stage === 'fetching');
}

/**
 * Chooses the tasks to preempt so that `need` fits into `free` and what they use. Candidates are taken in the order of
 * `compareLoss`; among equals, the least urgent first. Null if preempting all that may be preempted is not enough.
 */
export function chooseVictims(
  job: Job,
  need: Resources,
  free: Resources,
  candidates: readonly Candidate[],
  accounts: Accounts,
): VictimChoice | null {
  const byLoss = candidates
    .filter((candidate) => isStoppable(candidate) && reasonToStop(job, candidate.job, accounts) !== null)
    .map((candidate) => ({ candidate, loss: lossOf(candidate) }))
    .sort(
      (a, b) => compareLoss(a.loss, b.loss) || b.candidate.job.effectivePriority - a.candidate.job.effectivePriority,
    );
  const chosen: Candidate[] = [];
  const stopped = new Map<string, Resources>();
  let available = free;
  for (const { candidate } of byLoss) {
    if (fitsIn(need, available)) break;
    if (!isAllowedByGuarantee(candidate.job, job, stopped, accounts)) continue;
    const { spec, need: freed } = candidate.job;
    chosen.push(candidate);
    stopped.set(spec.team, addResources(stopped.get(spec.team) ?? NO_RESOURCES, freed));
    available = addResources(available, freed);
  }
  if (!fitsIn(need, available)) return null;
  return choiceOf(job, withoutUnneeded(chosen, need, available), accounts);
}

/** Removes victims that are not needed because larger ones were chosen after them, the costliest first. */
function withoutUnneeded(chosen: readonly Candidate[], need: Resources, available: Resources): Candidate[] {
  let remaining = available;
  const needed: Candidate[] = [];
  for (const candidate of [...chosen].reverse()) {
    const without = subtractResources(remaining, candidate.job.need);
    if (fitsIn(need, without)) remaining = without;
    else needed.push(candidate);
  }
  return needed.reverse();
}

function choiceOf(job: Job, victims: readonly Candidate[], accounts: Accounts): VictimChoice {
  const reasons = victims.map((victim) => reasonToStop(job, victim.job, accounts));
  return {
    victims,
    reason: reasons.includes('guarantee') ? 'guarantee' : (reasons[0] ?? null),
    loss: victims.map(lossOf).reduce(addLoss, NO_LOSS),
    graceS: Math.max(0, ...victims.map((victim) => saveGraceS(victim.job.spec))),
  };
}
