/** The tasks of one partition and their states: which are assigned to it, which wait, and which machine holds which. */
import { parseTaskName, taskName } from '@gingerlock/wire';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import { type AssignedTask, tasksAssignedTo } from '../jobs/assigned-usage';
import type { Machine } from './machine-entry';
import { type Claim, type TaskEntry, TASK_TRANSITIONS, type TaskEntryState } from './task-entry';
import { WakeQueue } from './wake-queue';

/** The options of a task table. */
export interface TaskTableOptions {
  readonly partitionId: number;
  /** Number of the ownership term. */
  readonly term: number;
  readonly jobs: JobTable;
  /** Whether no machine can hold an unreported task of an earlier owner any more. */
  readonly isFencingOver: () => boolean;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** Called on an event that contradicts the safety argument, and so is never expected. */
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
}

/** The task entries of one partition. Only `transition` changes their states and sets their claims. */
export class TaskTable {
  /** The tasks of the partition, by job id and task index. */
  readonly tasksByJob = new Map<string, Map<number, TaskEntry>>();
  /** Counts the changes of free resources or waiting tasks. */
  changes = 0;
  /** The waiting tasks, by job id, those that have waited longest first. */
  readonly #waitingByJob = new Map<string, Set<TaskEntry>>();
  readonly #wakes = new WakeQueue();

  constructor(readonly options: TaskTableOptions) {}

  /** Changes the state and the claim of a task. Throws if `TASK_TRANSITIONS` does not allow the change. */
  transition(task: TaskEntry, next: TaskEntryState, now: number, claim: Claim | null = null): void {
    if (task.state !== next && !TASK_TRANSITIONS[task.state].includes(next)) {
      throw new Error(`task ${task.name}: invalid state transition from ${task.state} to ${next}`);
    }
    if (task.claim !== null) task.claim.machine.claims.delete(task.name);
    task.claim = claim;
    if (claim !== null) claim.machine.claims.set(task.name, task);
    task.state = next;
    task.since = now;
    if (next === 'waiting') this.#addWaiting(task);
    else this.#removeWaiting(task);
    this.changes++;
  }

