// Checks reclaims of GPUs against what really runs, from the moment at which each is stored to its end.
import { PRIORITIES, parseTaskName, type ReclaimRecord, reclaimRecord } from '@gingerlock/wire';
import { ABANDONED_BOUND_FACTOR } from '@gingerlock/borrowing';
import type { AuditedWorld } from './audited-world';
import type { ObservedStatus } from '../standins/users';

/** What is audited of a deployment, simulated or on loopback. */
export interface BorrowingAuditedWorld extends AuditedWorld {
  readonly users: {
    readonly observedByJob: ReadonlyMap<string, ObservedStatus>;
    /** Whether the job's user got the answer that it is cancelled. */
    isCancelled(observed: ObservedStatus): boolean;
  };
  readonly longestSaveMs: number;
  readonly guaranteedGpus: number;
  /** A team without a guarantee. */
  readonly guestTeam: string;
}

/** The prefix of the keys under which reclaims are stored. */
export const RECLAIM_PREFIX = 'g/b/';

/** The leader's view of what runs may be as old as this many heartbeat intervals. */
const VIEW_INTERVALS = 3;

/**
 * Once all faults are over, a reclaim may outlast its bound by this many heartbeat intervals, for a new leader to see
 * it.
 */
const SLACK_INTERVALS = 20;

/** GPUs that each team used at a moment. */
interface Sample {
  readonly at: number;
  readonly use: ReadonlyMap<string, number>;
}

/** Audits reclaims. */
export class BorrowingAudit {
  /** By key: the reclaims that are stored now, and since when. */
  readonly stored = new Map<string, { readonly record: ReclaimRecord; readonly since: number }>();
  /** How often each task was named as a victim. */
  readonly stops = new Map<string, number>();
  /** How many reclaims there have been. */
  decided = 0;
  #samples: Sample[] = [];

  constructor(readonly world: BorrowingAuditedWorld) {}

  /**
   * GPUs that each team's tasks hold now, those that fetch their images included, for jobs that are not known to be
   * cancelled.
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

  /** Checks all reclaims and takes a sample of what teams use; to be called periodically. */
  audit(quietAt: number): void {
    const { now } = this.world.sim;
    const before = now - this.world.heartbeatIntervalMs * VIEW_INTERVALS;
    this.#samples = this.#samples.filter((sample) => sample.at >= before);
    this.#samples.push({ at: now, use: this.useNow() });
    this.#watchStored(now);
    this.#checkEnds(now, quietAt);
  }

  #watchStored(now: number): void {
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
    for (const { task: taskName } of record.victims) this.stops.set(taskName, (this.stops.get(taskName) ?? 0) + 1);
    this.#checkPromisedOnce(key, record);
    this.#checkPriorities(key, record);
    this.#checkGuarantees(key, record);
  }

  /** One reclaim at a time for each machine and each task that it is for. */
  #checkPromisedOnce(key: string, { machine, job, tasks }: ReclaimRecord): void {
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
        this.world.reportViolation('replica_reclaimed', `${key}: ${taskName} is as urgent and of the same team`);
    }
  }

  /**
   * No team falls below its guarantee, or what it has work for, by all that is being stopped of it for others. What
   * it used at any time that the leader may still have seen counts: tasks that end by themselves meanwhile are not
   * the reclaim's doing.
   */
  #checkGuarantees(key: string, added: ReclaimRecord): void {
    const guarantee = this.world.guaranteedGpus;
    const beneficiary = this.world.job(added.job)!.team;
    const teams = new Set(
      added.victims.map(({ task: taskName }) => this.world.job(parseTaskName(taskName)!.job)!.team),
    );
    for (const team of teams) {
      if (team === beneficiary || team === this.world.guestTeam) continue;
      const most = Math.max(...this.#samples.map(({ use }) => use.get(team) ?? 0));
      const left = most - this.#stoppedOf(team);
      if (left < Math.min(guarantee, most) - 1e-9)
        this.world.reportViolation('below_guarantee', `${key}: ${team} is left ${left} of ${most}`);
    }
  }

  /** GPUs of the team's tasks that are named as victims and still hold something. */
  #stoppedOf(team: string): number {
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

  /** Once all faults are over, no reclaim stays for longer than a leader lets it. */
  #checkEnds(now: number, quietAt: number): void {
    const { cancellationBoundMs, heartbeatIntervalMs } = this.world;
    const boundMs =
      (cancellationBoundMs + this.world.longestSaveMs) * ABANDONED_BOUND_FACTOR + heartbeatIntervalMs * SLACK_INTERVALS;
    for (const [key, { since }] of this.stored) {
      if (now - Math.max(since, quietAt) > boundMs) this.world.reportViolation('endless_reclaim', key);
    }
  }
}
