// The leader's decisions: for which waiting tasks others are stopped, which ones and where.
import {
  type Resources,
  type ClusterConfig,
  type Job,
  countWithinLimit,
  type MachineStatus,
  NO_RESOURCES,
  type PartitionStatus,
  type Placement,
  addResources,
  SUSPECT_INTERVALS,
  allowsMachine,
  type UnschedulableDemand,
  ZoneChoice,
  subtractResources,
} from '@gingerlock/core';
import { parseTaskName, type ReclaimRecord } from '@gingerlock/wire';
import { Accounts, type TeamAccount } from './accounts';
import type { MachineClaims, PartitionClaims, TaskAttempt } from './claims';
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

/** Room on one machine is got for some tasks of one job. */
export interface Decision {
  readonly job: Job;
  readonly tasks: readonly number[];
  /** Where each task goes, in the same order. */
  readonly placements: readonly Placement[];
  readonly machine: string;
  readonly victims: readonly TaskAttempt[];
  readonly reason: ReclaimReason;
  readonly loss: Loss;
}

/** Why tasks of a team that wait for room get none from others. */
export type Refusal =
  | 'no task may be stopped for it'
  | 'others would fall below their guarantees'
  | 'renting is sooner'
  | 'enough reclaims under way'
  | 'what machines hold is not known';

export interface Refused {
  readonly job: Job;
  readonly tasks: number;
  readonly why: Refusal;
  readonly account: TeamAccount;
}

export interface PlannerInput {
  readonly clusterConfig: ClusterConfig;
  readonly settings: BorrowingSettings;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly statuses: readonly PartitionStatus[];
  /** By machine that takes work: what is left there after all assignments. */
  readonly free: ReadonlyMap<string, Resources>;
  /** What machines hold, of the partitions of which that is known. */
  readonly claims: readonly PartitionClaims[];
  /** Reclaims that are under way. */
  readonly pending: readonly ReclaimRecord[];
  /** How many may be decided now. */
  readonly most: number;
  /** How long until a machine that is rented now could run a task of the job, in milliseconds. */
  readonly scaleOutMs: (job: Job) => number;
  /** How long until a stopped task is known to be gone, what it takes to save left aside. */
  readonly stopMs: number;
}

export interface Plan {
  readonly decisions: readonly Decision[];
  readonly refused: readonly Refused[];
  readonly accounts: readonly TeamAccount[];
}

/** A machine on which tasks may be stopped. */
interface Source {
  readonly machineStatus: MachineStatus;
  readonly partitionId: number;
  readonly term: number;
  readonly candidates: readonly Candidate[];
  readonly free: Resources;
}

export function planReclaims(input: PlannerInput): Plan {
  return new Planner(input).run();
}

class Planner {
  readonly #input: PlannerInput;
  readonly #accounts: Accounts;
  readonly #sources: Map<string, Source>;
  readonly #decisions: Decision[] = [];
  readonly #refused: Refused[] = [];
  readonly #machines: number;

