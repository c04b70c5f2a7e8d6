// The tasks of one partition and their states: which are assigned to it, which wait, and which machine holds which.
import { parseTaskName, taskName } from '@gingerlock/wire';
import type { Job } from '../jobs/jobs';
import type { JobTable } from '../jobs/job-table';
import { type AssignedTask, tasksAssignedTo } from '../jobs/assigned-usage';
import { type Claim, type TaskEntry, TASK_TRANSITIONS, type TaskEntryState } from './task-entry';
import { WakeQueue } from './wake-queue';

export interface TaskTableOptions {
  readonly partitionId: number;
  readonly term: number;
  readonly jobs: JobTable;
  /** Whether no machine can hold a task of an earlier owner any more. */
  readonly isFencingOver: () => boolean;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  readonly alarm: (message: string, detail: Record<string, unknown>) => void;
}

export class TaskTable {
  readonly tasksByJob = new Map<string, Map<number, TaskEntry>>();
  /** Goes up with every change that alters rooms or waiting tasks. */
  changes = 0;
  readonly #wakes = new WakeQueue();

  constructor(readonly options: TaskTableOptions) {}

  /** The one function that changes a slot's state. */
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

  *waitingTasks(job: Job): Generator<TaskEntry> {
    if (job.cancelled) return;
    for (const task of this.tasksByJob.get(job.id)?.values() ?? []) if (task.state === 'waiting') yield task;
  }

  /** The recovery scan: posts every job that has a waiting task and no wake, drops wakes that have none. */
  scan(): void {
    this.#wakes.clear();
    for (const tasksByIndex of this.tasksByJob.values()) {
      for (const task of tasksByIndex.values()) {
        if (task.state === 'waiting') {
          this.#wakes.post(task.job);
          break;
        }
      }
    }
  }

  /** Brings the slots of a job in line with its record. Returns the claims that are to be stopped from now on. */
  sync(id: string, now: number): readonly TaskEntry[] {
    const job = this.options.jobs.live.get(id);
    const tasksByIndex = this.tasksByJob.get(id) ?? new Map<number, TaskEntry>();
    // Assigned to an owner after this one: while all is read anew that may show before the owner's own record does.
    const assigned =
      job === undefined
        ? new Map<number, AssignedTask>()
        : tasksAssignedTo(job, this.options.partitionId, this.options.term);
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
    // Its urgency may be another one now: that of a job that needs it.
    this.#wakes.reorder();
    this.changes++;
    if (job?.cancelled === true) stopped.push(...this.#cancel(job));
    return stopped;
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
      withdrawn: false,
    };
    tasksByIndex.set(index, task);
    // A task assigned under this owner's term can be held by nobody yet.
    if (term === this.options.term || this.options.isFencingOver()) this.transition(task, 'waiting', now);
  }

  #remove(task: TaskEntry, tasksByIndex: Map<number, TaskEntry>): void {
    // Not in the table any more: if a machine runs it still, it is a stray there and is told to stop.
    if (task.claim !== null) task.claim.machine.claims.delete(task.name);
    tasksByIndex.delete(task.index);
    this.changes++;
  }

  /**
   * Whether a task that is not assigned here any more has to stay: a machine may hold it, and it is neither finished nor is its
   * job over. Entries were once dropped with their claims, and such a task could be started again while it ran.
   */
  #mustKeep(task: TaskEntry, job: Job | undefined): boolean {
    return task.claim !== null && task.job === job && !job.isFinished(task.index);
  }

  /** Has a claimed task stopped that the record no longer names, which is never expected; true: it was not before. */
  #withdraw(task: TaskEntry): boolean {
    if (!task.withdrawn) this.options.alarm('claimed task is not assigned here any more', { task: task.name });
    task.withdrawn = true;
    return this.#stop(task);
  }

  /**
   * Brings a known slot in line with the newest assignment of its task. It may have been given back and assigned anew, to
   * another zone, without the record in between having been seen: the zone of the first assignment was once kept.
   */
  #reassign(task: TaskEntry, { zone, term }: AssignedTask, now: number): boolean {
    task.withdrawn = false;
    task.term = term;
    task.zone = zone;
    // Only a newer record proves that the change under way can not happen any more.
    if (task.state === 'returning' && task.job.version !== task.returningVersion) this.transition(task, 'waiting', now);
    if (task.claim === null || zone === null || task.claim.machine.zone === zone) return false;
    this.options.alarm('claimed task is assigned to another zone', { task: task.name, zone });
    return this.#stop(task);
  }

  /** Has a claimed task stopped at once; false: it is being stopped already. */
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
    if (!task.withdrawn || tasksByIndex === undefined) return;
    this.#remove(task, tasksByIndex);
    if (tasksByIndex.size === 0) this.tasksByJob.delete(task.job.id);
  }

  #cancel(job: Job): TaskEntry[] {
    return [...(this.tasksByJob.get(job.id)?.values() ?? [])].filter((task) => this.#stop(task));
  }

  findTask(taskName: string): TaskEntry | undefined {
    const parsed = parseTaskName(taskName);
    return parsed === null ? undefined : this.tasksByJob.get(parsed.job)?.get(parsed.index);
  }
}
