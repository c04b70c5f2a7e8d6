// Resource accounts of teams: what each team uses, lends and borrows, in CPUs and GPUs.
import {
  type Resources,
  type ClusterConfig,
  countWithinGuarantee,
  hasNoGuarantee,
  type Job,
  NO_RESOURCES,
  addResources,
  assignedUsage,
  type Team,
  subtractResources,
} from '@gingerlock/core';
import { parseTaskName } from '@gingerlock/wire';
import type { PartitionClaims } from './claims';

/** Tolerance for comparing sums of decimal amounts. */
const TOLERANCE = 1e-6;

/** The use and the demand of one team. The use is known only as two bounds, because heartbeats lag behind. */
export interface TeamAccount {
  readonly team: Team;
  /** Lower bound of its use: tasks that surely run and that no decided reclaim stops. */
  readonly surelyUsed: Resources;
  /** Upper bound of its use: all tasks that are assigned and not finished. */
  readonly possiblyUsed: Resources;
  /** Resources that its unschedulable tasks would use in addition, within its limit. */
  readonly unschedulable: Resources;
}

/** The resources that teams are guaranteed. */
const GUARANTEED_RESOURCES = ['cpus', 'gpus'] as const;

/** A resource that teams are guaranteed. */
export type GuaranteedResource = (typeof GUARANTEED_RESOURCES)[number];

/** The amount that the team surely uses beyond its guarantee. */
export function borrowed({ team, surelyUsed: low }: TeamAccount, resource: GuaranteedResource): number {
  return team[resource] > 0 ? Math.max(0, low[resource] - team[resource]) : hasNoGuarantee(team) ? low[resource] : 0;
}

/** The part of its guarantee that the team surely does not use, so that other teams can. */
export function lent({ team, possiblyUsed: high }: TeamAccount, resource: GuaranteedResource): number {
  return Math.max(0, team[resource] - high[resource]);
}

/** The part of its guarantee that the team can claim: at most what its assigned and unschedulable tasks need. */
function claimableGuarantee(
  { team, possiblyUsed: high, unschedulable: waiting }: TeamAccount,
  resource: GuaranteedResource,
): number {
  return Math.min(team[resource], high[resource] + waiting[resource]);
}

/** Whether one more task that needs `need` fits into the team's guarantee. */
export function isWithinGuarantee({ team, possiblyUsed: high }: TeamAccount, need: Resources): boolean {
  return countWithinGuarantee(team, high, need) > 0;
}

/** Whether the team keeps all of its guarantee that it can claim if its tasks that use `stopped` are preempted. */
export function keepsGuaranteeWithout(account: TeamAccount, stopped: Resources): boolean {
  return GUARANTEED_RESOURCES.every(
    (resource) =>
      stopped[resource] <= 0 ||
      account.surelyUsed[resource] - stopped[resource] >= claimableGuarantee(account, resource) - TOLERANCE,
  );
}

/**
 * By team: GPUs of its guarantee that it does not use but has unassigned tasks for. They are held back from other
 * teams, whose tasks there would have to be preempted at once. GPUs count as unused as soon as no machine holds their
 * task, even if the task is not recorded as finished yet.
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
    const claimable = Math.min(gpus - (used.get(name) ?? 0), waiting.get(name) ?? 0);
    if (claimable > 0) heldBack.set(name, claimable);
  }
  return heldBack;
}

/** The accounts of all teams. The planner updates them with each reclaim that it decides. */
export class Accounts {
  readonly #accountByTeam = new Map<string, TeamAccount>();

  /**
   * @param surelyRunning by team: resources of the tasks that surely run
   * @param waiting by team: resources of the unschedulable tasks
   */
  constructor(
    clusterConfig: ClusterConfig,
    jobs: Iterable<Job>,
    surelyRunning: ReadonlyMap<string, Resources>,
    waiting: ReadonlyMap<string, Resources>,
  ) {
    const high = assignedUsage(jobs).byTeam;
    for (const team of clusterConfig.teams.values()) {
      const { name } = team;
      const resourcesOf = (use: ReadonlyMap<string, Resources>): Resources => use.get(name) ?? NO_RESOURCES;
      this.#accountByTeam.set(name, {
        team,
        surelyUsed: resourcesOf(surelyRunning),
        possiblyUsed: resourcesOf(high),
        unschedulable: resourcesOf(waiting),
      });
    }
  }

  /** The account of a team; undefined if the settings have no such team. */
  of(team: string): TeamAccount | undefined {
    return this.#accountByTeam.get(team);
  }

  /** The accounts of all teams in the settings. */
  all(): readonly TeamAccount[] {
    return [...this.#accountByTeam.values()];
  }

  /** Records that a decided reclaim stops tasks of the team with these resources in total. */
  recordStop(team: string, resources: Resources): void {
    this.#change(team, (account) => ({ ...account, surelyUsed: subtractResources(account.surelyUsed, resources) }));
  }

  /** Records that a decided reclaim frees these resources for unschedulable tasks of the team. */
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