  constructor(input: PlannerInput) {
    this.#input = input;
    const view = new ClaimsView(input);
    this.#accounts = new Accounts(
      input.clusterConfig,
      input.jobs.values(),
      view.surelyRunning,
      waitingOf(input.unschedulable),
    );
    this.#sources = view.sources;
    this.#machines = input.statuses.reduce((sum, status) => sum + status.machines.length, 0);
  }

  run(): Plan {
    for (const unschedulable of this.#input.unschedulable) this.#plan(unschedulable);
    return { decisions: this.#decisions, refused: this.#refused, accounts: this.#accounts.all() };
  }

  /** How many reclaims may be under way at once. */
  get #allowed(): number {
    const atOnce = Math.max(1, Math.floor(this.#machines * this.#input.settings.maxShare));
    return Math.min(this.#input.most, atOnce - this.#input.pending.length);
  }

  #plan({ job, count }: UnschedulableDemand): void {
    if (this.#accounts.of(job.spec.team) === undefined) return;
    let left = count;
    const tasks = waitingTasks(job, count);
    const zones = new ZoneChoice(job, () => this.#richestZone(job));
    while (left > 0) {
      if (this.#decisions.length >= this.#allowed) return this.#refuse(job, left, 'enough reclaims under way');
      const source = this.#cheapest(job, zones);
      if (source === null) return this.#refuse(job, left, this.#whyNone(job));
      const taken = this.#take(job, source, tasks.splice(0, left), zones);
      tasks.unshift(...taken.unused);
      if (taken.count === 0) return this.#refuse(job, left, 'renting is sooner');
      left -= taken.count;
    }
  }

  #refuse(job: Job, tasks: number, why: Refusal): void {
    this.#refused.push({ job, tasks, why, account: this.#accounts.of(job.spec.team)! });
  }

  #choose(job: Job, source: Source): VictimChoice | null {
    return chooseVictims(job, job.spec, source.free, source.candidates, this.#accounts);
  }

  /** The machine on which room for one task of the job costs least. */
  #cheapest(job: Job, zones: ZoneChoice): Source | null {
    let best: Source | null = null;
    let bestLoss: Loss | null = null;
    for (const source of this.#sources.values()) {
      const { machineStatus } = source;
      if (
        !zones.allows(machineStatus.zone) ||
        !allowsMachine(job.spec, machineStatus.type, machineStatus.zone, machineStatus.spot)
      )
        continue;
      const choice = this.#choose(job, source);
      if (choice === null || choice.victims.length === 0) continue;
      const order = bestLoss === null ? -1 : compareLoss(choice.loss, bestLoss);
      const isCachedHere =
        machineStatus.images.includes(job.spec.image) && best?.machineStatus.images.includes(job.spec.image) !== true;
      if (order < 0 || (order === 0 && isCachedHere)) {
        best = source;
        bestLoss = choice.loss;
      }
    }
    return best;
  }

  /** Decides on room for as many of the tasks as the machine can be made to hold. */
  #take(job: Job, source: Source, tasks: readonly number[], zones: ZoneChoice): { count: number; unused: number[] } {
    const { machineStatus, partitionId, term } = source;
    const placements: Placement[] = [];
    const victims: Candidate[] = [];
    let reason: ReclaimReason | null = null;
    let loss: Loss | null = null;
    let left = source;
    while (placements.length < tasks.length) {
      const choice = this.#mayTake(job, machineStatus.zone, zones) ? this.#choose(job, left) : null;
      if (choice === null || this.#isScaleOutSooner(job, choice)) break;
      placements.push({ partitionId, zone: zones.take(machineStatus.zone), term });
      victims.push(...choice.victims);
      reason = choice.reason === 'guarantee' ? 'guarantee' : (reason ?? choice.reason);
      loss = loss === null ? choice.loss : addLoss(loss, choice.loss);
      this.#settle(job, choice);
      left = withoutVictims(left, choice, job);
    }
    const count = placements.length;
    if (count > 0) {
      this.#sources.delete(machineStatus.name);
      const taken = victims.map(({ held: { task: taskName, attempt } }) => ({ task: taskName, attempt }));
      const machine = machineStatus.name;
      this.#decisions.push({
        job,
        tasks: tasks.slice(0, count),
        placements,
        machine,
        victims: taken,
        reason: reason ?? 'priority',
        loss: loss!,
      });
    }
    return { count, unused: tasks.slice(count) };
  }

  #mayTake(job: Job, zone: string, zones: ZoneChoice): boolean {
    const { team, high } = this.#accounts.of(job.spec.team)!;
    return zones.allows(zone) && countWithinLimit(team, high, job.spec) > 0;
  }

  #isScaleOutSooner(job: Job, { victims, graceS }: VictimChoice): boolean {
    return victims.length > 0 && this.#input.scaleOutMs(job) <= this.#input.stopMs + graceS * 1000;
  }

  #settle(job: Job, { victims }: VictimChoice): void {
    for (const { job: victim } of victims) this.#accounts.stop(victim.spec.team, victim.spec);
    this.#accounts.assign(job.spec.team, job.spec);
  }

  #whyNone(job: Job): Refusal {
    const { claims, statuses } = this.#input;
    if (claims.length < statuses.length) return 'what machines hold is not known';
    let hasCandidate = false;
    for (const { candidates, machineStatus } of this.#sources.values()) {
      if (!allowsMachine(job.spec, machineStatus.type, machineStatus.zone, machineStatus.spot)) continue;
      hasCandidate ||= candidates.some((c) => isStoppable(c) && reasonToStop(job, c.job, this.#accounts) !== null);
    }
    return hasCandidate ? 'others would fall below their guarantees' : 'no task may be stopped for it';
  }

  /** The zone in which most could be got for a job of one zone that has no task yet. */
  #richestZone(job: Job): string | null {
    const byZone = new Map<string, number>();
    for (const source of this.#sources.values()) {
      const { machineStatus } = source;
      if (
        !allowsMachine(job.spec, machineStatus.type, machineStatus.zone, machineStatus.spot) ||
        this.#choose(job, source) === null
      )
        continue;
      byZone.set(machineStatus.zone, (byZone.get(machineStatus.zone) ?? 0) + 1);
    }
    const richest = [...byZone].sort((a, b) => b[1] - a[1])[0];
    return job.spec.zone ?? richest?.[0] ?? null;
  }
}

