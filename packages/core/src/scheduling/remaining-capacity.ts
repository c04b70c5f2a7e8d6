// What one assignment has left to give: the free resources of machines, the GPUs held back, and what teams use already.
import { addResources, NO_RESOURCES, type Resources } from '../cluster/resources';
import { teamUse } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import type { AssignmentInput } from './assignment-types';
import { type MachineBin, machineBinsOf, takeFromBin } from './machine-bin';

/** The resources that one assignment has not used up yet, and the teams' use so far. */
export class RemainingCapacity {
  readonly bins: readonly MachineBin[];
  readonly #usedByTeam: Map<string, Resources>;
  readonly #heldBackByTeam: ReadonlyMap<string, number> | null;
  /** GPUs that are free on all machines together. */
  #freeGpus: number;

  constructor(input: AssignmentInput, jobs: readonly Job[]) {
    this.bins = machineBinsOf(input);
    this.#usedByTeam = teamUse(jobs);
    this.#heldBackByTeam = input.heldBack;
    this.#freeGpus = this.bins.reduce((sum, bin) => sum + Math.max(0, bin.free.gpus), 0);
  }

  /** By name of each machine: what is left free on it. */
  freeByMachine(): ReadonlyMap<string, Resources> {
    return new Map(this.bins.map((bin) => [bin.machine.name, bin.free]));
  }

  /** The bin of a machine that takes work. */
  binOf(machine: string): MachineBin {
    return this.bins.find((bin) => bin.machine.name === machine)!;
  }

  /** Subtracts one task of the job from the bin. */
  take(bin: MachineBin, job: Job): void {
    this.#freeGpus -= job.spec.gpus;
    takeFromBin(bin, job);
  }

  /** What the team's tasks use, those of this assignment included. */
  usedBy(team: string): Resources {
    return this.#usedByTeam.get(team) ?? NO_RESOURCES;
  }

  /** Counts so many more tasks of the job against its team's limit. */
  countUse(job: Job, taskCount: number): void {
    const { team } = job.spec;
    this.#usedByTeam.set(team, addResources(this.usedBy(team), job.spec, taskCount));
  }

  /** GPUs that are to stay free for the guarantees of other teams. */
  gpusHeldBackFrom(team: string): number {
    let gpus = 0;
    for (const [name, held] of this.#heldBackByTeam ?? []) if (name !== team) gpus += held;
    return gpus;
  }

  /** Whether fewer GPUs than `heldBackGpus` would stay free if so many more were used. */
  wouldLeaveFewerGpus(gpus: number, heldBackGpus: number): boolean {
    return this.gpusLackingFor(gpus, heldBackGpus) > 0;
  }

  /** How many GPUs are too few for so many more to be used while `heldBackGpus` stay free. */
  gpusLackingFor(gpus: number, heldBackGpus: number): number {
    return Math.max(0, gpus + heldBackGpus - this.#freeGpus);
  }
}
