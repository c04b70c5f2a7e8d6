// Plans reclaims for the leader: which running tasks to preempt, on which machines, and for which unschedulable tasks.
// See docs/borrowing-design.md.
import {
  type Resources,
  type ClusterConfig,
  type Job,
  countWithinLimit,
  NO_RESOURCES,
  type PartitionStatus,
  type Placement,
  addResources,
  allowsMachine,
  type UnschedulableDemand,
  ZoneChoice,
  subtractResources,
} from '@gingerlock/core';
import type { ReclaimRecord } from '@gingerlock/wire';
import { Accounts, type TeamAccount } from './accounts';
import type { PartitionClaims, TaskAttempt } from './claims';
import { ClaimsView, type ReclaimMachine } from './claims-view';
import type { BorrowingSettings } from './settings';
import {
  addLoss,
  type Candidate,
  chooseVictims,
  compareLoss,
  isStoppable,
  type Loss,
  type ReclaimReason,
  reasonToStop,
  type VictimChoice,
} from './victims';

/** A decided reclaim: the preemption of tasks on one machine, to free capacity for some tasks of one job. */
export interface Decision {
  readonly job: Job;
  readonly tasks: readonly number[];
  /** The placement of each of `tasks`, in the same order. */
  readonly placements: readonly Placement[];
  readonly machine: string;
  /** The tasks to preempt. */
  readonly victims: readonly TaskAttempt[];
  readonly reason: ReclaimReason;
  /** The cost of the preemption. */
  readonly loss: Loss;
}

/** Why nothing is reclaimed for unschedulable tasks. The texts are part of the log, which operators search. */
export type RefusalReason =
  | 'no task may be stopped for it'
  | 'others would fall below their guarantees'
  | 'renting is sooner'
  | 'enough reclaims under way'
  | 'what machines hold is not known';

/** Tasks for which nothing is reclaimed. */
export interface Refused {
  readonly job: Job;
  /** The number of tasks. */
  readonly tasks: number;
  readonly why: RefusalReason;
  /** The account of the job's team when the planner refused the tasks. */
  readonly account: TeamAccount;
}

/** Input of `planReclaims`. */
export interface PlannerInput {
  readonly clusterConfig: ClusterConfig;
  readonly settings: BorrowingSettings;
  readonly jobs: ReadonlyMap<string, Job>;
  /** The demand for which there are no free resources, the most urgent first. */
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly statuses: readonly PartitionStatus[];
  /** Free resources after all assignments, by the name of each machine that takes work. */
  readonly free: ReadonlyMap<string, Resources>;
  /** The tasks that machines hold; a partition is absent until its owner has reported them. */
  readonly claims: readonly PartitionClaims[];
  /** Reclaims in progress. */
  readonly pending: readonly ReclaimRecord[];
  /** The maximum number of reclaims to decide now. */
  readonly maxDecisions: number;
  /** How long until a machine that is rented now could run a task of the job, in milliseconds. */
  readonly scaleOutMs: (job: Job) => number;
  /** How long until a stopped task is known to be gone, in milliseconds, excluding the time that it gets to save. */
  readonly stopMs: number;
}

/** The decided reclaims, and the demand for which nothing is reclaimed. */
export interface Plan {
  readonly decisions: readonly Decision[];
  readonly refused: readonly Refused[];
  /** The accounts of all teams after the decisions. */
  readonly accounts: readonly TeamAccount[];
}

/** Decides on reclaims for the unschedulable demand, in its order. Does not change the input. */
export function planReclaims(input: PlannerInput): Plan {
  return new Planner(input).run();
}

class Planner {
  readonly #input: PlannerInput;
  readonly #accounts: Accounts;
  /** By name: machines on which tasks may be preempted and for which no reclaim is decided yet. */
  readonly #machinesByName: Map<string, ReclaimMachine>;
  readonly #decisions: Decision[] = [];
  readonly #refused: Refused[] = [];
  readonly #machineCount: number;

