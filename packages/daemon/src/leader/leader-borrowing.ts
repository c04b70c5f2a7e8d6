// The leader's part in borrowing: has reclaims planned, puts them into its transactions with the rounds of the tasks
// that get the room, and says in the log how teams stand and why some get nothing.
import {
  ABANDONED_BOUNDS,
  type BorrowingSettings,
  borrowed,
  type Decision,
  heldBackGpus,
  lent,
  type PartitionClaims,
  planReclaims,
  reclaimBoundMs,
  type Refused,
  saveGraceS,
  type TeamAccount,
} from '@gingerlock/borrowing';
import {
  type Resources,
  type AssignmentResult,
  type Job,
  type PartitionStatus,
  STOP_MS,
  type OwnershipTerm,
} from '@gingerlock/core';
import { KEYS, type ReclaimRecord, parseTaskName } from '@gingerlock/wire';
import type { ClaimLists } from '../peers/claim-lists';
import { guaranteedGpus } from '../settings/features';
import type { ControllerContext } from '../controller/controller-context';

/** A list of claims counts for so many report intervals. */
const CLAIMS_INTERVALS = 2;

/** A reclaim that may be abandoned, with what its removal rests on. */
export interface AbandonedReclaim {
  readonly key: string;
  readonly version: number;
}

/** What a decision puts into the state service beside the job's record. */
export interface StoredReclaim {
  readonly key: string;
  readonly record: ReclaimRecord;
}

export interface LeaderView {
  readonly result: AssignmentResult;
  readonly statuses: readonly PartitionStatus[];
  /** Jobs that the transaction changes already. */
  readonly taken: ReadonlySet<string>;
  readonly most: number;
  readonly scaleOutMs: (job: Job) => number;
}

