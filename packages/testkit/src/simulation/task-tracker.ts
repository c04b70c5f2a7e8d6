// Tracks the actual state of a simulated deployment's tasks: where they run, and what is completed, saved and lost.
import { type JobSpec, parseTaskName } from '@gingerlock/wire';

/** Tracks tasks from the actions of workers, independently of the state of controllers. */
export class TaskTracker {
  /** By task: the machine that runs it. */
  readonly #machineByTask = new Map<string, string>();
  /** By job: its running tasks. */
  readonly #tasksByJob = new Map<string, Set<string>>();
  readonly #gpusByTeam = new Map<string, number>();
  readonly #gpusByMachine = new Map<string, number>();
  readonly #completedByJob = new Map<string, Set<string>>();
  /** By task: its saved run time, in milliseconds. */
  readonly savedMs = new Map<string, number>();
  /** GPU seconds of work lost because a task was stopped without saving. */
  lostGpuSeconds = 0;

  /** All running tasks with their machines. */
  get machineByTask(): ReadonlyMap<string, string> {
    return this.#machineByTask;
  }

  /** Returns the running tasks of the job. */
  runningOf(job: string): ReadonlySet<string> {
    return this.#tasksByJob.get(job) ?? new Set();
  }

  /** Returns the number of GPUs that the team's tasks use. */
  gpusOfTeam(team: string): number {
    return this.#gpusByTeam.get(team) ?? 0;
  }

  /** Returns the number of GPUs in use on the machine. */
  gpusOnMachine(machine: string): number {
    return this.#gpusByMachine.get(machine) ?? 0;
  }

  /** Records that a task runs on the machine; an earlier place of the task is removed. */
  place(taskName: string, machine: string, spec: JobSpec): void {
    const other = this.#machineByTask.get(taskName);
    if (other !== undefined) this.#remove(taskName, other, spec);
    this.#machineByTask.set(taskName, machine);
    const ofJob = this.#tasksByJob.get(spec.id) ?? new Set();
    this.#tasksByJob.set(spec.id, ofJob.add(taskName));
    this.#addGpus(machine, spec, spec.gpus);
  }

  /** Records that a task no longer runs on the machine; a task placed on another machine meanwhile stays there. */
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

  /** Records that a task has completed. */
  complete(taskName: string): void {
    const { job } = parseTaskName(taskName)!;
    const completed = this.#completedByJob.get(job) ?? new Set();
    this.#completedByJob.set(job, completed.add(taskName));
  }

  isCompleted(taskName: string): boolean {
    return this.#completedByJob.get(parseTaskName(taskName)!.job)?.has(taskName) ?? false;
  }

  /** Returns the number of completed tasks of the job. */
  completedOf(job: string): number {
    return this.#completedByJob.get(job)?.size ?? 0;
  }

  /** Records that a task was stopped after running for `runMs`, and whether its work was saved. */
  stop(taskName: string, runMs: number, isSaved: boolean, { gpus }: JobSpec): void {
    if (isSaved) this.savedMs.set(taskName, (this.savedMs.get(taskName) ?? 0) + runMs);
    else this.lostGpuSeconds += (runMs / 1000) * gpus;
  }
}
