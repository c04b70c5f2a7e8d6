// What each team uses, lends and borrows, in CPUs and GPUs.
import {
  type Resources,
  type ClusterConfig,
  countWithinGuarantee,
  hasNoGuarantee,
  type Job,
  NO_RESOURCES,
  addResources,
  type Team,
  usageByTeam,
  subtractResources,
} from '@gingerlock/core';
import { parseTaskName } from '@gingerlock/wire';
import type { PartitionClaims } from './claims';

/** Sums of decimal amounts are compared with this tolerance. */
const TOLERANCE = 1e-6;

/** The use and the demand of one team. What a team uses is known between two bounds, because heartbeats lag behind. */
export interface TeamAccount {
  readonly team: Team;
  /** Lower bound of its use: what surely runs and no decided reclaim stops. */
  readonly surelyUsed: Resources;
  /** Upper bound of its use: all tasks that are assigned and not finished. */
  readonly possiblyUsed: Resources;
  /** What its unschedulable tasks would use besides, within its limit. */
  readonly unschedulable: Resources;
}

/** The resources that teams are guaranteed. */
const GUARANTEED_RESOURCES = ['cpus', 'gpus'] as const;

/** A resource that teams are guaranteed. */
export type GuaranteedResource = (typeof GUARANTEED_RESOURCES)[number];

/** What the team surely uses beyond its guarantee. */
export function borrowed({ team, surelyUsed: low }: TeamAccount, resource: GuaranteedResource): number {
  return team[resource] > 0 ? Math.max(0, low[resource] - team[resource]) : hasNoGuarantee(team) ? low[resource] : 0;
}

/** What of its guarantee the team surely leaves to others. */
export function lent({ team, possiblyUsed: high }: TeamAccount, resource: GuaranteedResource): number {
  return Math.max(0, team[resource] - high[resource]);
}

/** What of its guarantee the team can claim: no more than it has work for. */
function claimableGuarantee(
  { team, possiblyUsed: high, unschedulable: waiting }: TeamAccount,
  resource: GuaranteedResource,
): number {
  return Math.min(team[resource], high[resource] + waiting[resource]);
}

/** Whether the team's use stays within its guarantee with the task. */
export function isWithinGuarantee({ team, possiblyUsed: high }: TeamAccount, need: Resources): boolean {
  return countWithinGuarantee(team, high, need) > 0;
}

/** Whether the team keeps all of its guarantee that it can claim when `stopped` of it is preempted. */
export function keepsGuaranteeWithout(account: TeamAccount, stopped: Resources): boolean {
  return GUARANTEED_RESOURCES.every(
    (resource) =>
      stopped[resource] <= 0 ||
      account.surelyUsed[resource] - stopped[resource] >= claimableGuarantee(account, resource) - TOLERANCE,
  );
}

/**
 * By team: GPUs of its guarantee that it has unassigned work for and does not use. A task that no machine holds any
 * more uses none, even if it is not recorded as finished yet: work of others that started on its GPUs would have to be
 * preempted at once.
 */
export function heldBackGpus(
  clusterConfig: ClusterConfig,
  jobs: ReadonlyMap<string, Job>,
  claims: readonly PartitionClaims[],
): Map<string, number> {
  const used = new Map<string, number>();
  for (const { held } of claims.flatMap(({ machines }) => machines)) {
    for (const { task, stopping } of held) {
      const name = parseTaskName(task);
      const job = jobs.get(name?.job ?? '');
      if (name === null || job === undefined || stopping || job.isCancelled || job.isFinished(name.index)) continue;
      used.set(job.spec.team, (used.get(job.spec.team) ?? 0) + job.spec.gpus);
    }
  }
  const waiting = new Map<string, number>();
  for (const job of jobs.values()) {
    if (!job.isReady || job.isCancelled || job.isCrashLooping) continue;
    const tasks = job.unassigned().reduce((sum, [, count]) => sum + count, 0);
    waiting.set(job.spec.team, (waiting.get(job.spec.team) ?? 0) + tasks * job.spec.gpus);
  }
  const heldBack = new Map<string, number>();
  for (const { name, gpus } of clusterConfig.teams.values()) {
    const missing = Math.min(gpus - (used.get(name) ?? 0), waiting.get(name) ?? 0);
    if (missing > 0) heldBack.set(name, missing);
  }
  return heldBack;
}

/** The accounts of all teams, kept up to date while reclaims are planned. */
export class Accounts {
  readonly #accountByTeam = new Map<string, TeamAccount>();

  /**
   * @param surelyRunning by team: what surely runs
   * @param waiting by team: what is unschedulable
   */
  constructor(
    clusterConfig: ClusterConfig,
    jobs: Iterable<Job>,
    surelyRunning: ReadonlyMap<string, Resources>,
    waiting: ReadonlyMap<string, Resources>,
  ) {
    const high = usageByTeam(jobs);
    for (const team of clusterConfig.teams.values()) {
      const { name } = team;
      const of = (use: ReadonlyMap<string, Resources>): Resources => use.get(name) ?? NO_RESOURCES;
      this.#accountByTeam.set(name, {
        team,
        surelyUsed: of(surelyRunning),
        possiblyUsed: of(high),
        unschedulable: of(waiting),
      });
    }
  }

  /** The account of a team; undefined: the settings have no such team. */
  of(team: string): TeamAccount | undefined {
    return this.#accountByTeam.get(team);
  }

  /** The accounts of all teams in the settings. */
  all(): readonly TeamAccount[] {
    return [...this.#accountByTeam.values()];
  }

  /** Accounts for a decided reclaim that stops these resources of the team. */
  recordStop(team: string, resources: Resources): void {
    this.#change(team, (account) => ({ ...account, surelyUsed: subtractResources(account.surelyUsed, resources) }));
  }

  /** Accounts for unschedulable tasks of the team that a decided reclaim gets these resources. */
  recordAssignment(team: string, resources: Resources): void {
    this.#change(team, (account) => ({
      ...account,
      possiblyUsed: addResources(account.possiblyUsed, resources),
      unschedulable: subtractResources(account.unschedulable, resources),
    }));
  }

  #change(team: string, change: (account: TeamAccount) => TeamAccount): void {
    const account = this.#accountByTeam.get(team);
    if (account !== undefined) this.#accountByTeam.set(team, change(account));
  }
}
