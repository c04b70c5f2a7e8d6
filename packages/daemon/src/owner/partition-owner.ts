// The owner of a partition: decides which of its machines run which of its tasks, in the claim table, and commits the
// resulting writes.
import {
  ClaimTable,
  type Machine,
  machinesToRequestHeartbeatsFrom,
  type MachineStatus,
  maxGrantContactAgeMs,
  type OwnershipTerm,
  type PartitionStatus,
  planPlacements,
  relocateReplicas,
  type Resources,
  type SpareCapacity,
} from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import { combineReservations } from './combined-reservations';
import type { OwnerFeature } from './owner-feature';
import { OwnerGroups } from './owner-groups';
import { OwnerReclaims } from './owner-reclaims';
import { OwnerWrites } from './owner-writes';
import { partitionStatusOf } from './partition-status';
import { TermAnnouncements } from './term-announcements';
import { WorkerCommandSender } from './worker-command-sender';

/** Placements per heartbeat interval without a change of the claim table: time alone makes some tasks placeable. */
const PLACEMENTS_PER_HEARTBEAT = 3;

/** One partition that this controller owns, for one ownership term. */
export class PartitionOwner {
  readonly claimTable: ClaimTable;
  /** Null if borrowing is off. */
  readonly reclaims: OwnerReclaims | null;
  /** Null if replica groups are off. */
  readonly groups: OwnerGroups | null;
  /** The features that are on, in the order in which they stop tasks. */
  readonly #features: readonly OwnerFeature[];
  readonly #commandSender: WorkerCommandSender;
  readonly #announcements: TermAnnouncements;
  readonly #writes: OwnerWrites;
  #scannedAt = 0;
  /** Resources that the last placement left free on each machine that takes work. */
  #freeByMachine: ReadonlyMap<Machine, Resources> = new Map();
  #placedAt = -Infinity;
  /** The claim table's change counter at the last placement. */
  #placedChange = -1;

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    /** The one term under which this object writes and sends everything. */
    readonly ownershipTerm: OwnershipTerm,
    /** Statuses from an earlier owner, by machine. */
    previousStatuses: ReadonlyMap<string, MachineStatus>,
  ) {
    const { features } = context.settings;
    this.reclaims = features.borrowing === null ? null : new OwnerReclaims(context, partitionId);
    this.groups = features.replicaGroups === null ? null : new OwnerGroups(context);
    this.#features = [this.groups, this.reclaims].filter((feature) => feature !== null);
    this.claimTable = this.#newClaimTable(previousStatuses);
    for (const id of context.clusterState.jobs.live.keys()) this.claimTable.syncJob(id, context.clock.now());
    for (const feature of this.#features) feature.attach(this.claimTable);
    this.#commandSender = new WorkerCommandSender(context, this.claimTable);
    this.#announcements = new TermAnnouncements(context, this.claimTable, this.#commandSender, previousStatuses);
    this.#writes = new OwnerWrites(context, partitionId, ownershipTerm, this.claimTable, this.#features, () =>
      this.isOwner(),
    );
  }

  #newClaimTable(previousStatuses: ReadonlyMap<string, MachineStatus>): ClaimTable {
    const { context, partitionId, ownershipTerm } = this;
    const { clusterState, clusterConfig, limits, log } = context;
    const featureOptions = this.#features.reduce<OwnerFeature['claimTableOptions']>(
      (combined, feature) => ({ ...combined, ...feature.claimTableOptions }),
      {},
    );
    return new ClaimTable({
      clusterConfig,
      partitionId,
      term: ownershipTerm.term,
      fencedUntil: ownershipTerm.fencedUntil,
      acquiredAt: ownershipTerm.acquiredAt,
      jobs: clusterState.jobs,
      types: () => clusterState.types,
      membership: clusterState.membership(partitionId),
      // Reclaims come before groups: the first reservation of a task decides.
      reservations: combineReservations(this.#features.map((feature) => feature.reservations).reverse()),
      ...featureOptions,
      attemptsPerTerm: limits.attemptsPerTerm,
      images: new Map([...previousStatuses].map(([name, { images }]) => [name, images])),
      log: (message, detail) => log.debug({ partitionId, ...detail }, message),
      alarm: (message, detail) => log.error({ partitionId, term: ownershipTerm.term, ...detail }, message),
    });
  }

  /**
   * Handles a change of a job. Stops of a cancelled job are sent at once: its resources are needed, and its work is of
   * no more use.
   */
  jobChanged(id: string): void {
    this.#commandSender.stopAll(this.claimTable.syncJob(id, this.context.clock.now()));
    for (const feature of this.#features) feature.jobChanged(id);
  }

  /** Does what is due at `now`: expiries, announcements, the recovery scan, stops, placements and writes. */
  tick(now: number): void {
    for (const name of this.claimTable.tick(now)) this.#writes.membership.removals.add(name);
    this.#announcements.tick(now);
    if (now - this.#scannedAt > this.context.recoveryScanIntervalMs) {
      this.#scannedAt = now;
      this.claimTable.recoverWakes();
    }
    for (const feature of this.#features)
      if (this.isOwner()) this.#commandSender.stopAll(feature.step(this.claimTable, now));
    if (this.#isPlacementDue(now)) this.#placeTasks(now);
    void this.#writes.run();
  }

  #isPlacementDue(now: number): boolean {
    const intervalMs = this.context.clusterConfig.heartbeatIntervalMs / PLACEMENTS_PER_HEARTBEAT;
    return this.claimTable.changes !== this.#placedChange || now - this.#placedAt > intervalMs;
  }

  /**
   * Plans machines for the waiting tasks, stops the tasks that they preempt and the replicas to be moved off a draining
   * machine, and requests heartbeats from machines on which waiting tasks could start.
   */
  #placeTasks(now: number): void {
    this.#placedChange = this.claimTable.changes;
    this.#placedAt = now;
    const { freeByMachine, unschedulable, stopped } = planPlacements(this.claimTable, now);
    this.#freeByMachine = freeByMachine;
    this.#writes.tasks.unschedulable = unschedulable;
    const spareCapacity = (): SpareCapacity[] => this.context.spareCapacity(this.partitionId);
    if (this.mayGrant(now)) stopped.push(...relocateReplicas(this.claimTable, freeByMachine, spareCapacity, now));
    this.#commandSender.stopAll(stopped);
    if (!this.mayGrant(now)) return;
    for (const machine of machinesToRequestHeartbeatsFrom(this.claimTable, now))
      this.#commandSender.requestHeartbeat(machine, now);
  }

  /** Whether this controller's own reads show it as the owner. Workers are answered only if they do. */
  isOwner(): boolean {
    const { key, version } = this.ownershipTerm.condition;
    // Compares versions rather than records, because this controller may be unable to parse a new owner's record.
    return this.ownershipTerm.isCurrent && this.context.watchCache.version(key) === version;
  }

  /**
   * Whether tasks may be started now: the ownership is certain, and all but the newest cancellations have been read.
   */
  mayGrant(now: number): boolean {
    const { watchCache, clusterConfig } = this.context;
    return (
      this.ownershipTerm.state === 'held' &&
      this.isOwner() &&
      this.context.isLeaseValid() &&
      watchCache.lastContactAt !== null &&
      // Holds attached to an earlier lease may have passed to another controller: a read under the new lease is needed.
      watchCache.lastContactAt >= this.context.leaseGrantedAt &&
      now < watchCache.lastContactAt + maxGrantContactAgeMs(clusterConfig)
    );
  }

  /** Removes a machine that no longer exists according to the leader. */
  removeMachine(name: string): void {
    this.claimTable.removeMachine(name, this.context.clock.now());
    this.#writes.membership.removals.add(name);
  }

  /** Returns the partition's status for the leader and the other controllers. */
  status(now: number): PartitionStatus {
    return partitionStatusOf(this.claimTable, this.#freeByMachine, this.context.watchCache.revision, now);
  }
}