/** What machines hold, as far as it matters: what surely runs, and where something may be stopped. */
class ClaimsView {
  readonly surelyRunning = new Map<string, Resources>();
  readonly sources = new Map<string, Source>();
  readonly #victims: ReadonlySet<string>;
  /** Machines with a reclaim under way: a second one could count on the same room. */
  readonly #busy: ReadonlySet<string>;

  constructor(readonly input: PlannerInput) {
    this.#victims = new Set(input.pending.flatMap((reclaim) => reclaim.victims.map(keyOf)));
    this.#busy = new Set(input.pending.map((reclaim) => reclaim.machine));
    const byPartition = new Map(input.claims.map((claims) => [claims.partitionId, claims]));
    for (const status of input.statuses) {
      const claims = byPartition.get(status.partitionId);
      if (claims?.term !== status.term) continue;
      const machinesByName = new Map(status.machines.map((machineStatus) => [machineStatus.name, machineStatus]));
      for (const machine of claims.machines) this.#add(machine, machinesByName.get(machine.machine), status);
    }
  }

  #add(
    { machine, held }: MachineClaims,
    machineStatus: MachineStatus | undefined,
    { partitionId, term }: PartitionStatus,
  ): void {
    if (machineStatus === undefined || !isHealthy(machineStatus, this.input.clusterConfig)) return;
    const candidates = held.flatMap((task): Candidate[] => {
      const name = parseTaskName(task.task);
      const job = this.input.jobs.get(name?.job ?? '');
      // The record of a finished task is newer than the list: counted as running, it made its team seem to have one to spare.
      if (name === null || job === undefined || job.isFinished(name.index)) return [];
      return this.#victims.has(keyOf(task)) ? [] : [{ held: task, job }];
    });
    for (const candidate of candidates) {
      if (!isStoppable(candidate)) continue;
      const { spec } = candidate.job;
      this.surelyRunning.set(spec.team, addResources(this.surelyRunning.get(spec.team) ?? NO_RESOURCES, spec));
    }
    const free = this.input.free.get(machine);
    if (free === undefined || this.#busy.has(machine)) return;
    this.sources.set(machine, { machineStatus, partitionId, term, candidates, free });
  }
}

/** A machine that goes on for all that is known: what others hold may not run. */
function isHealthy(machineStatus: MachineStatus, clusterConfig: ClusterConfig): boolean {
  const isHeard = machineStatus.silentMs <= clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
  return isHeard && !machineStatus.draining && !machineStatus.evictionNotice && !machineStatus.isQuarantined;
}

function keyOf({ task: taskName, attempt }: TaskAttempt): string {
  return `${taskName} ${attempt}`;
}

function withoutVictims(source: Source, { victims }: VictimChoice, job: Job): Source {
  const stopped = new Set(victims);
  const freed = victims.reduce((sum, victim) => addResources(sum, victim.job.spec), source.free);
  return {
    ...source,
    candidates: source.candidates.filter((candidate) => !stopped.has(candidate)),
    free: subtractResources(freed, job.spec),
  };
}

function waitingTasks(job: Job, count: number): number[] {
  const tasks: number[] = [];
  for (const [from, length] of job.unassigned()) {
    for (let taskIndex = from; taskIndex < from + length && tasks.length < count; taskIndex++) {
      if (!job.isFinished(taskIndex)) tasks.push(taskIndex);
    }
  }
  return tasks;
}

function waitingOf(unschedulable: readonly UnschedulableDemand[]): Map<string, Resources> {
  const waiting = new Map<string, Resources>();
  for (const { job, count } of unschedulable) {
    const { team } = job.spec;
    waiting.set(team, addResources(waiting.get(team) ?? NO_RESOURCES, job.spec, count));
  }
  return waiting;
}
