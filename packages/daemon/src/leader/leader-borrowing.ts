// Borrowing at the leader: plans reclaims from the claims in the partitions, names the records of the reclaims, and
// finds abandoned reclaims.
import {
  ABANDONED_BOUND_FACTOR,
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

/** Number of heartbeat intervals for which a list of claims counts as current. */
const CLAIMS_MAX_AGE_INTERVALS = 2;

/** A reclaim that its owner has abandoned: the key of its record, and the version that its removal requires. */
export interface AbandonedReclaim {
  readonly key: string;
  readonly version: number;
}

/** The record that a decision adds to the key-value store, besides changing the job's record. */
export interface StoredReclaim {
  readonly key: string;
  readonly record: ReclaimRecord;
}

/** The input for planning the reclaims of one transaction. */
export interface ReclaimView {
  readonly result: AssignmentResult;
  readonly statuses: readonly PartitionStatus[];
  /** Ids of the jobs that the transaction already changes. */
  readonly changedJobs: ReadonlySet<string>;
  readonly maxReclaims: number;
  /** Time until a machine that is scaled out now could run a task of the job, in milliseconds; Infinity: never. */
  readonly scaleOutMs: (job: Job) => number;
}

/** Decides on reclaims during one term of leadership. */
export class LeaderBorrowing {
  readonly #log: BorrowingLog;
  /** Number of reclaim names given in this term. */
  #reclaimCount = 0;
  /** By partition: the revision at which its last reclaim ended. Older lists of claims still show the stopped tasks. */
  readonly #endRevisions = new Map<number, number>();

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    readonly settings: BorrowingSettings,
    readonly claimLists: ClaimLists,
  ) {
    this.#log = new BorrowingLog(context);
  }

  /** Records that a reclaim of the partition has ended at the revision. */
  reclaimEnded(partitionId: number, revision: number): void {
    this.#endRevisions.set(partitionId, Math.max(this.#endRevisions.get(partitionId) ?? 0, revision));
  }

  /** By team: GPUs of its guarantee that are held back from other teams. */
  heldBack(statuses: readonly PartitionStatus[]): Map<string, number> {
    const { clusterState, clusterConfig } = this.context;
    return heldBackGpus(clusterConfig, clusterState.jobs.live, this.#claims(statuses));
  }

  /** Decides which tasks to preempt for unschedulable tasks of teams below their guarantees. */
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

  /** The records of the reclaims in progress. */
  #pending(): ReclaimRecord[] {
    return [...this.context.clusterState.reclaims.values()].flatMap((ofPartition) =>
      [...ofPartition.values()].map(({ record }) => record),
    );
  }

  /** The claims in those partitions whose list of claims is current and reflects all reclaims that have ended. */
  #claims(statuses: readonly PartitionStatus[]): PartitionClaims[] {
    const { clock, clusterConfig } = this.context;
    const terms = new Map(statuses.map(({ partitionId, term }) => [partitionId, term]));
    return this.claimLists
      .since(clock.now() - clusterConfig.heartbeatIntervalMs * CLAIMS_MAX_AGE_INTERVALS)
      .filter(
        ({ partitionId, term, revision }) =>
          terms.get(partitionId) === term && revision >= (this.#endRevisions.get(partitionId) ?? 0),
      );
  }

  /** The record of a decision. Its name is never reused, because it contains the leader's term. */
  recordOf({ job, tasks, machine, victims, reason, placements }: Decision): StoredReclaim {
    const id = `${this.ownershipTerm.term}-${++this.#reclaimCount}`;
    const decidedAt = Math.round(this.context.clock.wallNow());
    return {
      key: KEYS.reclaim(placements[0]!.partitionId, id),
      record: { machine, job: job.id, tasks, victims, decidedAt, reason },
    };
  }

  /** Logs a committed decision; `key` is that of the reclaim's record. */
  decided(decision: Decision, key: string): void {
    const { job, machine, tasks, victims, reason, loss } = decision;
    const detail = { reclaim: key, job: job.id, team: job.spec.team, machine, tasks: tasks.length, reason };
    const lostWorkS = Math.round(loss.work);
    this.context.log.info(
      { ...detail, victims: victims.map(({ task: taskName }) => taskName), lostWorkS },
      'reclaim decided',
    );
  }

  /** The abandoned reclaims: those stored for longer than `ABANDONED_BOUND_FACTOR` times the longest that they may take. */
  abandoned(): AbandonedReclaim[] {
    const { clusterState, clock } = this.context;
    const wallNow = clock.wallNow();
    const found: AbandonedReclaim[] = [];
    for (const [partitionId, ofPartition] of clusterState.reclaims) {
      for (const [id, { record, version }] of ofPartition) {
        const boundMs = this.#boundMs(record) * ABANDONED_BOUND_FACTOR;
        if (wallNow - record.decidedAt > boundMs) found.push({ key: KEYS.reclaim(partitionId, id), version });
      }
    }
    return found;
  }

  /** The longest that the reclaim may take, including the longest save of its victims, in milliseconds. */
  #boundMs({ victims }: ReclaimRecord): number {
    const { clusterState, clusterConfig } = this.context;
    const gracesS = victims.map(({ task: taskName }) => {
      const job = clusterState.jobs.live.get(parseTaskName(taskName)?.job ?? '');
      return job === undefined ? 0 : saveGraceS(job.spec);
    });
    return reclaimBoundMs(clusterConfig, Math.max(0, ...gracesS));
  }
}