  constructor(input: PlannerInput) {
    this.#input = input;
    const view = new ClaimsView(input);
    this.#accounts = new Accounts(
      input.clusterConfig,
      input.jobs.values(),
      view.surelyRunning,
      demandByTeam(input.unschedulable),
    );
    this.#machinesByName = view.machinesByName;
    this.#machineCount = input.statuses.reduce((sum, status) => sum + status.machines.length, 0);
  }

  run(): Plan {
    for (const demand of this.#input.unschedulable) this.#planFor(demand);
    return { decisions: this.#decisions, refused: this.#refused, accounts: this.#accounts.all() };
  }

  /** How many reclaims may be decided now. */
  get #allowedDecisions(): number {
    const allowedInProgress = Math.max(1, Math.floor(this.#machineCount * this.#input.settings.maxShare));
    return Math.min(this.#input.maxDecisions, allowedInProgress - this.#input.pending.length);
  }

  #planFor({ job, count }: UnschedulableDemand): void {
    if (this.#accounts.of(job.spec.team) === undefined) return;
    let remaining = count;
    const tasks = unassignedTasks(job, count);
    const zones = new ZoneChoice(job, () => this.#zoneWithMostMachines(job));
    while (remaining > 0) {
      if (this.#decisions.length >= this.#allowedDecisions)
        return this.#refuse(job, remaining, 'enough reclaims under way');
      const machine = this.#cheapestMachine(job, zones);
      if (machine === null) return this.#refuse(job, remaining, this.#refusalReason(job));
      const placed = this.#reclaimOn(machine, job, tasks, zones);
      if (placed === 0) return this.#refuse(job, remaining, 'renting is sooner');
      tasks.splice(0, placed);
      remaining -= placed;
    }
  }

  #refuse(job: Job, tasks: number, why: RefusalReason): void {
    this.#refused.push({ job, tasks, why, account: this.#accounts.of(job.spec.team)! });
  }

  /** The victims for one more task of the job on the machine; null if preemption cannot free enough. */
  #choose(job: Job, { free, candidates }: ReclaimMachine): VictimChoice | null {
    return chooseVictims(job, job.need, free, candidates, this.#accounts);
  }

  /** The machine on which preempting for one task of the job costs least; among equals, one that has the image. */
  #cheapestMachine(job: Job, zones: ZoneChoice): ReclaimMachine | null {
    let best: ReclaimMachine | null = null;
    let bestLoss: Loss | null = null;
    for (const machine of this.#machinesByName.values()) {
      if (!zones.allows(machine.status.zone) || !mayRunOn(job, machine)) continue;
      const choice = this.#choose(job, machine);
      if (choice === null || choice.victims.length === 0) continue;
      const order = bestLoss === null ? -1 : compareLoss(choice.loss, bestLoss);
      const isNewlyCached = hasImage(machine, job) && (best === null || !hasImage(best, job));
      if (order < 0 || (order === 0 && isNewlyCached)) {
        best = machine;
        bestLoss = choice.loss;
      }
    }
    return best;
  }

  /** Decides on a reclaim for as many of the tasks as fit on the machine after preemption; returns their number. */
  #reclaimOn(machine: ReclaimMachine, job: Job, tasks: readonly number[], zones: ZoneChoice): number {
    const { status, partitionId, term } = machine;
    const placements: Placement[] = [];
    const victims: Candidate[] = [];
    let reason: ReclaimReason | null = null;
    let loss: Loss | null = null;
    let remaining = machine;
    while (placements.length < tasks.length) {
      const choice = this.#mayPlace(job, status.zone, zones) ? this.#choose(job, remaining) : null;
      if (choice === null || this.#isScaleOutSooner(job, choice)) break;
      placements.push({ partitionId, zone: zones.placeTask(status.zone), term });
      victims.push(...choice.victims);
      reason = choice.reason === 'guarantee' ? 'guarantee' : (reason ?? choice.reason);
      loss = loss === null ? choice.loss : addLoss(loss, choice.loss);
      this.#updateAccounts(job, choice);
      remaining = afterReclaim(remaining, choice, job);
    }
    if (loss === null) return 0;
    this.#machinesByName.delete(status.name);
    this.#decisions.push({
      job,
      tasks: tasks.slice(0, placements.length),
      placements,
      machine: status.name,
      victims: victims.map(({ held: { task, attempt } }) => ({ task, attempt })),
      reason: reason ?? 'priority',
      loss,
    });
    return placements.length;
  }

  #mayPlace(job: Job, zone: string, zones: ZoneChoice): boolean {
    const { team, possiblyUsed: high } = this.#accounts.of(job.spec.team)!;
    return zones.allows(zone) && countWithinLimit(team, high, job.need) > 0;
  }

  #isScaleOutSooner(job: Job, { victims, graceS }: VictimChoice): boolean {
    return victims.length > 0 && this.#input.scaleOutMs(job) <= this.#input.stopMs + graceS * 1000;
  }

  #updateAccounts(job: Job, { victims }: VictimChoice): void {
    for (const { job: victim } of victims) this.#accounts.recordStop(victim.spec.team, victim.need);
    this.#accounts.recordAssignment(job.spec.team, job.need);
  }

  /** Why no machine can free enough for a task of the job. */
  #refusalReason(job: Job): RefusalReason {
    const { claims, statuses } = this.#input;
    if (claims.length < statuses.length) return 'what machines hold is not known';
    let hasCandidate = false;
    for (const machine of this.#machinesByName.values()) {
      if (!mayRunOn(job, machine)) continue;
      hasCandidate ||= machine.candidates.some(
        (candidate) => isStoppable(candidate) && reasonToStop(job, candidate.job, this.#accounts) !== null,
      );
    }
    return hasCandidate ? 'others would fall below their guarantees' : 'no task may be stopped for it';
  }

  /** The zone for a one-zone job without tasks yet: the one with the most machines that fit a task after preemption. */
  #zoneWithMostMachines(job: Job): string | null {
    const machinesByZone = new Map<string, number>();
    for (const machine of this.#machinesByName.values()) {
      if (!mayRunOn(job, machine) || this.#choose(job, machine) === null) continue;
      const { zone } = machine.status;
      machinesByZone.set(zone, (machinesByZone.get(zone) ?? 0) + 1);
    }
    const largest = [...machinesByZone].sort((a, b) => b[1] - a[1])[0];
    return job.spec.zone ?? largest?.[0] ?? null;
  }
}

