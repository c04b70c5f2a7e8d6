// What really becomes of the tasks of a simulated deployment: where they run, and what is completed, saved and lost.
import { type JobSpec, parseTaskName } from '@gingerlock/wire';

/** Follows tasks by what workers do with them, whatever controllers believe. */
export class TaskTracker {
  /** By task: the machine that it is on. */
  readonly #machineByTask = new Map<string, string>();
  /** The tasks that are on machines, by job. */
  readonly #tasksByJob = new Map<string, Set<string>>();
  readonly #gpusByTeam = new Map<string, number>();
  readonly #gpusByMachine = new Map<string, number>();
  readonly #completedByJob = new Map<string, Set<string>>();
  /** By task: for how long it had run when it was last saved, in milliseconds. */
  readonly savedMs = new Map<string, number>();
  /** GPU seconds of work that was not saved when its task was stopped. */
  lostGpuSeconds = 0;

  /** All tasks that are on machines, with their machines. */
  get machineByTask(): ReadonlyMap<string, string> {
    return this.#machineByTask;
  }

  /** The tasks of the job that are on machines. */
  runningOf(job: string): ReadonlySet<string> {
    return this.#tasksByJob.get(job) ?? new Set();
  }

  /** GPUs that the team's tasks use. */
  gpusOfTeam(team: string): number {
    return this.#gpusByTeam.get(team) ?? 0;
  }

  /** GPUs that are in use on the machine. */
  gpusOnMachine(machine: string): number {
    return this.#gpusByMachine.get(machine) ?? 0;
  }

  /** A task runs on the machine from now on, and nowhere else as far as this is followed. */
  place(taskName: string, machine: string, spec: JobSpec): void {
    const other = this.#machineByTask.get(taskName);
    if (other !== undefined) this.#remove(taskName, other, spec);
    this.#machineByTask.set(taskName, machine);
    const ofJob = this.#tasksByJob.get(spec.id) ?? new Set();
    this.#tasksByJob.set(spec.id, ofJob.add(taskName));
    this.#addGpus(machine, spec, spec.gpus);
  }

  /** A task no longer runs on the machine; one that was placed on another one since then stays there. */
  leave(taskName: string, machine: string, spec: JobSpec): void {
    if (this.#machineByTask.get(taskName) === machine) this.#remove(taskName, machine, spec);
  }

  #remove(taskName: string, machine: string, spec: JobSpec): void {
    this.#machineByTask.delete(taskName);
    this.#tasksByJob.get(spec.id)!.delete(taskName);
    this.#addGpus(machine, spec, -spec.gpus);
  }

  #addGpus(machine: string, { team }: JobSpec, gpus: number): void {
    this.#gpusByTeam.set(team, this.gpusOfTeam(team) + gpus);
    this.#gpusByMachine.set(machine, this.gpusOnMachine(machine) + gpus);
  }

  /** A task is done for good. */
  complete(taskName: string): void {
    const { job } = parseTaskName(taskName)!;
    const completed = this.#completedByJob.get(job) ?? new Set();
    this.#completedByJob.set(job, completed.add(taskName));
  }

  isCompleted(taskName: string): boolean {
    return this.#completedByJob.get(parseTaskName(taskName)!.job)?.has(taskName) ?? false;
  }

  /** How many tasks of the job are done. */
  completedOf(job: string): number {
    return this.#completedByJob.get(job)?.size ?? 0;
  }

  /** A task that had run for so long was stopped, and its work saved or lost. */
  stop(taskName: string, runMs: number, isSaved: boolean, { gpus }: JobSpec): void {
    if (isSaved) this.savedMs.set(taskName, (this.savedMs.get(taskName) ?? 0) + runMs);
    else this.lostGpuSeconds += (runMs / 1000) * gpus;
  }
}
