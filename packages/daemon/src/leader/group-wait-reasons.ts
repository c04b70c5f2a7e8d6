// Logs why waiting replica groups are not placed, with one line for each change of the reason.
import type { GroupWaitReason, Job } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';

/** The fields of a log line besides the reason. */
export interface GroupWaitDetail {
  readonly generation: number;
  readonly failures: number;
  /** When the backoff ends, as ISO 8601; null: the group has no record yet. */
  readonly backoffUntil: string | null;
  /** The machine that is chosen only if the group fits nowhere without it; null: the group avoids no machine. */
  readonly avoided: string | null;
  /** Names of machines that get no more work and are not chosen. */
  readonly draining: readonly string[];
}

/** A group that the last assignment did not place. */
export interface GroupWait {
  readonly job: Job;
  readonly why: GroupWaitReason;
  readonly detail: GroupWaitDetail;
}

interface LoggedReason {
  readonly why: GroupWaitReason;
  readonly at: number;
}

/** Logs why groups wait, with at most one line per group in a heartbeat interval. */
export class GroupWaitReasons {
  #loggedByJob = new Map<string, LoggedReason>();

  constructor(readonly context: ControllerContext) {}

  /** Logs changed reasons. `waits` contains all groups that the last assignment did not place. */
  update(waits: readonly GroupWait[], now: number): void {
    const previous = this.#loggedByJob;
    this.#loggedByJob = new Map();
    for (const wait of waits) this.#loggedByJob.set(wait.job.id, this.#logIfChanged(wait, previous, now));
  }

  /** Returns the reason that was logged last. */
  #logIfChanged(wait: GroupWait, previous: ReadonlyMap<string, LoggedReason>, now: number): LoggedReason {
    const { job, why, detail } = wait;
    const logged = previous.get(job.id);
    const isTooSoon = logged !== undefined && now - logged.at < this.context.clusterConfig.heartbeatIntervalMs;
    if (logged !== undefined && (logged.why === why || isTooSoon)) return logged;
    this.context.log.info({ job: job.id, team: job.spec.team, why, ...detail }, 'group not placed');
    return { why, at: now };
  }
}
