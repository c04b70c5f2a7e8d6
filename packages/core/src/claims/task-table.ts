/** The tasks of one partition and their states: which are assigned to it, which wait, and which machine holds which. */
import { parseTaskName, taskName } from '@gingerlock/wire';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import { type AssignedTask, tasksAssignedTo } from '../jobs/assigned-usage';
import type { Machine } from './machine-entry';
import { type Claim, type TaskEntry, TASK_TRANSITIONS, type TaskEntryState } from './task-entry';
import { WakeQueue } from './wake-queue';

/** What a task table is built from. */
export interface TaskTableOptions {
  readonly partitionId: number;
  /** Number of the owner's term. */
  readonly term: number;
  readonly jobs: JobTable;
  /** Whether no machine can hold a task of an earlier owner any more. */
  readonly isFencingOver: () => boolean;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** Is given what contradicts the safety argument, and so is never expected. */
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
}

/** The task entries of one partition. `transition` alone changes their states and claims. */
export class TaskTable {
  /** By job and task index. */
  readonly tasksByJob = new Map<string, Map<number, TaskEntry>>();
  /** Goes up with every change that alters free resources or waiting tasks. */
  changes = 0;
  readonly #wakes = new WakeQueue();

  constructor(readonly options: TaskTableOptions) {}

  /** Changes the state of a task, and its claim with it. Throws if `TASK_TRANSITIONS` has no such change. */
  transition(task: TaskEntry, next: TaskEntryState, now: number, claim: Claim | null = null): void {
    if (task.state !== next && !TASK_TRANSITIONS[task.state].includes(next)) {
      throw new Error(`task ${task.name}: no move from ${task.state} to ${next}`);
    }
    if (task.claim !== null) task.claim.machine.claims.delete(task.name);
    task.claim = claim;
    if (claim !== null) claim.machine.claims.set(task.name, task);
    task.state = next;
    task.since = now;
    if (next === 'waiting') this.#wakes.post(task.job);
    this.changes++;
  }

  /** The jobs that may have waiting tasks, in order. */
  wakes(): readonly Job[] {
    return this.#wakes.jobs();
  }

  /** The waiting tasks of the job; none of a cancelled one. */
  *waitingTasks(job: Job): Generator<TaskEntry> {
    if (job.isCancelled) return;
    for (const task of this.tasksByJob.get(job.id)?.values() ?? []) if (task.state === 'waiting') yield task;
  }

  /** The recovery scan: from now on the jobs that have a waiting task have a wake, and no others. */
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

  /** The fencing period is over: uncertain tasks are held by nobody and may be granted. */
  releaseUncertain(now: number): void {
    for (const tasksByIndex of this.tasksByJob.values()) {
      for (const task of tasksByIndex.values()) {
        if (task.state === 'uncertain') this.transition(task, 'waiting', now);
      }
    }
  }

  /** Brings the tasks of a job in line with its record. Returns those whose claims are to be stopped from now on. */
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
    // Its urgency may have changed, with that of a job that needs it.
    this.#wakes.reorder();
    this.changes++;
    if (job?.isCancelled === true) stopped.push(...this.#cancel(job));
    return stopped;
  }

  /**
   * The unfinished tasks that the record assigns here, by index. Not those that it assigns under a later term: while
   * the watch cache is read anew, assignments to the next owner may show before that owner's own record does.
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
      startedIn: 0,
      isWithdrawn: false,
    };
    tasksByIndex.set(index, task);
    // A task assigned under this owner's term can be held by nobody yet.
    if (term === this.options.term || this.options.isFencingOver()) this.transition(task, 'waiting', now);
  }

  #remove(task: TaskEntry, tasksByIndex: Map<number, TaskEntry>): void {
    // If a machine still runs it, it is an orphaned task there from now on, and the machine is sent a stop.
    if (task.claim !== null) task.claim.machine.claims.delete(task.name);
    tasksByIndex.delete(task.index);
    this.changes++;
  }

  /**
   * Whether a task that is not assigned here any more has to stay: a machine may hold it, and it is neither finished
   * nor is its job over. Without the entry and its claim, the task could be started again while it runs.
   */
  #mustKeep(task: TaskEntry, job: Job | undefined): boolean {
    return task.claim !== null && task.job === job && !job.isFinished(task.index);
  }

  /**
   * Has a claimed task stopped that the record no longer names, which is never expected; false: it is being stopped
   * already.
   */
  #withdraw(task: TaskEntry): boolean {
    if (!task.isWithdrawn) this.options.alarm('claimed task is not assigned here any more', { task: task.name });
    task.isWithdrawn = true;
    return this.#stop(task);
  }

  /**
   * Brings a known task in line with its newest assignment; true: its claim is to be stopped. The task may have been
   * returned and assigned anew, to another zone, without the record in between having been seen here.
   */
  #reassign(task: TaskEntry, { zone, term }: AssignedTask, now: number): boolean {
    task.isWithdrawn = false;
    task.term = term;
    task.zone = zone;
    // Only a newer record proves that the write under way can not be carried out any more.
    if (task.state === 'returning' && task.job.version !== task.returningVersion) this.transition(task, 'waiting', now);
    if (task.claim === null || zone === null || task.claim.machine.zone === zone) return false;
    this.options.alarm('claimed task is assigned to another zone', { task: task.name, zone });
    return this.#stop(task);
  }

  /** Has a claimed task stopped at once; false: no machine holds it, or it is being stopped already. */
  #stop(task: TaskEntry): boolean {
    if (task.claim === null || task.claim.stopGraceS === 0) return false;
    task.claim.stopGraceS = 0;
    return true;
  }

  /** The claim has ended, by proof: the task waits again, unless it is not assigned here any more. */
  claimEnded(task: TaskEntry, why: string, now: number): void {
    this.options.log('claim ended', { task: task.name, machine: task.claim?.machine.name, why });
    this.transition(task, 'waiting', now);
    const tasksByIndex = this.tasksByJob.get(task.job.id);
    if (!task.isWithdrawn || tasksByIndex === undefined) return;
    this.#remove(task, tasksByIndex);
    if (tasksByIndex.size === 0) this.tasksByJob.delete(task.job.id);
  }

  /** Ends all claims of a machine, by proof that none of its tasks runs any more. */
  endClaims(machine: Machine, now: number, why: string): void {
    for (const task of [...machine.claims.values()]) this.claimEnded(task, why, now);
  }

  /**
   * Marks waiting tasks as being returned to the leader, by a write that is conditional on the present version of their
   * job.
   */
  beginReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks) {
      if (task.state !== 'waiting') continue;
      this.transition(task, 'returning', now);
      task.returningVersion = task.job.version;
    }
  }

  /** Has tasks wait again whose return did not happen and never will. */
  cancelReturn(tasks: readonly TaskEntry[], now: number): void {
    for (const task of tasks) {
      if (task.state !== 'returning' || this.findTask(task.name) !== task) continue;
      this.transition(task, 'waiting', now);
    }
  }

  /** Has all claimed tasks of the job stopped; returns those that were not being stopped already. */
  #cancel(job: Job): TaskEntry[] {
    return [...(this.tasksByJob.get(job.id)?.values() ?? [])].filter((task) => this.#stop(task));
  }

  /** The task of this name; undefined: the name is malformed, or the task is not in the table. */
  findTask(taskName: string): TaskEntry | undefined {
    const parsed = parseTaskName(taskName);
    return parsed === null ? undefined : this.tasksByJob.get(parsed.job)?.get(parsed.index);
  }
}
