import {
  type Resources,
  ClaimTable,
  maxGrantContactAgeMs,
  type Machine,
  type MachineStatus,
  NO_RESERVATIONS,
  planPlacements,
  type PartitionStatus,
  type Reservations,
  type TaskEntry,
  type OwnershipTerm,
  machinesToSolicit,
  relocateReplicas,
} from '@gingerlock/core';
import { CombinedReservations } from './combined-reservations';
import { OwnerGroups } from './owner-groups';
import { OwnerReclaims } from './owner-reclaims';
import { OwnerWrites } from './owner-writes';
import { partitionStatusOf } from './partition-status';
import type { ControllerContext } from '../controller/controller-context';
import { WorkerCommandSender } from './worker-command-sender';

/** How many machines are shown a new owner's term at each tick at the least: all at once would hold up everything else. */
const MIN_ANNOUNCEMENTS_PER_TICK = 8;

/** All machines that are not heard have been called once within this share of a worker's lease, however many they are. */
const ANNOUNCEMENT_ROUND_LEASES = 0.5;

/** One part that this controller owns: its claim table, and the writes that follow from it. */
export class PartitionOwner {
  readonly claimTable: ClaimTable;
  /** Null: borrowing is off. */
  readonly reclaims: OwnerReclaims | null;
  /** Null: replica groups are off. */
  readonly groups: OwnerGroups | null;
  readonly #commandSender: WorkerCommandSender;
  readonly #writes: OwnerWrites;
  #scannedAt = 0;
  #freeByMachine: ReadonlyMap<Machine, Resources> = new Map();
  #packedAt = -Infinity;
  #packedChange = -1;
  /** Machines of the membership that are to be shown our term, how many at each tick, and when the last round of that began. */
  #pendingAnnouncements: string[] = [];
  #announcementsPerTick = MIN_ANNOUNCEMENTS_PER_TICK;
  #announcedAt = -Infinity;
  /** By machine: what an earlier owner told of it. Good for the first call only. */
  #previousStatuses: ReadonlyMap<string, MachineStatus>;

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    /** Fixed for the life of this object: all that it writes and sends rests on the term and version of this one tenure. */
    readonly ownershipTerm: OwnershipTerm,
    previousStatuses: ReadonlyMap<string, MachineStatus>,
  ) {
    const { clusterState, clusterConfig, clock, log } = context;
    this.#previousStatuses = previousStatuses;
    this.reclaims = context.settings.features.borrowing === null ? null : new OwnerReclaims(context, partitionId);
    this.groups = context.settings.features.replicaGroups === null ? null : new OwnerGroups(context);
    this.claimTable = new ClaimTable({
      clusterConfig,
      partitionId,
      term: ownershipTerm.term,
      fencedUntil: ownershipTerm.fencedUntil,
      openedAt: ownershipTerm.acquiredAt,
      jobs: clusterState.jobs,
      types: () => clusterState.types,
      membership: clusterState.membership(partitionId),
      reservations: this.#reservations(),
      ...(this.reclaims === null ? {} : { preempts: false }),
      ...(this.groups === null ? {} : { members: this.groups.members }),
      attemptsPerTerm: context.limits.attemptsPerTerm,
      images: new Map([...previousStatuses].map(([name, m]) => [name, m.images])),
      log: (message, detail) => log.debug({ partitionId, ...detail }, message),
      alarm: (message, detail) => log.error({ partitionId, term: ownershipTerm.term, ...detail }, message),
    });
    for (const id of clusterState.jobs.live.keys()) this.claimTable.syncJob(id, clock.now());
    this.reclaims?.attach(this.claimTable);
    this.groups?.attach(this.claimTable);
    this.groups?.changed();
    this.#commandSender = new WorkerCommandSender(context, this.claimTable);
    this.#writes = new OwnerWrites(context, partitionId, ownershipTerm, this.claimTable, this.reclaims, () =>
      this.isOwner(),
    );
  }

  /**
   * Shows our term to the machines that are not heard, in rounds. A round is finished before the next begins: begun anew after each
   * report interval, it once left out all but the first hundred or so while those did not answer.
   */
  #announceTerm(now: number): void {
    const { clusterConfig, tickMs } = this.context;
    if (this.#pendingAnnouncements.length === 0 && now - this.#announcedAt > clusterConfig.heartbeatIntervalMs) {
      if (this.#announcedAt !== -Infinity) this.#previousStatuses = new Map();
      this.#announcedAt = now;
      this.#pendingAnnouncements = [...this.claimTable.unconfirmedMachines.keys()];
      const ticks = Math.max(1, Math.floor((clusterConfig.workerLeaseMs * ANNOUNCEMENT_ROUND_LEASES) / tickMs));
      this.#announcementsPerTick = Math.max(
        MIN_ANNOUNCEMENTS_PER_TICK,
        Math.ceil(this.#pendingAnnouncements.length / ticks),
      );
    }
    for (const name of this.#pendingAnnouncements.splice(0, this.#announcementsPerTick)) {
      const addr = this.claimTable.unconfirmedMachines.get(name);
      if (addr !== undefined)
        void this.#commandSender.announceTerm(name, addr, this.#previousStatuses.get(name)?.agentEpoch);
    }
  }

  #reservations(): Reservations {
    const kept = [this.reclaims?.reservations, this.groups?.members].filter((one) => one !== undefined);
    return kept.length === 0 ? NO_RESERVATIONS : kept.length === 1 ? kept[0]! : new CombinedReservations(kept);
  }

  /** Stops of a cancelled job go out at once: its room is wanted, and nobody has any use for what it does now. */
  jobChanged(id: string): void {
    this.#pushAll(this.claimTable.syncJob(id, this.context.clock.now()));
    if (this.context.clusterState.groups.has(id)) this.groups?.changed();
  }

  tick(now: number): void {
    for (const name of this.claimTable.tick(now)) this.#writes.membershipRemovals.add(name);
    this.#announceTerm(now);
    if (now - this.#scannedAt > this.context.scanMs) {
      this.#scannedAt = now;
      this.claimTable.scan();
    }
    if (this.groups !== null && this.isOwner()) this.#pushAll(this.groups.step());
    if (this.reclaims !== null && this.isOwner()) this.#pushAll(this.reclaims.step(this.claimTable, now));
    if (
      this.claimTable.changes !== this.#packedChange ||
      now - this.#packedAt > this.context.clusterConfig.heartbeatIntervalMs / 3
    ) {
      this.#packedChange = this.claimTable.changes;
      this.#packedAt = now;
      const { freeByMachine, unschedulable, stopped } = planPlacements(this.claimTable, now);
      this.#freeByMachine = freeByMachine;
      this.#writes.unschedulable = unschedulable;
      if (this.mayGrant(now))
        stopped.push(
          ...relocateReplicas(this.claimTable, freeByMachine, () => this.context.spareCapacity(this.partitionId), now),
        );
      this.#pushAll(stopped);
      if (this.mayGrant(now))
        for (const machine of machinesToSolicit(this.claimTable, now))
          this.#commandSender.requestHeartbeat(machine, now);
    }
    void this.#writes.run();
  }

  #pushAll(stopped: readonly TaskEntry[]): void {
    for (const machine of new Set(stopped.map((s) => s.claim!.machine))) {
      this.#commandSender.stop(
        machine,
        stopped.filter((s) => s.claim!.machine === machine),
      );
    }
  }

  /** Whether this controller is the owner, as far as any read of its own shows: nobody is answered on other grounds. */
  isOwner(): boolean {
    const { key, version } = this.ownershipTerm.condition;
    // The version rather than the record: one that can't be read is not ours either.
    return this.ownershipTerm.isCurrent && this.context.watchCache.version(key) === version;
  }

  /** Whether starts may be given now: we surely own the part, and have seen every cancellation but the newest. */
  mayGrant(now: number): boolean {
    const { watchCache, clusterConfig } = this.context;
    return (
      this.ownershipTerm.state === 'held' &&
      this.isOwner() &&
      this.context.leaseValid() &&
      watchCache.lastContactAt !== null &&
      // A new lease says nothing of holds that were attached to the one before: somebody else may have them.
      watchCache.lastContactAt >= this.context.leaseSince &&
      now < watchCache.lastContactAt + maxGrantContactAgeMs(clusterConfig)
    );
  }

  gone(name: string): void {
    this.claimTable.gone(name, this.context.clock.now());
    this.#writes.membershipRemovals.add(name);
  }

  status(now: number): PartitionStatus {
    return partitionStatusOf(this.claimTable, this.#freeByMachine, this.context.watchCache.revision, now);
  }
}
