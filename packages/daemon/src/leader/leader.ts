import { type Http, URGENCY } from '@gingerlock/clients';
import type { Decision } from '@gingerlock/borrowing';
import {
  type Assignment,
  type AssignmentResult,
  assignTasks,
  mustBeProbed,
  type Job,
  type PartitionStatus,
  assignedRangesOf,
  findImmovableDemand,
  type OwnershipTerm,
  ProbeSchedule,
  type UnschedulableDemand,
} from '@gingerlock/core';
import { jobRecord, KEYS, reclaimRecord, type AssignedRange } from '@gingerlock/wire';
import { AutoscalingLoop, type MachineDirectives } from './autoscaling-loop';
import { finalOf, JobBatch, recordOf, recordWith } from './job-batch';
import { type LeaderBorrowing, unschedulableWithout } from './leader-borrowing';
import type { LeaderGroups } from './leader-groups';
import type { ControllerContext } from '../controller/controller-context';
import type { ReceivedStatus } from '../peers/partition-statuses';

interface PendingAssignment {
  readonly revision: number;
  readonly partitionId: number;
  readonly machine: string;
  readonly need: { cpus: number; gpus: number; memoryGb: number };
}

/** A reclaim that a transaction contains. */
interface AddedReclaim {
  readonly decision: Decision;
  readonly key: string;
  readonly pendingAssignments: readonly Omit<PendingAssignment, 'revision'>[];
}

const NOTHING_PINNED: ReadonlySet<string> = new Set();

/** What one round may take of a job's record, about: jobs with fewer rounds need not be weighed. */
const LARGEST_RANGE_BYTES = 128;

/** A reclaim changes the record of its job and adds its own. */
const CHANGES_PER_RECLAIM = 2;