  #addWaiting(task: TaskEntry): void {
    const waiting = this.#waitingByJob.get(task.job.id);
    if (waiting === undefined) this.#waitingByJob.set(task.job.id, new Set([task]));
    else waiting.add(task);
    this.#wakes.post(task.job);
  }

  #removeWaiting(task: TaskEntry): void {
    const waiting = this.#waitingByJob.get(task.job.id);
    if (waiting?.delete(task) === true && waiting.size === 0) this.#waitingByJob.delete(task.job.id);
  }

  /** The jobs that may have waiting tasks, in the order of `jobOrder`. */
  wakes(): readonly Job[] {
    return this.#wakes.jobs();
  }

  /** The waiting tasks of the job; none if the job is cancelled. */
  *waitingTasks(job: Job): Generator<TaskEntry> {
    if (job.isCancelled) return;
    yield* this.#waitingByJob.get(job.id) ?? [];
  }

  /** The recovery scan: afterwards exactly the jobs with a waiting task have a wake. */
  recoverWakes(): void {
    this.#wakes.clear();
    for (const tasksByIndex of this.tasksByJob.values()) {
      for (const task of tasksByIndex.values()) {
        if (task.state !== 'waiting') continue;
        this.#wakes.post(task.job);
        break;
      }
    }
  }

  /** Makes uncertain tasks wait: after the fencing period no machine holds them, so they may be granted. */
  releaseUncertain(now: number): void {
    for (const tasksByIndex of this.tasksByJob.values()) {
      for (const task of tasksByIndex.values()) {
        if (task.state === 'uncertain') this.transition(task, 'waiting', now);
      }
    }
  }

  /** Updates the tasks of a job to match its record. Returns the tasks that are to be stopped from now on. */
  sync(id: string, now: number): readonly TaskEntry[] {
    const job = this.options.jobs.live.get(id);
    const tasksByIndex = this.tasksByJob.get(id) ?? new Map<number, TaskEntry>();
    const assigned = this.#assignedTasksOf(job);
    const stopped: TaskEntry[] = [];
    for (const task of [...tasksByIndex.values()]) {
      if (assigned.has(task.index) && task.job === job) continue;
      if (!this.#mustKeep(task, job)) this.#remove(task, tasksByIndex);
      else if (this.#withdraw(task)) stopped.push(task);
    }
    for (const [index, assignment] of assigned) {
      const task = tasksByIndex.get(index);
      if (task === undefined) this.#add(job!, index, assignment, tasksByIndex, now);
      else if (this.#reassign(task, assignment, now)) stopped.push(task);
    }
    if (tasksByIndex.size === 0) this.tasksByJob.delete(id);
    else this.tasksByJob.set(id, tasksByIndex);
    // The job's urgency may have changed with the urgency of a job that depends on it.
    this.#wakes.reorder();
    this.changes++;
    if (job?.isCancelled === true) stopped.push(...this.#cancel(job));
    return stopped;
  }

  /**
   * The unfinished tasks that the record assigns here, by index. Tasks assigned under a later term are left out: while
   * the watch cache is reloaded, assignments to the next owner may appear before the record of that owner does.
   */
  #assignedTasksOf(job: Job | undefined): Map<number, AssignedTask> {
    if (job === undefined) return new Map();
    return tasksAssignedTo(job, this.options.partitionId, this.options.term);
  }

  #add(job: Job, index: number, { zone, term }: AssignedTask, tasksByIndex: Map<number, TaskEntry>, now: number): void {
    const task: TaskEntry = {
      job,
      index,
      name: taskName(job.id, index),
      zone,
      term,
      state: 'uncertain',
      claim: null,
      since: now,
      notBefore: 0,
      failures: 0,
      plan: null,
      isRelocating: false,
      returningVersion: 0,
      startedGeneration: 0,
      isWithdrawn: false,
    };
    tasksByIndex.set(index, task);
    // No machine can hold a task yet that was assigned under this owner's term.
    if (term === this.options.term || this.options.isFencingOver()) this.transition(task, 'waiting', now);
  }

  #remove(task: TaskEntry, tasksByIndex: Map<number, TaskEntry>): void {
    // If a machine still runs the task, it becomes an orphaned task there, and the machine is sent a stop.
    if (task.claim !== null) task.claim.machine.claims.delete(task.name);
    this.#removeWaiting(task);
    tasksByIndex.delete(task.index);
    this.changes++;
  }

  /**
   * Whether the entry of a task that is not assigned here any more must be kept: a machine may hold the task, and
   * neither the task nor its job is finished. Without the entry and its claim, the task could be started again while it
   * runs.
   */
  #mustKeep(task: TaskEntry, job: Job | undefined): boolean {
    return task.claim !== null && task.job === job && !job.isFinished(task.index);
  }

  /**
   * Stops a claimed task that the record no longer assigns here, which is never expected. Returns false if the task is
   * being stopped already.
   */
  #withdraw(task: TaskEntry): boolean {
    if (!task.isWithdrawn) this.options.alarm('claimed task is not assigned here any more', { task: task.name });
    task.isWithdrawn = true;
    return this.#stop(task);
  }

  /**
   * Updates a known task to its newest assignment. Returns true if the task is to be stopped. The task may have been
   * returned and assigned again, to another zone, without this owner having seen the record in between.
   */
  #reassign(task: TaskEntry, { zone, term }: AssignedTask, now: number): boolean {
    task.isWithdrawn = false;
    task.term = term;
    task.zone = zone;
    // Only a newer record proves that the write that returns the task can no longer succeed.
    if (task.state === 'returning' && task.job.version !== task.returningVersion) this.transition(task, 'waiting', now);
    if (task.claim === null || zone === null || task.claim.machine.zone === zone) return false;
    this.options.alarm('claimed task is assigned to another zone', { task: task.name, zone });
    return this.#stop(task);
  }

  /** Stops a claimed task at once. Returns false if no machine holds it, or if it is being stopped already. */
  #stop(task: TaskEntry): boolean {
    if (task.claim === null || task.claim.stopGraceS === 0) return false;
    task.claim.stopGraceS = 0;
    return true;
  }

  /** Ends a claim whose end is proven. The task waits again, or is removed if it is not assigned here any more. */
  endClaim(task: TaskEntry, why: string, now: number): void {
    this.options.log('claim ended', { task: task.name, machine: task.claim?.machine.name, why });
    this.transition(task, 'waiting', now);
    const tasksByIndex = this.tasksByJob.get(task.job.id);
    if (!task.isWithdrawn || tasksByIndex === undefined) return;
    this.#remove(task, tasksByIndex);
    if (tasksByIndex.size === 0) this.tasksByJob.delete(task.job.id);
  }

  /** Ends all claims of a machine whose tasks are proven not to run any more. */
  endClaims(machine: Machine, now: number, why: string): void {
    for (const task of [...machine.claims.values()]) this.endClaim(task, why, now);
  }

  /**
   * Marks waiting tasks as being returned to the leader by a write that is conditional on the current version of their
   * job's record.
   */
  beginReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks) {
      if (task.state !== 'waiting') continue;
      this.transition(task, 'returning', now);
      task.returningVersion = task.job.version;
    }
  }

  /** Makes tasks wait again after a write that was to return them did not happen and never will. */
  cancelReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks) {
      if (task.state !== 'returning' || this.findTask(task.name) !== task) continue;
      this.transition(task, 'waiting', now);
    }
  }

  /** Stops all claimed tasks of the job; returns those that were not being stopped already. */
  #cancel(job: Job): TaskEntry[] {
    return [...(this.tasksByJob.get(job.id)?.values() ?? [])].filter((task) => this.#stop(task));
  }

  /** The task of this name; undefined if the name is malformed or the table has no such task. */
  findTask(taskName: string): TaskEntry | undefined {
    const parsed = parseTaskName(taskName);
    return parsed === null ? undefined : this.tasksByJob.get(parsed.job)?.get(parsed.index);
  }
}
