// What each team uses, lends and borrows, in cores and accelerators.
import {
  type Resources,
  type ClusterConfig,
  countWithinGuarantee,
  hasNoGuarantee,
  type Job,
  NO_RESOURCES,
  addResources,
  type Team,
  teamUse,
  subtractResources,
} from '@gingerlock/core';
import { parseTaskName } from '@gingerlock/wire';
import type { PartitionClaims } from './claims';

/** Sums of decimal amounts are compared with this much slack. */
const EPSILON = 1e-6;

/** How one team stands. */
export interface TeamAccount {
  readonly team: Team;
  /** What surely runs and will not be stopped by a reclaim that is decided. */
  readonly low: Resources;
  /** What may run: all tasks that are assigned and not finished. */
  readonly high: Resources;
  /** What its tasks that have no room would use besides, within its limit. */
  readonly waiting: Resources;
}

/** The kinds of amounts of which teams are guaranteed something. */
export const KINDS = ['cpus', 'gpus'] as const;
export type Kind = (typeof KINDS)[number];

/** What the team uses beyond its guarantee, or 0. Counted from below. */
export function borrowed({ team, low }: TeamAccount, kind: Kind): number {
  return team[kind] > 0 ? Math.max(0, low[kind] - team[kind]) : hasNoGuarantee(team) ? low[kind] : 0;
}

/** What of its guarantee the team leaves to others. Counted from above. */
export function lent({ team, high }: TeamAccount, kind: Kind): number {
  return Math.max(0, team[kind] - high[kind]);
}

/** What of its guarantee the team can claim: no more than it has work for. */
export function floorOf({ team, high, waiting }: TeamAccount, kind: Kind): number {
  return Math.min(team[kind], high[kind] + waiting[kind]);
}

/** Whether the team's use stays within its guarantee with the task. */
export function isWithinGuarantee({ team, high }: TeamAccount, need: Resources): boolean {
  return countWithinGuarantee(team, high, need) > 0;
}

/** Whether the team has as much as it can claim of its guarantee without what is stopped. */
export function canSpare(account: TeamAccount, stopped: Resources): boolean {
  return KINDS.every(
    (kind) => stopped[kind] <= 0 || account.low[kind] - stopped[kind] >= floorOf(account, kind) - EPSILON,
  );
}

/**
 * By team: GPUs of its guarantee that it has unassigned work for and does not use. A task that has completed uses none, though its
 * record does not say so yet: the room that it left was once taken by a surge, whose replica was then stopped to give it back.
 */
export function heldBackGpus(
  clusterConfig: ClusterConfig,
  jobs: ReadonlyMap<string, Job>,
  claims: readonly PartitionClaims[],
): Map<string, number> {
  const used = new Map<string, number>();
  for (const { held } of claims.flatMap(({ machines }) => machines)) {
    for (const { task: taskName, stopping } of held) {
      const name = parseTaskName(taskName);
      const job = jobs.get(name?.job ?? '');
      if (name === null || job === undefined || stopping || job.cancelled || job.isFinished(name.index)) continue;
      used.set(job.spec.team, (used.get(job.spec.team) ?? 0) + job.spec.gpus);
    }
  }
  const waiting = new Map<string, number>();
  for (const job of jobs.values()) {
    if (!job.ready || job.cancelled || job.isCrashLooping) continue;
    const tasks = job.unassigned().reduce((sum, [, count]) => sum + count, 0);
    waiting.set(job.spec.team, (waiting.get(job.spec.team) ?? 0) + tasks * job.spec.gpus);
  }
  const held = new Map<string, number>();
  for (const { name, gpus } of clusterConfig.teams.values()) {
    const missing = Math.min(gpus - (used.get(name) ?? 0), waiting.get(name) ?? 0);
    if (missing > 0) held.set(name, missing);
  }
  return held;
}

/** The accounts of all teams, kept up while reclaims are planned. */
export class Accounts {
  readonly #accounts = new Map<string, TeamAccount>();

  constructor(
    clusterConfig: ClusterConfig,
    jobs: Iterable<Job>,
    surelyRunning: ReadonlyMap<string, Resources>,
    waiting: ReadonlyMap<string, Resources>,
  ) {
    const high = teamUse(jobs);
    for (const team of clusterConfig.teams.values()) {
      const { name } = team;
      const of = (use: ReadonlyMap<string, Resources>): Resources => use.get(name) ?? NO_RESOURCES;
      this.#accounts.set(name, { team, low: of(surelyRunning), high: of(high), waiting: of(waiting) });
    }
  }

  /** Undefined: no such team in the settings. */
  of(team: string): TeamAccount | undefined {
    return this.#accounts.get(team);
  }

  all(): readonly TeamAccount[] {
    return [...this.#accounts.values()];
  }

  /** A reclaim that stops so much of the team is decided. */
  stop(team: string, resources: Resources): void {
    this.#change(team, (account) => ({ ...account, low: subtractResources(account.low, resources) }));
  }

  /** So much that waited is assigned to the room of a reclaim. */
  assign(team: string, resources: Resources): void {
    this.#change(team, (account) => ({
      ...account,
      high: addResources(account.high, resources),
      waiting: subtractResources(account.waiting, resources),
    }));
  }

  #change(team: string, change: (account: TeamAccount) => TeamAccount): void {
    const account = this.#accounts.get(team);
    if (account !== undefined) this.#accounts.set(team, change(account));
  }
}