function mayRunOn(job: Job, { status: { type, zone, spot } }: ReclaimMachine): boolean {
  return allowsMachine(job.spec, type, zone, spot);
}

function hasImage({ status }: ReclaimMachine, { spec }: Job): boolean {
  return status.images.includes(spec.image);
}

/** The machine after the victims are stopped and one task of the job is placed there. */
function afterReclaim(machine: ReclaimMachine, { victims }: VictimChoice, job: Job): ReclaimMachine {
  const stopped = new Set(victims);
  const freed = victims.reduce((sum, victim) => addResources(sum, victim.job.need), machine.free);
  return {
    ...machine,
    candidates: machine.candidates.filter((candidate) => !stopped.has(candidate)),
    free: subtractResources(freed, job.need),
  };
}

/** The first `count` tasks of the job that are neither assigned nor finished. */
function unassignedTasks(job: Job, count: number): number[] {
  const tasks: number[] = [];
  for (const [from, length] of job.unassigned()) {
    for (let taskIndex = from; taskIndex < from + length && tasks.length < count; taskIndex++) {
      if (!job.isFinished(taskIndex)) tasks.push(taskIndex);
    }
  }
  return tasks;
}

/** By team: the resources of its unschedulable tasks. */
function demandByTeam(unschedulable: readonly UnschedulableDemand[]): Map<string, Resources> {
  const demand = new Map<string, Resources>();
  for (const { job, count } of unschedulable) {
    const { team } = job.spec;
    demand.set(team, addResources(demand.get(team) ?? NO_RESOURCES, job.need, count));
  }
  return demand;
}
