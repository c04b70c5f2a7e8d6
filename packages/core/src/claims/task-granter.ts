/** Grants waiting tasks to the machine whose heartbeat is being answered. */
import type { WorkerCommand } from '@gingerlock/wire';
import type { AttemptNumbers } from './attempt-numbers';
import type { ClaimView } from './claim-view';
import { GrantCapacity } from './grant-capacity';
import { grantableTasks } from './granting';
import type { HeartbeatReconciler } from './heartbeat-reconciler';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';
import type { TaskTable } from './task-table';

/** Turns waiting tasks into claims, each under an attempt number of its own. */
export class TaskGranter {
  constructor(
    readonly view: ClaimView,
    readonly tasks: TaskTable,
    readonly reconciler: HeartbeatReconciler,
    readonly attemptNumbers: AttemptNumbers,
  ) {}

  /**
   * Grants waiting tasks to the machine as far as it can take them now; returns the starts to send. A machine outside
   * the stored membership gets none, because a new owner would not wait for its heartbeat.
   */
  grant(machine: Machine, now: number): WorkerCommand[] {
    const starts: WorkerCommand[] = [];
    if (!machine.isMember || !this.view.mayTakeWork(machine, now)) return starts;
    const capacity = new GrantCapacity(this.view.freeResources(machine), this.view.reservations, machine.name);
    for (const task of grantableTasks(this.view, machine, capacity, now)) {
      if (this.attemptNumbers.isExhausted) break;
      starts.push(this.#grantTask(machine, task, now));
      capacity.take(task);
    }
    return starts;
  }

  #grantTask(machine: Machine, task: TaskEntry, now: number): WorkerCommand {
    const attempt = this.attemptNumbers.next();
    const cached = machine.cache.has(task.job.spec.image);
    const waitedMs = Math.round(now - task.since);
    this.tasks.transition(task, 'claimed', now, {
      machine,
      attempt,
      agentEpoch: machine.agentEpoch,
      grantedAt: now,
      stage: 'granted',
      runningSince: null,
      stopGraceS: null,
    });
    task.isRelocating = false;
    task.startedGeneration = this.view.members.generationOf(task.job);
    this.view.log('task granted', { task: task.name, machine: machine.name, attempt, cached, waitedMs });
    this.reconciler.useImage(machine, task.job);
    return { op: 'start', task: task.name, attempt };
  }
}
