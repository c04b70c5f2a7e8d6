/**
 * Reconciliation of a worker's heartbeat with the task table: which claims it confirms or ends, and which tasks the
 * worker is to stop or forget.
 */
import {
  type ExitCause,
  type MachineType,
  type ReportedTask,
  splitCommands,
  type TaskState,
  type WorkerCommand,
  type Heartbeat,
} from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Job } from '../jobs/jobs';
import type { FailureAttribution } from './failure-attribution';
import type { TaskTable } from './task-table';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/**
 * A machine that missed this many answers with starts in a row gets no starts for a worker lease. Answers are counted
 * and not starts, so that a machine does not stay idle for a whole lease after it missed one answer with two starts.
 */
const UNREACHABLE_AFTER_LOST_ANSWERS = 2;

/** A task that failed at least this often waits before its next start. */
const FAILURES_BEFORE_BACKOFF = 2;

/** The wait doubles with each further failure, at most this many times. */
const MAX_BACKOFF_DOUBLINGS = 4;

/** A machine without free resources for a granted task gets no starts for this many heartbeat intervals. */
const NO_ROOM_INTERVALS = 2;

/** States of a task that the machine still holds. */
type HeldState = Exclude<TaskState, 'exited'>;

/** What the worker is to do with a task that has exited. */
type ExitHandling = 'keep' | 'forget';

