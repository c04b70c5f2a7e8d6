// Victims of a reclaim: which tasks of one machine are preempted for a task of another team or of higher priority, and
// what that costs.
import { type Resources, fitsIn, type Job, NO_RESOURCES, addResources, subtractResources } from '@gingerlock/core';
import { PRIORITIES } from '@gingerlock/wire';
import { type Accounts, keepsGuaranteeWithout, isWithinGuarantee } from './accounts';
import type { HeldTask } from './claims';
import { saveGraceS } from './settings';

/**
 * A start counts for users only if nothing stops the task within 30 s (PROTOCOL): tasks that have run for less are
 * preempted last.
 */
const COUNTED_START_MS = 30_000;

/** Replicas of services of this priority are never preempted. */
const PRODUCTION_PRIORITY = PRIORITIES.indexOf('production');

/** Why a task may be preempted: for work of higher priority, or to give a team its guarantee. */
export type ReclaimReason = 'priority' | 'guarantee';

/** A task that a machine holds, with its job: it may be preempted if `isStoppable` and `reasonToStop` say so. */
export interface Candidate {
  readonly held: HeldTask;
  readonly job: Job;
}

/** What preempting some tasks costs. The figures are compared one after the other, in this order. */
export interface Loss {
  /** Replicas of services. */
  readonly replicas: number;
  /** Tasks whose start would not count for users; see `COUNTED_START_MS`. */
  readonly young: number;
  /** Work that has to be done again, in GPU seconds. */
  readonly work: number;
  /** All tasks. */
  readonly tasks: number;
}

/** The loss of preempting nothing. */
export const NO_LOSS: Loss = { replicas: 0, young: 0, work: 0, tasks: 0 };

/** Compares as functions for `sort` do: less than 0 if `a` is the smaller loss. */
export function compareLoss(a: Loss, b: Loss): number {
  return a.replicas - b.replicas || a.young - b.young || a.work - b.work || a.tasks - b.tasks;
}

/** The loss of preempting both. */
export function addLoss(a: Loss, b: Loss): Loss {
  return {
    replicas: a.replicas + b.replicas,
    young: a.young + b.young,
    work: a.work + b.work,
    tasks: a.tasks + b.tasks,
  };
}

/**
 * Work that has to be done again if the task is preempted, in GPU seconds; tasks without GPUs count a little by their
 * CPUs.
 */
function lostWork({ held, job: { spec } }: Candidate): number {
  const size = Math.max(spec.gpus, spec.cpus / 1000);
  const runS = held.runMs / 1000;
  // A task with checkpoints saves when it is stopped: only the time that saving takes is lost.
  const lostS = spec.checkpointS > 0 ? Math.min(runS, saveGraceS(spec)) : runS;
  return lostS * size;
}

function lossOf(candidate: Candidate): Loss {
  const isReplica = candidate.job.spec.kind === 'service';
  const isYoung = candidate.held.stage === 'running' && candidate.held.runMs < COUNTED_START_MS;
  return { replicas: isReplica ? 1 : 0, young: isYoung ? 1 : 0, work: lostWork(candidate), tasks: 1 };
}

/**
 * Why a task of `victim` may be preempted for `job`; null: it may not. See PROTOCOL, "Preemption", and
 * docs/borrowing-design.md.
 */
export function reasonToStop(job: Job, victim: Job, accounts: Accounts): ReclaimReason | null {
  if (isProtectedReplica(job, victim)) return null;
  if (victim.effectivePriority > job.ownPriority) return 'priority';
  if (victim.spec.team === job.spec.team) return null;
  const account = accounts.of(job.spec.team);
  return account !== undefined && isWithinGuarantee(account, job.spec) ? 'guarantee' : null;
}

/**
 * Members of replica groups and replicas of production services are never preempted, and replicas of other services not
 * for a service of lower priority.
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
 * Whether the victim's team keeps its guarantee without this task and what else is preempted of it here. Within one
 * team, priority alone decides.
 * @param stopped by team: what is preempted already
 */
function mayLose(victim: Job, job: Job, stopped: ReadonlyMap<string, Resources>, accounts: Accounts): boolean {
  const { team } = victim.spec;
  if (team === job.spec.team) return true;
  const account = accounts.of(team);
  // The tasks of a team that is gone from the settings are left alone.
  if (account === undefined) return false;
  return keepsGuaranteeWithout(account, addResources(stopped.get(team) ?? NO_RESOURCES, victim.spec));
}

/** The victims for one task, and what they cost. */
export interface VictimChoice {
  readonly victims: readonly Candidate[];
  /** Null: there are no victims, as the task fits without. */
  readonly reason: ReclaimReason | null;
  readonly loss: Loss;
  /** The longest time that one of them gets to save, in seconds. */
  readonly graceS: number;
}

/** Whether the task may be preempted at all: it runs or fetches its image, and nothing stops it already. */
export function isStoppable({ held, job }: Candidate): boolean {
  return !held.stopping && !job.isCancelled && (held.stage === 'running' || held.stage === 'fetching');
}

/**
 * The tasks to preempt so that `need` fits into what they leave and `free`: replicas only if batch work is not enough,
 * then the least lost work, then the fewest. Null: what may be preempted is not enough.
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
    if (!mayLose(candidate.job, job, stopped, accounts)) continue;
    const { spec } = candidate.job;
    chosen.push(candidate);
    stopped.set(spec.team, addResources(stopped.get(spec.team) ?? NO_RESOURCES, spec));
    available = addResources(available, spec);
  }
  if (!fitsIn(need, available)) return null;
  return choiceOf(job, withoutUnneeded(chosen, need, available), accounts);
}

/** Leaves out victims that a later, larger one has made unnecessary, the costliest first. */
function withoutUnneeded(chosen: readonly Candidate[], need: Resources, available: Resources): Candidate[] {
  let remaining = available;
  const needed: Candidate[] = [];
  for (const candidate of [...chosen].reverse()) {
    const without = subtractResources(remaining, candidate.job.spec);
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
