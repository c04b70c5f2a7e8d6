// What a worker's report says of its tasks, and what it has to stop and forget for it.
import type { ExitCause, MachineType, ReportedTask, TaskState, WorkerCommand, Heartbeat } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { FailureAttribution } from './failure-attribution';
import type { Job } from '../jobs/jobs';
import type { TaskTable } from './task-table';
import type { Machine, TaskEntry } from './task-entry';

/**
 * A machine that did not get so many answers in a row that had starts in them gets no more for a lease. The starts of one lost answer
 * were once counted one by one: a machine that missed a single answer with two starts was left idle for a whole lease.
 */
const UNREACHABLE_AFTER_ANSWERS = 2;

/** States of a task that the machine has not done with. */
type HeldState = Exclude<TaskState, 'exited'>;

/** Takes the reports of machines that are synchronised with the owner. */
export class HeartbeatReconciler {
  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly tasks: TaskTable,
    readonly failures: FailureAttribution,
    readonly typeOf: (machine: Machine) => MachineType | undefined,
    readonly alarm: (message: string, detail: Record<string, unknown>) => void,
  ) {}

  /** Takes what a synchronised worker says of its tasks; returns what it has to stop and forget. */
  reconcile(m: Machine, heartbeat: Heartbeat, now: number): WorkerCommand[] {
    this.#endUnlisted(m, heartbeat, now);
    const forget: WorkerCommand[] = [];
    for (const reported of heartbeat.tasks) {
      if (reported.state !== 'exited' || this.#exited(m, reported, now)) continue;
      forget.push({ op: 'forget', task: reported.task, attempt: reported.attempt });
    }
    const stop: WorkerCommand[] = [];
    for (const reported of heartbeat.tasks) {
      const graceS = reported.state === 'exited' ? null : this.#reconcileHeld(m, reported, reported.state, now);
      if (graceS !== null) stop.push({ op: 'stop', task: reported.task, attempt: reported.attempt, graceS });
    }
    return [...forget, ...stop];
  }

  /**
   * Ends the claims that the report lacks. One report is in flight at a time, and an answer is dropped after its time: what the last answer
   * started and this later report lacks has not started and will not.
   */
  #endUnlisted(m: Machine, heartbeat: Heartbeat, now: number): void {
    const listed = new Set(heartbeat.tasks.map((reported) => `${reported.task} ${reported.attempt}`));
    let hasLostStarts = false;
    for (const task of [...m.claims.values()]) {
      if (listed.has(`${task.name} ${task.claim!.attempt}`)) continue;
      const lost = task.claim!.stage === 'granted';
      hasLostStarts ||= lost;
      this.tasks.claimEnded(task, lost ? 'start was lost' : 'not reported any more', now);
    }
    if (hasLostStarts && ++m.unacknowledgedAnswers >= UNREACHABLE_AFTER_ANSWERS)
      m.unreachableUntil = now + this.clusterConfig.workerLeaseMs;
  }

  /** Takes a task that the machine holds; returns the time that it gets for saving if it is to be stopped, null if it goes on. */
  #reconcileHeld(m: Machine, reported: ReportedTask, state: HeldState, now: number): number | null {
    const task = this.tasks.findTask(reported.task);
    if (task !== undefined && task.claim === null && task.state !== 'finishing')
      this.#adopt(m, task, reported, state, now);
    if (task?.claim?.machine !== m || task.claim.attempt !== reported.attempt) return 0;
    const { claim } = task;
    if (claim.stage === 'granted') m.unacknowledgedAnswers = 0;
    if (claim.stage !== state) {
      claim.stage = state;
      if (state === 'running') claim.runningSince ??= now;
      this.useImage(m, task.job);
    }
    const isSaving = state === 'saving' && claim.stopGraceS !== 0;
    return isSaving ? null : claim.stopGraceS;
  }

  /** A task that the machine has held since an earlier owner's time. */
  #adopt(m: Machine, task: TaskEntry, reported: ReportedTask, state: HeldState, now: number): void {
    if (task.state !== 'uncertain')
      this.alarm('task that was free to start is running', { task: task.name, on: m.name });
    this.tasks.transition(task, 'claimed', now, {
      machine: m,
      attempt: reported.attempt,
      agentEpoch: m.agentEpoch,
      grantedAt: now,
      stage: state,
      runningSince: state === 'running' ? now : null,
      stopGraceS: task.job.cancelled ? 0 : null,
    });
    this.useImage(m, task.job);
  }

  /** Takes an exited task; true if it must not be forgotten yet. */
  #exited(m: Machine, reported: ReportedTask, now: number): boolean {
    const task = this.tasks.findTask(reported.task);
    if (task === undefined) return false;
    const ours = task.claim?.machine === m && task.claim.attempt === reported.attempt;
    if (reported.cause === 'done' && task.job.spec.kind === 'array') {
      if (task.state === 'finishing') return true;
      if (task.claim !== null && !ours) return false;
      this.failures.completed(task.job.id, m.name, now);
      this.tasks.transition(task, 'finishing', now);
      return true;
    }
    if (!ours) return false;
    this.#attributeFailure(m, task, reported.cause ?? 'unrecognised', now);
    this.tasks.claimEnded(task, `exited: ${reported.cause}`, now);
    return false;
  }

  #attributeFailure(m: Machine, task: TaskEntry, cause: ExitCause, now: number): void {
    // It says neither that the task failed nor why: the task is tried again, and nobody is at fault for it.
    if (cause === 'unrecognised')
      this.alarm('unknown exit cause', { field: 'cause', task: task.name, machine: m.name });
    // A member may fail for another one: its group ends, and is tried again in its own time.
    if (task.job.isGroup && cause !== 'no_room') return;
    if (cause === 'error' || cause === 'unknown' || cause === 'unrecognised') {
      const runningSince = task.claim?.runningSince ?? now;
      if (cause === 'error') this.failures.failed(task.job.id, m.name, now - runningSince, now);
      task.failures++;
      const backoff = this.clusterConfig.heartbeatIntervalMs * 2 ** Math.min(task.failures - 2, 4);
      task.notBefore = task.failures < 2 ? now : now + backoff;
    } else if (cause === 'no_room') {
      m.unreachableUntil = now + this.clusterConfig.heartbeatIntervalMs * 2;
    }
  }

  /** Notes that the machine fetches or has the image of the job. */
  useImage(m: Machine, { spec }: Job): void {
    m.cache.use(spec.image, spec.imageGb, this.typeOf(m)?.cacheGb ?? 0);
  }
}