export class LeaderBorrowing {
  #counter = 0;
  /** By job: why nothing is got for it, since when, and whether the log says so. */
  #refusals = new Map<string, { readonly why: string; readonly since: number; isLogged: boolean }>();
  #loggedAt = -Infinity;
  #hasLoggedExcess = false;
  /** By partition: the revision at which the last of its reclaims ended. Older lists of claims show what it stopped. */
  readonly #endedAt = new Map<number, number>();

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    readonly settings: BorrowingSettings,
    readonly lists: ClaimLists,
  ) {}

  /** A reclaim of the partition has ended. */
  reclaimEnded(partitionId: number, revision: number): void {
    this.#endedAt.set(partitionId, Math.max(this.#endedAt.get(partitionId) ?? 0, revision));
  }

  /** By team: GPUs of its guarantee that others leave free for it. */
  heldBack(statuses: readonly PartitionStatus[]): Map<string, number> {
    const { clusterState, clusterConfig } = this.context;
    return heldBackGpus(clusterConfig, clusterState.jobs.live, this.#claims(statuses));
  }

  plan(view: LeaderView): readonly Decision[] {
    const { clusterState, clusterConfig, clock } = this.context;
    const plan = planReclaims({
      clusterConfig,
      settings: this.settings,
      jobs: clusterState.jobs.live,
      unschedulable: view.result.unschedulable.filter(({ job }) => !view.taken.has(job.id)),
      statuses: view.statuses,
      free: view.result.free,
      claims: this.#claims(view.statuses),
      pending: this.#pending(),
      most: view.most,
      scaleOutMs: view.scaleOutMs,
      stopMs: STOP_MS + clusterConfig.heartbeatIntervalMs / 2,
    });
    this.#logChanges(plan.refused, plan.accounts, clock.now());
    return plan.decisions;
  }

  #pending(): ReclaimRecord[] {
    return [...this.context.clusterState.reclaims.values()].flatMap((ofPartition) =>
      [...ofPartition.values()].map((r) => r.record),
    );
  }

  /** What machines hold, of the partitions of which that is known as it stands after all reclaims that have ended. */
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
    const decidedAt = Math.round(this.context.clock.wall());
    return {
      key: KEYS.reclaim(placements[0]!.partitionId, id),
      record: { machine, job: job.id, tasks, victims, decidedAt, reason },
    };
  }

  decided(decision: Decision, key: string): void {
    const { job, machine, tasks, victims, reason, loss } = decision;
    const detail = { reclaim: key, job: job.id, team: job.spec.team, machine, tasks: tasks.length, reason };
    const lostWorkS = Math.round(loss.work);
    this.context.log.info({ ...detail, victims: victims.map((v) => v.task), lostWorkS }, 'reclaim decided');
  }

  /** Reclaims that their owners have left standing for far longer than any may take. */
  abandoned(): AbandonedReclaim[] {
    const { clusterState, clock } = this.context;
    const wall = clock.wall();
    const found: AbandonedReclaim[] = [];
    for (const [partitionId, ofPartition] of clusterState.reclaims) {
      for (const [id, { record, version }] of ofPartition) {
        const boundMs = this.#boundMs(record) * ABANDONED_BOUNDS;
        if (wall - record.decidedAt > boundMs) found.push({ key: KEYS.reclaim(partitionId, id), version });
      }
    }
    return found;
  }

  #boundMs({ victims }: ReclaimRecord): number {
    const { clusterState, clusterConfig } = this.context;
    const graces = victims.map(({ task: taskName }) => {
      const job = clusterState.jobs.live.get(parseTaskName(taskName)?.job ?? '');
      return job === undefined ? 0 : saveGraceS(job.spec);
    });
    return reclaimBoundMs(clusterConfig, Math.max(0, ...graces));
  }

  // --- the log -----------------------------------------------------------------------------------------------------

  #logChanges(refused: readonly Refused[], accounts: readonly TeamAccount[], now: number): void {
    const before = this.#refusals;
    this.#refusals = new Map();
    for (const refusal of refused) {
      const { job, why } = refusal;
      const known = before.get(job.id);
      const entry = known?.why === why ? known : { why, since: now, isLogged: false };
      this.#refusals.set(job.id, entry);
      // What changes within moments says nothing to anybody.
      if (entry.isLogged || now - entry.since < this.context.clusterConfig.heartbeatIntervalMs) continue;
      entry.isLogged = true;
      this.#logRefused(refusal);
    }
    if (now - this.#loggedAt < this.context.clusterConfig.workerLeaseMs) return;
    this.#loggedAt = now;
    for (const account of accounts) this.context.log.info(accountFigures(account), 'team account');
    this.#logExcessGuarantees();
  }

  #logRefused({ job, tasks, why, account }: Refused): void {
    const detail = { job: job.id, tasks, gpus: job.spec.gpus, why, ...accountFigures(account) };
    this.context.log.info(detail, 'nothing reclaimed');
  }

  /** Guarantees that no fleet within the operators' bounds can keep. */
  #logExcessGuarantees(): void {
    const { clusterConfig, clusterState, settings, log } = this.context;
    const { maxOrdinaryMachines, maxSpotMachines } = settings.operators;
    const largest = Math.max(0, ...[...clusterState.types.values()].map((type) => type.gpus));
    const most = (maxOrdinaryMachines + maxSpotMachines) * largest;
    const guaranteed = guaranteedGpus(clusterConfig);
    if (this.#hasLoggedExcess || largest === 0 || guaranteed <= most) return;
    this.#hasLoggedExcess = true;
    log.error({ field: 'facts.teams.gpus', guaranteed, most }, 'guarantees exceed the largest possible fleet');
  }
}

/** How a team stands, for a line of the log. */
export function accountFigures(account: TeamAccount): Record<string, number | string> {
  const { team, low, high, waiting } = account;
  const gpusOf = (resources: Resources): number => Math.round(resources.gpus * 1000) / 1000;
  return {
    team: team.name,
    guarantee: team.gpus,
    limit: team.gpusMax,
    runs: gpusOf(low),
    mayRun: gpusOf(high),
    waits: gpusOf(waiting),
    borrowed: borrowed(account, 'gpus'),
    lent: lent(account, 'gpus'),
  };
}
