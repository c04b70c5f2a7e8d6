// Since when replica groups wait for machines, and the log lines on what each lacks.
import type { UnschedulableDemand } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';

/** A group that did not fit at the last assignment. */
interface WaitingGroup {
  readonly since: number;
  /** When the log last said so; at first, when the wait began. */
  loggedAt: number;
}

/** The groups that could have been placed but for lack of machines. */
export class WaitingGroups {
  #waitingByJob = new Map<string, WaitingGroup>();

  constructor(readonly context: ControllerContext) {}

  /** How long the job's group has been waiting, in milliseconds; null: it is not. */
  waitedMs(job: string, now: number): number | null {
    const waiting = this.#waitingByJob.get(job);
    return waiting === undefined ? null : now - waiting.since;
  }

  /** Takes in what the last assignment found unschedulable, and logs of each group from time to time what it lacks. */
  update(unschedulable: readonly UnschedulableDemand[], now: number): void {
    const before = this.#waitingByJob;
    this.#waitingByJob = new Map();
    for (const demand of unschedulable) {
      if (!demand.job.isGroup) continue;
      const waiting = before.get(demand.job.id) ?? { since: now, loggedAt: now };
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
