// Checks each reclaim of GPUs against the tasks that actually run, from when it is stored until it is deleted.
import { PRIORITIES, parseTaskName, type ReclaimRecord, reclaimRecord } from '@gingerlock/wire';
import { ABANDONED_BOUND_FACTOR } from '@gingerlock/borrowing';
import type { ObservedStatus } from '../standins/users';
import type { AuditedWorld } from './audited-world';

/** The parts of a deployment that the borrowing audit reads. */
export interface BorrowingAuditedWorld extends AuditedWorld {
  readonly users: {
    readonly observedByJob: ReadonlyMap<string, ObservedStatus>;
    /** Whether the job's user received the answer that the job is cancelled. */
    isCancelled(observed: ObservedStatus): boolean;
  };
  readonly longestSaveMs: number;
  readonly guaranteedGpus: number;
  /** A team without a guarantee. */
  readonly guestTeam: string;
}

/** The prefix of the keys under which reclaims are stored. */
export const RECLAIM_PREFIX = 'g/b/';

/** The maximum age of the leader's view of running tasks, in heartbeat intervals. */
const LEADER_VIEW_INTERVALS = 3;

/** How far a reclaim may exceed its bound after all faults, in heartbeat intervals: a new leader must first read it. */
const SLACK_INTERVALS = 20;

/** The GPUs that each team used at one time. */
interface Sample {
  readonly at: number;
  readonly use: ReadonlyMap<string, number>;
}

/** Audits reclaims. */
export class BorrowingAudit {
  /** The reclaims that are stored now, and since when, by key. */
  readonly stored = new Map<string, { readonly record: ReclaimRecord; readonly since: number }>();
  /** How often each task was chosen as a victim, by task name. */
  readonly victimCounts = new Map<string, number>();
  /** The number of reclaims so far. */
  decided = 0;
  #samples: Sample[] = [];

  constructor(readonly world: BorrowingAuditedWorld) {}

  /**
   * The GPUs that each team's tasks hold now, including tasks that are fetching their images. Excludes jobs whose users
   * know that they are cancelled.
   */
  useNow(): Map<string, number> {
    const use = new Map<string, number>();
    const { users, workers } = this.world;
    for (const { tasks } of workers.values()) {
      for (const { task: taskName, state } of tasks.values()) {
        const observed = users.observedByJob.get(parseTaskName(taskName)!.job);
        if (state === 'exited' || observed === undefined || users.isCancelled(observed)) continue;
        use.set(observed.spec.team, (use.get(observed.spec.team) ?? 0) + observed.spec.gpus);
      }
    }
    return use;
  }

  /** Samples the GPU use of all teams and checks all reclaims. Called periodically. */
  audit(quietAt: number): void {
    const { now } = this.world.sim;
    const oldestAt = now - this.world.heartbeatIntervalMs * LEADER_VIEW_INTERVALS;
    this.#samples = this.#samples.filter((sample) => sample.at >= oldestAt);
    this.#samples.push({ at: now, use: this.useNow() });
    this.#updateStored(now);
    this.#checkEnds(now, quietAt);
  }

  #updateStored(now: number): void {
    const { data } = this.world.state;
    for (const key of this.stored.keys()) if (!data.has(key)) this.stored.delete(key);
    for (const [key, { value }] of data) {
      if (!key.startsWith(RECLAIM_PREFIX) || this.stored.has(key)) continue;
      const record = reclaimRecord.read(value);
      this.stored.set(key, { record, since: now });
      this.#checkNew(key, record);
    }
  }

  #checkNew(key: string, record: ReclaimRecord): void {
    this.decided++;
    this.world.recordOccurrence('reclaim');
    this.world.recordOccurrence(`reclaim by ${record.reason}`);
    for (const { task: taskName } of record.victims)
      this.victimCounts.set(taskName, (this.victimCounts.get(taskName) ?? 0) + 1);
    this.#checkConflicts(key, record);
    this.#checkPriorities(key, record);
    this.#checkGuarantees(key, record);
  }

  /** Checks that no other stored reclaim is on the same machine or for the same task. */
  #checkConflicts(key: string, { machine, job, tasks }: ReclaimRecord): void {
    for (const [other, { record }] of this.stored) {
      if (other === key) continue;
      const isSameTask = record.job === job && record.tasks.some((taskIndex) => tasks.includes(taskIndex));
      if (record.machine === machine || isSameTask) this.world.reportViolation('promised_twice', `${key} and ${other}`);
    }
  }

  #checkPriorities(key: string, record: ReclaimRecord): void {
    const beneficiary = this.world.job(record.job)!;
    const rank = PRIORITIES.indexOf(beneficiary.priority);
    for (const { task: taskName } of record.victims) {
      const victim = this.world.job(parseTaskName(taskName)!.job)!;
      const victimPriority = PRIORITIES.indexOf(victim.priority);
      const isReplica = victim.kind === 'service';
      const isHigher = beneficiary.kind === 'service' && victimPriority < rank;
      if (isReplica && (victim.priority === 'production' || isHigher))
        this.world.reportViolation('replica_reclaimed', `${key}: ${taskName}`);
      if (victimPriority <= rank && victim.team === beneficiary.team)
        this.world.reportViolation(
          'replica_reclaimed',
          `${key}: ${taskName} has no lower priority and is of the same team`,
        );
    }
  }

  /**
   * Checks that stopping all current victims leaves each team its guarantee, or all that it used if that is less. Use
   * is the team's peak within the maximum age of the leader's view, so that tasks that ended by themselves in the
   * meantime are not blamed on the reclaim.
   */
  #checkGuarantees(key: string, added: ReclaimRecord): void {
    const guarantee = this.world.guaranteedGpus;
    const beneficiary = this.world.job(added.job)!.team;
    const teams = new Set(
      added.victims.map(({ task: taskName }) => this.world.job(parseTaskName(taskName)!.job)!.team),
    );
    for (const team of teams) {
      if (team === beneficiary || team === this.world.guestTeam) continue;
      const peak = Math.max(...this.#samples.map(({ use }) => use.get(team) ?? 0));
      const remaining = peak - this.#gpusBeingStopped(team);
      if (remaining < Math.min(guarantee, peak) - 1e-9)
        this.world.reportViolation('below_guarantee', `${key}: ${team} keeps ${remaining} of ${peak} GPUs`);
    }
  }

  /** The GPUs held by those tasks of the team that are victims of a stored reclaim and have not exited. */
  #gpusBeingStopped(team: string): number {
    let gpus = 0;
    for (const { record } of this.stored.values()) {
      const held = this.world.workers.get(record.machine)?.tasks;
      for (const { task: taskName, attempt } of record.victims) {
        const spec = this.world.job(parseTaskName(taskName)!.job)!;
        const state = held?.get(`${taskName} ${attempt}`)?.state;
        if (spec.team === team && state !== undefined && state !== 'exited') gpus += spec.gpus;
      }
    }
    return gpus;
  }

  /** Checks that, once all faults are over, no reclaim stays stored past its bound. */
  #checkEnds(now: number, quietAt: number): void {
    const { cancellationBoundMs, heartbeatIntervalMs } = this.world;
    const boundMs =
      (cancellationBoundMs + this.world.longestSaveMs) * ABANDONED_BOUND_FACTOR + heartbeatIntervalMs * SLACK_INTERVALS;
    for (const [key, { since }] of this.stored) {
      if (now - Math.max(since, quietAt) > boundMs) this.world.reportViolation('endless_reclaim', key);
    }
  }
}
