// Which tasks of one machine are stopped for a task of another team or of higher priority, and what that costs.
import { type Resources, fitsIn, type Job, NO_RESOURCES, addResources, subtractResources } from '@gingerlock/core';
import { PRIORITIES } from '@gingerlock/wire';
import { type Accounts, canSpare, isWithinGuarantee } from './accounts';
import type { HeldTask } from './claims';
import { saveGraceS } from './settings';

/** A start counts for the users if nothing stops the task within 30 s, says the protocol: younger ones go last. */
const SETTLED_MS = 30_000;

/** Replicas of services of this rank are stopped for nobody. */
const PRODUCTION_PRIORITY = PRIORITIES.indexOf('production');

/** Why a task may be stopped: for work of higher priority, or to give a team its guarantee. */
export type ReclaimReason = 'priority' | 'guarantee';

/** A task that a machine holds, with its job. */
export interface Candidate {
  readonly held: HeldTask;
  readonly job: Job;
}

/** What stopping some tasks costs, the worst first: replicas, tasks that have just started, work in seconds of accelerators. */
export interface Loss {
  readonly replicas: number;
  readonly young: number;
  readonly work: number;
  readonly tasks: number;
}

export const NO_LOSS: Loss = { replicas: 0, young: 0, work: 0, tasks: 0 };

/** Less than 0: the first loss is the smaller one. */
export function compareLoss(a: Loss, b: Loss): number {
  return a.replicas - b.replicas || a.young - b.young || a.work - b.work || a.tasks - b.tasks;
}

export function addLoss(a: Loss, b: Loss): Loss {
  return {
    replicas: a.replicas + b.replicas,
    young: a.young + b.young,
    work: a.work + b.work,
    tasks: a.tasks + b.tasks,
  };
}

/** Work that is done again after the task is stopped, in seconds of what it takes of the machine. */
function lostWork({ held, job: { spec } }: Candidate): number {
  const size = Math.max(spec.gpus, spec.cpus / 1000);
  const runS = held.runMs / 1000;
  // It saves when it is stopped, and what saving takes is all that is lost.
  const lostS = spec.checkpointS > 0 ? Math.min(runS, saveGraceS(spec)) : runS;
  return lostS * size;
}

function lossOf(candidate: Candidate): Loss {
  const isReplica = candidate.job.spec.kind === 'service';
  const isYoung = candidate.held.stage === 'running' && candidate.held.runMs < SETTLED_MS;
  return { replicas: isReplica ? 1 : 0, young: isYoung ? 1 : 0, work: lostWork(candidate), tasks: 1 };
}

/** Why the job may have the candidate stopped, or null: it may not. See PROTOCOL, "Preemption", and docs/borrowing-design.md. */
export function reasonToStop(job: Job, victim: Job, accounts: Accounts): ReclaimReason | null {
  if (isProtectedReplica(job, victim)) return null;
  if (victim.effectivePriority > job.ownPriority) return 'priority';
  if (victim.spec.team === job.spec.team) return null;
  const account = accounts.of(job.spec.team);
  return account !== undefined && isWithinGuarantee(account, job.spec) ? 'guarantee' : null;
}

/** A surge of one service costs none of higher priority a replica, and production replicas make way for nobody. */
function isProtectedReplica(job: Job, victim: Job): boolean {
  if (victim.isGroup) return true;
  if (victim.spec.kind !== 'service') return false;
  return (
    victim.ownPriority === PRODUCTION_PRIORITY ||
    (job.spec.kind === 'service' && victim.effectivePriority < job.ownPriority)
  );
}

/** Whether the victim's team has its guarantee without this and what else is stopped of it here. Stopping for one's own team is its affair. */
function isSpared(job: Job, victim: Job, stopped: ReadonlyMap<string, Resources>, accounts: Accounts): boolean {
  const { team } = victim.spec;
  if (team === job.spec.team) return true;
  const account = accounts.of(team);
  // A team that is gone from the settings: what it has goes on.
  if (account === undefined) return false;
  return canSpare(account, addResources(stopped.get(team) ?? NO_RESOURCES, victim.spec));
}

export interface VictimChoice {
  readonly victims: readonly Candidate[];
  readonly reason: ReclaimReason | null;
  readonly loss: Loss;
  /** The longest that one of them may save. */
  readonly graceS: number;
}

/** Tasks that may be stopped at all: they run or fetch, and nothing stops them already. */
export function isStoppable({ held, job }: Candidate): boolean {
  return !held.stopping && !job.cancelled && (held.stage === 'running' || held.stage === 'fetching');
}

/**
 * The tasks to stop so that `need` fits where `free` is left: replicas only when batch work does not do, then the least lost work, then the
 * fewest. Null: what may be stopped is not enough.
 */
export function chooseVictims(
  job: Job,
  need: Resources,
  free: Resources,
  candidates: readonly Candidate[],
  accounts: Accounts,
): VictimChoice | null {
  const order = candidates
    .filter((candidate) => isStoppable(candidate) && reasonToStop(job, candidate.job, accounts) !== null)
    .map((candidate) => ({ candidate, loss: lossOf(candidate) }))
    .sort(
      (a, b) => compareLoss(a.loss, b.loss) || b.candidate.job.effectivePriority - a.candidate.job.effectivePriority,
    );
  const chosen: Candidate[] = [];
  const stopped = new Map<string, Resources>();
  let available = free;
  for (const { candidate } of order) {
    if (fitsIn(need, available)) break;
    if (!isSpared(job, candidate.job, stopped, accounts)) continue;
    const { spec } = candidate.job;
    chosen.push(candidate);
    stopped.set(spec.team, addResources(stopped.get(spec.team) ?? NO_RESOURCES, spec));
    available = addResources(available, spec);
  }
  if (!fitsIn(need, available)) return null;
  return describe(job, withoutNeedless(chosen, need, available), accounts);
}

/** Leaves out what was taken before a larger task made it needless, the costliest first. */
function withoutNeedless(chosen: readonly Candidate[], need: Resources, available: Resources): Candidate[] {
  let left = available;
  const kept: Candidate[] = [];
  for (const candidate of [...chosen].reverse()) {
    const without = subtractResources(left, candidate.job.spec);
    if (fitsIn(need, without)) left = without;
    else kept.push(candidate);
  }
  return kept.reverse();
}

function describe(job: Job, victims: readonly Candidate[], accounts: Accounts): VictimChoice {
  const reasons = victims.map((victim) => reasonToStop(job, victim.job, accounts));
  return {
    victims,
    reason: reasons.includes('guarantee') ? 'guarantee' : (reasons[0] ?? null),
    loss: victims.map(lossOf).reduce(addLoss, NO_LOSS),
    graceS: Math.max(0, ...victims.map((victim) => saveGraceS(victim.job.spec))),
  };
}
