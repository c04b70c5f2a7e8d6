// The leader: assigns waiting tasks to partitions and closes jobs, one transaction at a time, and scales the fleet. It
// sends no commands to workers.
import { type Http, URGENCY } from '@gingerlock/clients';
import {
  type AssignmentResult,
  assignTasks,
  type Job,
  type OwnershipTerm,
  type PartitionStatus,
  type UnschedulableDemand,
} from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import type { ReceivedStatus } from '../peers/partition-statuses';
import { addAssignments } from './assignment-changes';
import { AutoscalingLoop, type MachineDirectives } from './autoscaling-loop';
import { BorrowingFeature } from './borrowing-feature';
import { CrashLoopProbes } from './crash-loop-probes';
import { GroupsFeature } from './groups-feature';
import { immovableDemand } from './immovable-demand';
import { JobBatch } from './job-batch';
import { closeJobs } from './job-closing';
import type { LeaderBorrowing } from './leader-borrowing';
import {
  type AddedPlacements,
  type AssignmentRules,
  DEFAULT_ASSIGNMENT_RULES,
  type LeaderFeature,
} from './leader-feature';
import type { LeaderGroups } from './leader-groups';
import { PendingAssignments, type PlannedUse } from './pending-assignments';

/** Number of heartbeat intervals for which a partition's status counts as current. */
const STATUS_MAX_AGE_INTERVALS = 2;