/** Applies the heartbeats of machines that have the owner's current token. */
export class HeartbeatReconciler {
  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly tasks: TaskTable,
    readonly failures: FailureAttribution,
    readonly typeOf: (machine: Machine) => MachineType | undefined,
    readonly alarm: (message: string, detail: Record<string, unknown>) => void,
  ) {}

  /**
   * Applies the task reports of a heartbeat; returns the commands to forget and to stop tasks, in this order. If they do
   * not all fit into one answer, stops come first and the next heartbeat is answered with the rest.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: number): WorkerCommand[] {
    this.#endUnlistedClaims(machine, heartbeat, now);
    const forget: WorkerCommand[] = [];
    for (const reported of heartbeat.tasks) {
      if (reported.state !== 'exited' || this.#reconcileExited(machine, reported, now) === 'keep') continue;
      forget.push({ op: 'forget', task: reported.task, attempt: reported.attempt });
    }
    const stop: WorkerCommand[] = [];
    for (const reported of heartbeat.tasks) {
      const graceS = reported.state === 'exited' ? null : this.#reconcileHeld(machine, reported, reported.state, now);
      if (graceS !== null) stop.push({ op: 'stop', task: reported.task, attempt: reported.attempt, graceS });
    }
    const messages = splitCommands([...forget, ...stop]);
    return messages.length <= 1 ? (messages[0] ?? []) : splitCommands([...stop, ...forget])[0]!;
  }

  /**
   * Ends the claims that the heartbeat does not list. A worker has one heartbeat in flight at a time and drops late
   * answers: a task that the last answer started and this heartbeat does not list has not started and never will.
   */
  #endUnlistedClaims(machine: Machine, heartbeat: Heartbeat, now: number): void {
    const listed = new Set(heartbeat.tasks.map((reported) => `${reported.task} ${reported.attempt}`));
    let hasLostStarts = false;
    for (const task of [...machine.claims.values()]) {
      if (listed.has(`${task.name} ${task.claim!.attempt}`)) continue;
      const isLostStart = task.claim!.stage === 'granted';
      hasLostStarts ||= isLostStart;
      this.tasks.endClaim(task, isLostStart ? 'start was lost' : 'not reported any more', now);
    }
    if (hasLostStarts && ++machine.unacknowledgedAnswers >= UNREACHABLE_AFTER_LOST_ANSWERS) {
      machine.unreachableUntil = now + this.clusterConfig.workerLeaseMs;
    }
  }

  /**
   * Applies the report of a task that the machine holds. Returns the seconds that the task gets for its checkpoint if
   * the worker is to stop it, and null if no stop is to be sent.
   */
  #reconcileHeld(machine: Machine, reported: ReportedTask, state: HeldState, now: number): number | null {
    const task = this.tasks.findTask(reported.task);
    if (task !== undefined && task.claim === null && task.state !== 'finishing')
      this.#adopt(machine, task, reported, state, now);
    if (task?.claim?.machine !== machine || task.claim.attempt !== reported.attempt) return 0;
    const { claim } = task;
    if (claim.stage === 'granted') machine.unacknowledgedAnswers = 0;
    if (claim.stage !== state) {
      claim.stage = state;
      if (state === 'running') claim.runningSince ??= now;
      this.useImage(machine, task.job);
    }
    const isSaving = state === 'saving' && claim.stopGraceS !== 0;
    return isSaving ? null : claim.stopGraceS;
  }

  /** Claims a task for the machine on which it was started under an earlier owner. */
  #adopt(machine: Machine, task: TaskEntry, reported: ReportedTask, state: HeldState, now: number): void {
    if (task.state !== 'uncertain')
      this.alarm('task that was free to start is running', { task: task.name, on: machine.name });
    this.tasks.transition(task, 'claimed', now, {
      machine,
      attempt: reported.attempt,
      agentEpoch: machine.agentEpoch,
      grantedAt: now,
      stage: state,
      runningSince: state === 'running' ? now : null,
      stopGraceS: task.job.isCancelled ? 0 : null,
    });
    this.useImage(machine, task.job);
  }

  /**
   * Applies the report of an exited task. Returns `keep` if the worker must not forget the task yet, because its
   * completion is not written to the key-value store yet.
   */
  #reconcileExited(machine: Machine, reported: ReportedTask, now: number): ExitHandling {
    const task = this.tasks.findTask(reported.task);
    if (task === undefined) return 'forget';
    const isOwnAttempt = task.claim?.machine === machine && task.claim.attempt === reported.attempt;
    if (reported.cause === 'done' && task.job.spec.kind === 'array') {
      if (task.state === 'finishing') return 'keep';
      if (task.claim !== null && !isOwnAttempt) return 'forget';
      this.failures.recordCompletion(task.job.id, machine.name, now);
      this.tasks.transition(task, 'finishing', now);
      return 'keep';
    }
    if (!isOwnAttempt) return 'forget';
    this.#attributeFailure(machine, task, reported.cause ?? 'unrecognised', now);
    this.tasks.endClaim(task, `exited: ${reported.cause}`, now);
    return 'forget';
  }

  /** Applies the cause of a failed exit to the task, its job and the machine. */
  #attributeFailure(machine: Machine, task: TaskEntry, cause: ExitCause, now: number): void {
    // An unrecognised cause does not say whether the task failed or why: the task is started again, and neither the
    // machine nor the job is held responsible.
    if (cause === 'unrecognised')
      this.alarm('unknown exit cause', { field: 'cause', task: task.name, machine: machine.name });
    // A member may fail because another member did. The group ends as a whole, and is started again on a schedule of
    // its own.
    if (task.job.isGroup && cause !== 'no_room') return;
    if (cause === 'error' || cause === 'unknown' || cause === 'unrecognised') {
      const runningSince = task.claim?.runningSince ?? now;
      if (cause === 'error') this.failures.recordFailure(task.job.id, machine.name, now - runningSince, now);
      task.failures++;
      task.notBefore = now + this.#backoffMs(task.failures);
    } else if (cause === 'no_room') {
      machine.unreachableUntil = now + this.clusterConfig.heartbeatIntervalMs * NO_ROOM_INTERVALS;
    }
  }

  /** How long a task waits for its next start after this many failures, in milliseconds. */
  #backoffMs(failures: number): number {
    if (failures < FAILURES_BEFORE_BACKOFF) return 0;
    const doublings = Math.min(failures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_DOUBLINGS);
    return this.clusterConfig.heartbeatIntervalMs * 2 ** doublings;
  }

  /** Records that the machine fetches or already has the image of the job. */
  useImage(machine: Machine, { spec }: Job): void {
    machine.cache.use(spec.image, spec.imageGb, this.typeOf(machine)?.cacheGb ?? 0);
  }
}
