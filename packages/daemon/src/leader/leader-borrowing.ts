// Borrowing at the leader: has reclaims planned from what partitions hold, names their records, and finds those that
// were abandoned.
import {
  ABANDONED_BOUNDS,
  type BorrowingSettings,
  type Decision,
  heldBackGpus,
  type PartitionClaims,
  planReclaims,
  reclaimBoundMs,
  saveGraceS,
} from '@gingerlock/borrowing';
import { type AssignmentResult, type Job, type PartitionStatus, STOP_MS, type OwnershipTerm } from '@gingerlock/core';
import { KEYS, type ReclaimRecord, parseTaskName } from '@gingerlock/wire';
import type { ClaimLists } from '../peers/claim-lists';
import type { ControllerContext } from '../controller/controller-context';
import { BorrowingLog } from './borrowing-log';

/** For how many heartbeat intervals a list of claims counts as current. */
const CLAIMS_INTERVALS = 2;

/** A reclaim that may be abandoned, with what its removal rests on. */
export interface AbandonedReclaim {
  readonly key: string;
  readonly version: number;
}

/** What a decision adds to the key-value store beside the job's record. */
export interface StoredReclaim {
  readonly key: string;
  readonly record: ReclaimRecord;
}

/** What reclaims are planned from, for one transaction of the leader. */
export interface ReclaimView {
  readonly result: AssignmentResult;
  readonly statuses: readonly PartitionStatus[];
  /** Jobs that the transaction changes already. */
  readonly changedJobs: ReadonlySet<string>;
  readonly maxReclaims: number;
  /** How long until a machine that is scaled out now could run a task of the job, in milliseconds. */
  readonly scaleOutMs: (job: Job) => number;
}

/** The decisions on reclaims of one term of leadership. */
export class LeaderBorrowing {
  readonly #log: BorrowingLog;
  /** Numbers the reclaims of this term. */
  #counter = 0;
  /** By partition: the revision at which the last of its reclaims ended. Older lists of claims show what it stopped. */
  readonly #endedAt = new Map<number, number>();

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    readonly settings: BorrowingSettings,
    readonly lists: ClaimLists,
  ) {
    this.#log = new BorrowingLog(context);
  }

  /** A reclaim of the partition has ended. */
  reclaimEnded(partitionId: number, revision: number): void {
    this.#endedAt.set(partitionId, Math.max(this.#endedAt.get(partitionId) ?? 0, revision));
  }

  /** By team: GPUs of its guarantee that others leave free for it. */
  heldBack(statuses: readonly PartitionStatus[]): Map<string, number> {
    const { clusterState, clusterConfig } = this.context;
    return heldBackGpus(clusterConfig, clusterState.jobs.live, this.#claims(statuses));
  }

  /** Decides which tasks are stopped for unschedulable ones of teams that are below their guarantees. */
  plan(view: ReclaimView): readonly Decision[] {
    const { clusterState, clusterConfig, clock } = this.context;
    const { decisions, refused, accounts } = planReclaims({
      clusterConfig,
      settings: this.settings,
      jobs: clusterState.jobs.live,
      unschedulable: view.result.unschedulable.filter(({ job }) => !view.changedJobs.has(job.id)),
      statuses: view.statuses,
      free: view.result.free,
      claims: this.#claims(view.statuses),
      pending: this.#pending(),
      maxDecisions: view.maxReclaims,
      scaleOutMs: view.scaleOutMs,
      stopMs: STOP_MS + clusterConfig.heartbeatIntervalMs / 2,
    });
    this.#log.record(refused, accounts, clock.now());
    return decisions;
  }

  /** The reclaims that are stored and not over. */
  #pending(): ReclaimRecord[] {
    return [...this.context.clusterState.reclaims.values()].flatMap((ofPartition) =>
      [...ofPartition.values()].map(({ record }) => record),
    );
  }

  /** What machines hold, of the partitions whose list of claims is current and shows all reclaims that have ended. */
  #claims(statuses: readonly PartitionStatus[]): PartitionClaims[] {
    const { clock, clusterConfig } = this.context;
    const terms = new Map(statuses.map(({ partitionId, term }) => [partitionId, term]));
    return this.lists
      .since(clock.now() - clusterConfig.heartbeatIntervalMs * CLAIMS_INTERVALS)
      .filter(
        ({ partitionId, term, revision }) =>
          terms.get(partitionId) === term && revision >= (this.#endedAt.get(partitionId) ?? 0),
      );
  }

  /** The record of a decision, under a name that is never used again: it carries the leader's term. */
  recordOf({ job, tasks, machine, victims, reason, placements }: Decision): StoredReclaim {
    const id = `${this.ownershipTerm.term}-${++this.#counter}`;
    const decidedAt = Math.round(this.context.clock.wallNow());
    return {
      key: KEYS.reclaim(placements[0]!.partitionId, id),
      record: { machine, job: job.id, tasks, victims, decidedAt, reason },
    };
  }

  /** The decision was committed, with the reclaim's record at `key`. */
  decided(decision: Decision, key: string): void {
    const { job, machine, tasks, victims, reason, loss } = decision;
    const detail = { reclaim: key, job: job.id, team: job.spec.team, machine, tasks: tasks.length, reason };
    const lostWorkS = Math.round(loss.work);
    this.context.log.info(
      { ...detail, victims: victims.map(({ task: taskName }) => taskName), lostWorkS },
      'reclaim decided',
    );
  }

  /** Reclaims that have been stored for far longer than carrying them out may take: their owners do not. */
  abandoned(): AbandonedReclaim[] {
    const { clusterState, clock } = this.context;
    const wall = clock.wallNow();
    const found: AbandonedReclaim[] = [];
    for (const [partitionId, ofPartition] of clusterState.reclaims) {
      for (const [id, { record, version }] of ofPartition) {
        const boundMs = this.#boundMs(record) * ABANDONED_BOUNDS;
        if (wall - record.decidedAt > boundMs) found.push({ key: KEYS.reclaim(partitionId, id), version });
      }
    }
    return found;
  }

  /** How long carrying the reclaim out may take, with the longest save of its victims. */
  #boundMs({ victims }: ReclaimRecord): number {
    const { clusterState, clusterConfig } = this.context;
    const gracesS = victims.map(({ task: taskName }) => {
      const job = clusterState.jobs.live.get(parseTaskName(taskName)?.job ?? '');
      return job === undefined ? 0 : saveGraceS(job.spec);
    });
    return reclaimBoundMs(clusterConfig, Math.max(0, ...gracesS));
  }
}