/** One term of leadership of this controller. */
export class Leader {
  readonly #autoscaling: AutoscalingLoop;
  readonly #probes: CrashLoopProbes;
  /** The features that are on, in the order in which they change a transaction. */
  readonly #features: readonly LeaderFeature[];
  readonly #pendingAssignments = new PendingAssignments();
  /** Demand that the last transaction left, for which the autoscaler plans machines. */
  #unschedulable: readonly UnschedulableDemand[] = [];
  #isAssigning = false;
  #isStopped = false;

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    readonly statuses: () => readonly ReceivedStatus[],
    http: Http,
    /** Null: borrowing is off. */
    readonly borrowing: LeaderBorrowing | null,
    /** Null: replica groups are off. */
    readonly groups: LeaderGroups | null,
  ) {
    this.#probes = new CrashLoopProbes(context);
    this.#features = this.#enabledFeatures();
    this.#autoscaling = new AutoscalingLoop(context, ownershipTerm, http, {
      statuses: (now) => this.#currentStatuses(now),
      unschedulable: () => this.#unschedulable,
      pinned: () => new Set(this.#features.flatMap((feature) => [...feature.pinnedMachines()])),
    });
  }

  #enabledFeatures(): LeaderFeature[] {
    const features: LeaderFeature[] = [];
    if (this.groups !== null) {
      this.groups.fleetView = {
        draining: () => this.directives().drain,
        lacksCapacityFor: (job, zone) => this.#autoscaling.lacksCapacityFor(job, zone),
      };
      features.push(new GroupsFeature(this.groups));
    }
    if (this.borrowing !== null) {
      const scaleOutMs = (job: Job): number => this.#autoscaling.scaleOutMs(job.spec);
      features.push(new BorrowingFeature(this.context, this.borrowing, scaleOutMs));
    }
    return features;
  }

  /** Ends all work of this term. A transaction in progress is not repeated. */
  stop(): void {
    this.#isStopped = true;
    this.#autoscaling.stop();
  }

  /** Called after the event loop has stalled; see `AutoscalingLoop.resumedAfterStall`. */
  resumedAfterStall(now: number): void {
    this.#autoscaling.resumedAfterStall(now);
  }

  /** The directives to send to owners now. */
  directives(): MachineDirectives {
    return this.#autoscaling.directives();
  }

  /** Starts to assign tasks, unless an assignment is in progress. */
  tick(): void {
    if (!this.#isAssigning) void this.#assignUntilIdle();
  }

  #isLeading(): boolean {
    return this.ownershipTerm.isCurrent && !this.#isStopped;
  }

  /** The recent statuses of the partitions' current owners. */
  #currentStatuses(now: number): PartitionStatus[] {
    const { clusterState, clusterConfig } = this.context;
    return this.statuses()
      .filter(
        ({ at, status }) =>
          now - at < clusterConfig.heartbeatIntervalMs * STATUS_MAX_AGE_INTERVALS &&
          clusterState.owners.get(String(status.partitionId))?.record.term === status.term,
      )
      .map(({ status }) => status);
  }

  async #assignUntilIdle(): Promise<void> {
    const { context } = this;
    this.#isAssigning = true;
    try {
      while (this.#isLeading() && context.isLeaseValid() && context.isFresh()) {
        if (!(await this.#assignOnce())) break;
      }
    } catch (error) {
      context.log.error({ error: String(error) }, 'assignment failed');
    } finally {
      this.#isAssigning = false;
    }
  }

  /** Commits one transaction. Returns false if there was nothing to change or the transaction was not committed. */
  async #assignOnce(): Promise<boolean> {
    const { context } = this;
    const now = context.clock.now();
    const statuses = this.#currentStatuses(now);
    this.#probes.review(statuses, now);
    const batch = this.#beginBatch();
    this.#pendingAssignments.dropReflected(statuses);
    const result = context.workTimer.run('assignment', () => this.#planAssignments(batch, statuses, now));
    const uses = addAssignments(context, batch, this.#probes, result.assignments, statuses);
    const placements = this.#features.map((feature) => feature.addPlacements(batch, { result, statuses, now }));
    this.#unschedulable = this.#remainingDemand(placements, result, statuses);
    this.#probes.removeMarks(batch);
    for (const feature of this.#features) feature.addRemovals(batch);
    if (batch.changes.length === 0 && !this.#removeObsoleteKeys(batch)) return false;
    const revision = await context.commitWithRetry(URGENCY.assign, batch.conditions, batch.changes, () =>
      this.#isLeading(),
    );
    if (revision === 0) return false;
    this.#recordCommitted([...uses, ...placements.flatMap((added) => added.uses)], revision);
    this.#probes.recordCommitted(result.assignments, batch, now);
    context.log.debug({ jobs: [...batch.jobs] }, 'assignments committed');
    return true;
  }

  /** Begins a transaction with the changes that come before assignments. */
  #beginBatch(): JobBatch {
    const { context } = this;
    const batch = new JobBatch(this.ownershipTerm.condition, context.transactionSizeLimit());
    for (const feature of this.#features) feature.begin();
    closeJobs(batch, context.clusterState.jobs.live.values());
    for (const feature of this.#features) feature.addChanges(batch);
    return batch;
  }

  #planAssignments(batch: JobBatch, statuses: readonly PartitionStatus[], now: number): AssignmentResult {
    const { clusterState, clusterConfig, settings } = this.context;
    const rules = this.#features.reduce<AssignmentRules>(
      (combined, feature) => ({ ...combined, ...feature.assignmentRules(statuses) }),
      DEFAULT_ASSIGNMENT_RULES,
    );
    return assignTasks({
      now,
      probes: this.#probes.schedule,
      jobs: clusterState.jobs.live.values(),
      statuses,
      pendingAssignments: this.#pendingAssignments.all,
      clusterConfig,
      types: clusterState.types,
      maxAssignments: settings.maxTransactionOps - batch.changes.length,
      ...rules,
    });
  }

  /** The demand for machines that is left once the transaction is committed. */
  #remainingDemand(
    placements: readonly AddedPlacements[],
    { unschedulable }: AssignmentResult,
    statuses: readonly PartitionStatus[],
  ): UnschedulableDemand[] {
    const placedCountOf = (jobId: string): number =>
      placements.reduce((sum, { placedCountByJob }) => sum + (placedCountByJob.get(jobId) ?? 0), 0);
    return [
      ...unschedulable
        .map((entry) => ({ ...entry, count: entry.count - placedCountOf(entry.job.id) }))
        .filter(({ count }) => count > 0),
      ...immovableDemand(this.context, statuses),
      ...this.#features.flatMap((feature) => feature.extraDemand()),
    ];
  }

  /** Adds the removal of as many obsolete records of closed jobs as fit. Returns false if there are none. */
  #removeObsoleteKeys(batch: JobBatch): boolean {
    const { obsoleteKeys } = this.context.clusterState;
    for (const key of obsoleteKeys) if (!batch.remove(key)) break;
    return obsoleteKeys.size > 0;
  }

  #recordCommitted(uses: readonly PlannedUse[], revision: number): void {
    this.#pendingAssignments.add(uses, revision);
    for (const feature of this.#features) feature.committed();
  }
}
