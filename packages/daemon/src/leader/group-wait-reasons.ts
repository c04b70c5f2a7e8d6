// The log lines on why a replica group that waits is not placed, one for each change of the reason.
import type { GroupWaitReason, Job } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';

/** What the line says besides the reason. */
export interface GroupWaitDetail {
  readonly generation: number;
  readonly failures: number;
  /** Time of day, as ISO 8601; null: there was no generation yet. */
  readonly backoffUntil: string | null;
  /** The machine that is chosen only if there is no placement without it; null: none is. */
  readonly avoided: string | null;
  /** Machines that get no more work and are not chosen. */
  readonly draining: readonly string[];
}

/** A group that waits, as the last assignment has found it. */
export interface GroupWait {
  readonly job: Job;
  readonly why: GroupWaitReason;
  readonly detail: GroupWaitDetail;
}

interface LoggedReason {
  readonly why: GroupWaitReason;
  readonly at: number;
}

/** Logs the reasons for which groups wait. A group gets at most one line in a heartbeat interval. */
export class GroupWaitReasons {
  #loggedByJob = new Map<string, LoggedReason>();

  constructor(readonly context: ControllerContext) {}

  /** Takes in all groups that wait and were not placed. */
  update(waits: readonly GroupWait[], now: number): void {
    const before = this.#loggedByJob;
    this.#loggedByJob = new Map();
    for (const wait of waits) this.#loggedByJob.set(wait.job.id, this.#logIfChanged(wait, before, now));
  }

  /** Returns what was logged last. */
  #logIfChanged(wait: GroupWait, before: ReadonlyMap<string, LoggedReason>, now: number): LoggedReason {
    const { job, why, detail } = wait;
    const logged = before.get(job.id);
    const isTooSoon = logged !== undefined && now - logged.at < this.context.clusterConfig.heartbeatIntervalMs;
    if (logged !== undefined && (logged.why === why || isTooSoon)) return logged;
    this.context.log.info({ job: job.id, team: job.spec.team, why, ...detail }, 'group not placed');
    return { why, at: now };
  }
}
