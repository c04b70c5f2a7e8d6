// The capacity that one assignment has left: free resources of machines, GPUs held back, and the teams' use.
import type { Team } from '../cluster/cluster-config';
import { countWithinLimit } from '../cluster/quota';
import { addResources, NO_RESOURCES, type Resources } from '../cluster/resources';
import { assignedUsage } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput } from './assignment-types';
import { type MachineBin, machineBinsOf, allocateInBin } from './machine-bin';
import { TaskBudget } from './task-budget';

/** The resources that one assignment has not allocated yet, and the teams' use so far. */
export class RemainingCapacity {
  readonly bins: readonly MachineBin[];
  /** The zones of the bins. */
  readonly zones: readonly string[];
  /** By name of the machine. */
  readonly #binByMachine: ReadonlyMap<string, MachineBin>;
  readonly #usedByTeam: Map<string, Resources>;
  readonly #taskBudget: TaskBudget;
  readonly #heldBackByTeam: ReadonlyMap<string, number> | null;
  /** Sum of the free GPUs of all machines. */
  #freeGpus: number;

  constructor(input: AssignmentInput, jobs: readonly Job[]) {
    this.bins = machineBinsOf(input);
    this.zones = [...new Set(this.bins.map(({ machine }) => machine.zone))];
    this.#binByMachine = new Map(this.bins.map((bin) => [bin.machine.name, bin]));
    const { byTeam, taskCount } = assignedUsage(jobs);
    this.#usedByTeam = byTeam;
    this.#taskBudget = new TaskBudget(input.clusterConfig.maxAssignedTasks - taskCount);
    this.#heldBackByTeam = input.heldBack;
    this.#freeGpus = this.bins.reduce((sum, bin) => sum + Math.max(0, bin.free.gpus), 0);
  }

  /** By machine name: the resources that are left free. */
  freeByMachine(): ReadonlyMap<string, Resources> {
    return new Map(this.bins.map((bin) => [bin.machine.name, bin.free]));
  }

  /** The bin of a machine that takes work. */
  binOf(machine: string): MachineBin {
    return this.#binByMachine.get(machine)!;
  }

  /** Allocates the resources of one task of the job in the bin. */
  allocate(bin: MachineBin, job: Job): void {
    this.#freeGpus -= job.spec.gpus;
    allocateInBin(bin, job);
  }

  /** The resources that the team's tasks use, including those of this assignment. */
  usedBy(team: string): Resources {
    return this.#usedByTeam.get(team) ?? NO_RESOURCES;
  }

  /** How many more tasks of the job the limit of its team and the memory of controllers allow. */
  countAllowed(job: Job, team: Team): number {
    const withinLimit = countWithinLimit(team, this.usedBy(team.name), job.need);
    return Math.min(withinLimit, this.#taskBudget.countAllowed(job));
  }

  /** Counts `taskCount` more tasks of the job as assigned. */
  countUse(job: Job, taskCount: number): void {
    this.#taskBudget.assign(job, taskCount);
    this.#countForTeam(job, taskCount);
  }

  /**
   * Counts tasks of the job that fit on no machine as demand for machines, as far as the memory of controllers allows;
   * returns how many these are.
   */
  countDemand(job: Job, missing: number): number {
    const count = this.#taskBudget.demand(missing);
    this.#countForTeam(job, count);
    return count;
  }

  #countForTeam(job: Job, taskCount: number): void {
    const { team } = job.spec;
    this.#usedByTeam.set(team, addResources(this.usedBy(team), job.need, taskCount));
  }

  /** GPUs that the team has to leave free for the guarantees of other teams. */
  gpusHeldBackFrom(team: string): number {
    let gpus = 0;
    for (const [name, held] of this.#heldBackByTeam ?? []) if (name !== team) gpus += held;
    return gpus;
  }

  /** Whether using `gpus` more would leave fewer than `heldBackGpus` free. */
  wouldLeaveFewerGpus(gpus: number, heldBackGpus: number): boolean {
    return this.gpusLackingFor(gpus, heldBackGpus) > 0;
  }

  /** How many GPUs are lacking to use `gpus` more while `heldBackGpus` stay free. */
  gpusLackingFor(gpus: number, heldBackGpus: number): number {
    return Math.max(0, gpus + heldBackGpus - this.#freeGpus);
  }
}