/** The leader: assigns waiting tasks among the parts, closes jobs, and has the fleet managed. It commands no worker. */
export class Leader {
  readonly #autoscaling: AutoscalingLoop;
  readonly #probes: ProbeSchedule;
  #assigning = false;
  #pendingAssignments: PendingAssignment[] = [];
  #unschedulable: readonly UnschedulableDemand[] = [];
  #stopped = false;

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
    this.#probes = new ProbeSchedule(context.clusterConfig);
    this.#autoscaling = new AutoscalingLoop(context, ownershipTerm, http, {
      statuses: (now) => this.#current(now),
      unschedulable: () => this.#unschedulable,
      pinned: () => groups?.pinnedMachines() ?? NOTHING_PINNED,
    });
    this.#joinGroups();
  }

  #joinGroups(): void {
    if (this.groups === null) return;
    this.groups.fleetView = {
      draining: () => this.directives().drain,
      lacksCapacityFor: (job, zone) => this.#autoscaling.lacksCapacityFor(job, zone),
    };
  }

  stop(): void {
    this.#stopped = true;
    this.#autoscaling.stop();
  }

  resumedAfterStall(now: number): void {
    this.#autoscaling.resumedAfterStall(now);
  }

  #isLeading(): boolean {
    return this.ownershipTerm.isCurrent && !this.#stopped;
  }

  directives(): MachineDirectives {
    return this.#autoscaling.directives();
  }

  #current(now: number): PartitionStatus[] {
    const { clusterState, clusterConfig } = this.context;
    return this.statuses()
      .filter(
        (s) =>
          now - s.at < clusterConfig.heartbeatIntervalMs * 2 &&
          clusterState.owners.get(String(s.status.partitionId))?.record.term === s.status.term,
      )
      .map((s) => s.status);
  }

  tick(): void {
    if (!this.#assigning) void this.#assign();
  }

  async #assign(): Promise<void> {
    const { context } = this;
    this.#assigning = true;
    try {
      while (this.#isLeading() && context.leaseValid() && context.fresh()) {
        if (!(await this.#assignOnce())) break;
      }
    } catch (error) {
      context.log.error({ error: String(error) }, 'assignment failed');
    } finally {
      this.#assigning = false;
    }
  }

  /** One transaction of endings and assignments, or of cleaning up; false: there was nothing to do, or it failed. */
  async #assignOnce(): Promise<boolean> {
    const { context } = this;
    const { clusterState, clusterConfig, settings } = context;
    const now = context.clock.now();
    const current = this.#current(now);
    this.#reviewProbes(current, now);
    const batch = new JobBatch(this.ownershipTerm.condition, context.transactionSizeLimit());
    this.groups?.begin();
    this.#close(batch);
    this.groups?.addChanges(batch);
    this.#pendingAssignments = this.#pendingAssignments.filter((r) =>
      current.some((s) => s.partitionId === r.partitionId && s.revision < r.revision),
    );
    const result = assignTasks({
      now,
      probes: this.#probes,
      jobs: clusterState.jobs.live.values(),
      statuses: current,
      pendingAssignments: this.#pendingAssignments,
      clusterConfig,
      types: clusterState.types,
      maxAssignments: settings.txnOps - batch.changes.length,
      preempts: this.borrowing === null,
      heldBack: this.borrowing?.heldBack(current) ?? null,
      groups: this.groups,
    });
    const { assignments } = result;
    const pendingAssignments = this.#addAssignments(batch, assignments, current);
    if (this.groups !== null) {
      pendingAssignments.push(...this.groups.addReservations(batch, result.groups));
      this.groups.noteUnplaced(result, now);
    }
    const reclaims = this.#addReclaims(batch, result, current);
    pendingAssignments.push(...reclaims.flatMap(({ pendingAssignments: machines }) => machines));
    const unschedulable = unschedulableWithout(
      result.unschedulable,
      reclaims.map(({ decision }) => decision),
    );
    this.#unschedulable = [...unschedulable, ...this.#immovableDemand(current), ...(this.groups?.endingDemand() ?? [])];
    this.#removeCrashLoopMarks(batch);
    this.#removeAbandoned(batch);
    if (batch.changes.length === 0) {
      if (clusterState.obsoleteKeys.size === 0) return false;
      for (const key of clusterState.obsoleteKeys) if (!batch.remove(key)) break;
    }
    const revision = await context.commitWithRetry(URGENCY.assign, batch.conditions, batch.changes, () =>
      this.#isLeading(),
    );
    if (revision === 0) return false;
    this.groups?.stored();
    for (const m of pendingAssignments) this.#pendingAssignments.push({ ...m, revision });
    for (const { decision, key } of reclaims) this.borrowing!.decided(decision, key);
    this.#recordProbes(assignments, batch, now);
    context.log.debug({ jobs: [...batch.jobs] }, 'assignments committed');
    return true;
  }

  #immovableDemand(statuses: readonly PartitionStatus[]): UnschedulableDemand[] {
    const { clusterState, clusterConfig } = this.context;
    if (clusterState.partitioner === null) return [];
    return findImmovableDemand({
      jobs: clusterState.jobs.live.values(),
      statuses,
      types: clusterState.types,
      partitioner: clusterState.partitioner,
      zones: clusterConfig.zones,
      isFrozen: (job) => this.#isFrozen(job),
    });
  }

  /** Whether the record of the job is too large to be written even without all that is assigned to any one partition. */
  #isFrozen(job: Job): boolean {
    const { settings } = this.context;
    if (job.assignedRanges.length * LARGEST_RANGE_BYTES < settings.valueBytes) return false;
    return [...new Set(job.assignedRanges.map(({ partitionId }) => partitionId))].every((partitionId) => {
      const assignedRanges = job.assignedRanges.filter((range) => range.partitionId !== partitionId);
      return !this.context.fitsValue(recordOf(job, job.isCrashLooping, assignedRanges));
    });
  }

  #reviewProbes(current: readonly PartitionStatus[], now: number): void {
    const { live } = this.context.clusterState.jobs;
    const crashLooping = [...live.values()].filter((job) => job.isCrashLooping && !job.cancelled).map((job) => job.id);
    const running = new Map<string, number>();
    for (const { running: tasks } of current)
      for (const [job, n] of tasks) running.set(job, (running.get(job) ?? 0) + n);
    this.#probes.review(
      (job) => live.has(job),
      crashLooping,
      (job) => running.get(job) ?? 0,
      now,
    );
  }

  /** Takes the mark off jobs of which a trial has run for long enough, and which have nothing to assign. */
  #removeCrashLoopMarks(batch: JobBatch): void {
    const { clusterState, settings } = this.context;
    for (const job of clusterState.jobs.live.values()) {
      if (batch.changes.length >= settings.txnOps) return;
      if (!job.isCrashLooping || job.cancelled || batch.jobs.has(job.id) || mustBeProbed(job, this.#probes)) continue;
      if (!batch.put(job, recordWith(job, false, []))) return;
    }
  }

  #recordProbes(assignments: readonly Assignment[], batch: JobBatch, now: number): void {
    for (const { job, added } of assignments) {
      if (!batch.jobs.has(job.id) || !job.isMarkedCrashLooping) continue;
      if (mustBeProbed(job, this.#probes)) this.#probes.probeStarted(job.id, added[0]!.partitionId, now);
    }
    for (const id of batch.jobs) if (this.#probes.isProven(id)) this.#probes.markRemoved(id);
  }

  /** Ends the jobs of which all tasks are finished, or, of those that are cancelled, gone. */
  #close(batch: JobBatch): void {
    for (const job of this.context.clusterState.jobs.live.values()) {
      const final = finalOf(job);
      if (final !== null && !batch.put(job, jobRecord.write({ final }))) return;
    }
  }

  /** Returns which machines the assigned tasks are meant for. */
  #addAssignments(
    batch: JobBatch,
    assignments: readonly Assignment[],
    current: readonly PartitionStatus[],
  ): Omit<PendingAssignment, 'revision'>[] {
    const { log } = this.context;
    const pendingAssignments: Omit<PendingAssignment, 'revision'>[] = [];
    for (const assignment of assignments) {
      const { job } = assignment;
      if (batch.jobs.has(job.id)) continue;
      const added = this.#fittingRanges(assignment);
      if (added.length === 0) {
        log.error({ job: job.id, assignedRanges: job.assignedRanges.length }, 'record too large, not assigned');
        continue;
      }
      if (!this.#requireOwners(batch, added)) return pendingAssignments;
      if (!batch.put(job, recordWith(job, mustBeProbed(job, this.#probes), added))) return pendingAssignments;
      for (const { machine, need } of assignment.intended) {
        const { partitionId } = current.find((s) => s.machines.some((m) => m.name === machine))!;
        pendingAssignments.push({ partitionId, machine, need });
      }
    }
    return pendingAssignments;
  }

  /** Decides for which tasks without room others are stopped: the rounds of the one and the record of it go into one transaction. */
  #addReclaims(batch: JobBatch, result: AssignmentResult, current: readonly PartitionStatus[]): AddedReclaim[] {
    if (this.borrowing === null) return [];
    const most = Math.floor((this.context.settings.txnOps - batch.changes.length) / CHANGES_PER_RECLAIM);
    const decisions = this.borrowing.plan({
      result: { ...result, unschedulable: result.unschedulable.filter(({ job }) => !job.isGroup) },
      statuses: current,
      taken: batch.jobs,
      most,
      scaleOutMs: (job) => this.#autoscaling.scaleOutMs(job.spec),
    });
    const added: AddedReclaim[] = [];
    for (const decision of decisions) {
      const reclaim = this.#addReclaim(batch, decision, this.borrowing);
      if (reclaim !== null) added.push(reclaim);
    }
    return added;
  }

  /** Null: it has no room in the transaction or in the records, or the transaction changes its job already. */
  #addReclaim(batch: JobBatch, decision: Decision, borrowing: LeaderBorrowing): AddedReclaim | null {
    const { job, tasks, placements, machine } = decision;
    if (batch.jobs.has(job.id)) return null;
    const record = recordWith(job, false, assignedRangesOf(tasks, placements));
    const reclaim = borrowing.recordOf(decision);
    const value = reclaimRecord.write(reclaim.record);
    if (!this.context.fitsValue(record) || !this.context.fitsValue(value)) return null;
    const assignedRanges = assignedRangesOf(tasks, placements);
    if (!this.#requireOwners(batch, assignedRanges) || !batch.put(job, record, { put: reclaim.key, value }))
      return null;
    const pendingAssignments = tasks.map(() => ({ partitionId: placements[0]!.partitionId, machine, need: job.spec }));
    return { decision, key: reclaim.key, pendingAssignments };
  }

  #removeAbandoned(batch: JobBatch): void {
    for (const { key, version } of this.borrowing?.abandoned() ?? []) {
      if (!batch.removeIf(key, version)) return;
      this.context.log.info({ reclaim: key }, 'reclaim abandoned');
    }
  }

  /** Makes the batch rest on the owners of the partitions that the rounds name; false: it has no room for that. */
  #requireOwners(batch: JobBatch, assignedRanges: readonly AssignedRange[]): boolean {
    return assignedRanges.every(({ partitionId }) => {
      const owner = this.context.clusterState.owners.get(String(partitionId));
      return (
        owner === undefined || batch.requireOwner({ key: KEYS.owner(String(partitionId)), version: owner.version })
      );
    });
  }

  /** As many of the new rounds as the job's record has room for; the other tasks are assigned when it has shrunk. */
  #fittingRanges(assignment: Assignment): AssignedRange[] {
    const added = [...assignment.added];
    while (added.length > 0 && !this.context.fitsValue(recordWith(assignment.job, true, added))) added.pop();
    return added;
  }
}
