// Tracks since when replica groups wait for machines, and logs what each of them lacks.
import type { UnschedulableDemand } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';

/** A group that did not fit at the last assignment. */
interface WaitingGroup {
  readonly since: number;
  /** Time of the last log line; before the first line, the start of the wait. */
  loggedAt: number;
}

/** The groups that were not placed for lack of machines. */
export class WaitingGroups {
  #waitingByJob = new Map<string, WaitingGroup>();

  constructor(readonly context: ControllerContext) {}

  /** How long the job's group has been waiting, in milliseconds; null: it is not waiting. */
  waitedMs(job: string, now: number): number | null {
    const waiting = this.#waitingByJob.get(job);
    return waiting === undefined ? null : now - waiting.since;
  }

  /** Takes the unschedulable demand of the last assignment, and logs once per worker lease what each group lacks. */
  update(unschedulable: readonly UnschedulableDemand[], now: number): void {
    const previous = this.#waitingByJob;
    this.#waitingByJob = new Map();
    for (const demand of unschedulable) {
      if (!demand.job.isGroup) continue;
      const waiting = previous.get(demand.job.id) ?? { since: now, loggedAt: now };
      this.#waitingByJob.set(demand.job.id, waiting);
      if (now - waiting.loggedAt < this.context.clusterConfig.workerLeaseMs) continue;
      waiting.loggedAt = now;
      this.#logUnschedulable(demand, now - waiting.since);
    }
  }

  #logUnschedulable({ job, count, zones }: UnschedulableDemand, waitedMs: number): void {
    const { team, tasks, cpus, gpus, memoryGb } = job.spec;
    const detail = { job: job.id, team, members: tasks, missing: count, each: { cpus, gpus, memoryGb }, zones };
    this.context.log.info({ ...detail, waitedMs: Math.round(waitedMs) }, 'group unschedulable');
  }
}
