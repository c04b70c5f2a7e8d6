// What a worker's report says of its tasks, and what it has to stop and forget for it.
import type { ExitCause, MachineType, ReportedTask, TaskState, WorkerCommand, WorkerReport } from '@gingerlock/wire';
import type { ClusterConfig } from './facts';
import type { FailureAttribution } from './failure-attribution';
import type { Job } from './jobs';
import type { SlotTable } from './slot-table';
import type { Machine, Slot } from './slots';

/**
 * A machine that did not get so many answers in a row that had starts in them gets no more for a lease. The starts of one lost answer
 * were once counted one by one: a machine that missed a single answer with two starts was left idle for a whole lease.
 */
const DEAF_ANSWERS = 2;

/** States of a task that the machine has not done with. */
type HeldState = Exclude<TaskState, 'exited'>;

/** Takes the reports of machines that are synchronised with the owner. */
export class ReportIntake {
  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly tasks: SlotTable,
    readonly failures: FailureAttribution,
    readonly typeOf: (machine: Machine) => MachineType | undefined,
    readonly alarm: (message: string, detail: Record<string, unknown>) => void,
  ) {}

  /** Takes what a synchronised worker says of its tasks; returns what it has to stop and forget. */
  take(m: Machine, r: WorkerReport, now: number): WorkerCommand[] {
    this.#endUnlisted(m, r, now);
    const forget: WorkerCommand[] = [];
    for (const reported of r.tasks) {
      if (reported.state !== 'exited' || this.#exited(m, reported, now)) continue;
      forget.push({ op: 'forget', task: reported.task, attempt: reported.attempt });
    }
    const stop: WorkerCommand[] = [];
    for (const reported of r.tasks) {
      const graceS = reported.state === 'exited' ? null : this.#takeHeld(m, reported, reported.state, now);
      if (graceS !== null) stop.push({ op: 'stop', task: reported.task, attempt: reported.attempt, graceS });
    }
    return [...forget, ...stop];
  }

  /**
   * Ends the claims that the report lacks. One report is in flight at a time, and an answer is dropped after its time: what the last answer
   * started and this later report lacks has not started and will not.
   */
  #endUnlisted(m: Machine, r: WorkerReport, now: number): void {
    const listed = new Set(r.tasks.map((reported) => `${reported.task} ${reported.attempt}`));
    let hasLostStarts = false;
    for (const slot of [...m.claims.values()]) {
      if (listed.has(`${slot.name} ${slot.claim!.attempt}`)) continue;
      const lost = slot.claim!.stage === 'granted';
      hasLostStarts ||= lost;
      this.tasks.claimEnded(slot, lost ? 'start was lost' : 'not reported any more', now);
    }
    if (hasLostStarts && ++m.lostAnswers >= DEAF_ANSWERS) m.deafUntil = now + this.clusterConfig.workerLeaseMs;
  }

  /** Takes a task that the machine holds; returns the time that it gets for saving if it is to be stopped, null if it goes on. */
  #takeHeld(m: Machine, reported: ReportedTask, state: HeldState, now: number): number | null {
    const slot = this.tasks.slotOf(reported.task);
    if (slot !== undefined && slot.claim === null && slot.state !== 'finishing')
      this.#adopt(m, slot, reported, state, now);
    if (slot?.claim?.machine !== m || slot.claim.attempt !== reported.attempt) return 0;
    const { claim } = slot;
    if (claim.stage === 'granted') m.lostAnswers = 0;
    if (claim.stage !== state) {
      claim.stage = state;
      if (state === 'running') claim.runningSince ??= now;
      this.useImage(m, slot.job);
    }
    const isSaving = state === 'saving' && claim.stopGraceS !== 0;
    return isSaving ? null : claim.stopGraceS;
  }

  /** A task that the machine has held since an earlier owner's time. */
  #adopt(m: Machine, slot: Slot, reported: ReportedTask, state: HeldState, now: number): void {
    if (slot.state !== 'uncertain') this.alarm('a task that was free to start runs', { task: slot.name, on: m.name });
    this.tasks.move(slot, 'claimed', now, {
      machine: m,
      attempt: reported.attempt,
      session: m.session,
      grantedAt: now,
      stage: state,
      runningSince: state === 'running' ? now : null,
      stopGraceS: slot.job.cancelled ? 0 : null,
    });
    this.useImage(m, slot.job);
  }

  /** Takes an exited task; true if it must not be forgotten yet. */
  #exited(m: Machine, reported: ReportedTask, now: number): boolean {
    const slot = this.tasks.slotOf(reported.task);
    if (slot === undefined) return false;
    const ours = slot.claim?.machine === m && slot.claim.attempt === reported.attempt;
    if (reported.cause === 'done' && slot.job.spec.kind === 'array') {
      if (slot.state === 'finishing') return true;
      if (slot.claim !== null && !ours) return false;
      this.failures.completed(slot.job.id, m.name, now);
      this.tasks.move(slot, 'finishing', now);
      return true;
    }
    if (!ours) return false;
    this.#blame(m, slot, reported.cause ?? 'unrecognised', now);
    this.tasks.claimEnded(slot, `exited: ${reported.cause}`, now);
    return false;
  }

  #blame(m: Machine, slot: Slot, cause: ExitCause, now: number): void {
    // It says neither that the task failed nor why: the task is tried again, and nobody is at fault for it.
    if (cause === 'unrecognised')
      this.alarm('unknown cause of an exit', { field: 'cause', task: slot.name, machine: m.name });
    // A member may fail for another one: its group ends, and is tried again in its own time.
    if (slot.job.isGroup && cause !== 'no_room') return;
    if (cause === 'error' || cause === 'unknown' || cause === 'unrecognised') {
      const runningSince = slot.claim?.runningSince ?? now;
      if (cause === 'error') this.failures.failed(slot.job.id, m.name, now - runningSince, now);
      slot.failures++;
      const backoff = this.clusterConfig.heartbeatIntervalMs * 2 ** Math.min(slot.failures - 2, 4);
      slot.notBefore = slot.failures < 2 ? now : now + backoff;
    } else if (cause === 'no_room') {
      m.deafUntil = now + this.clusterConfig.heartbeatIntervalMs * 2;
    }
  }

  /** Notes that the machine fetches or has the image of the job. */
  useImage(m: Machine, { spec }: Job): void {
    m.cache.use(spec.image, spec.imageGb, this.typeOf(m)?.cacheGb ?? 0);
  }
}
