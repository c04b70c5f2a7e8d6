// Which partitions this controller owns, and whether it has the lead: carries out what the ownership state machines decide, and
// gives partitions that were taken over back to their homes.
import { type Clock, sleep, URGENCY } from '@gingerlock/clients';
import {
  Ownership,
  type Release,
  type Resumption,
  type Acquisition,
  type OwnershipTerm,
  ACQUISITION_DELAY,
  type Versioned,
} from '@gingerlock/core';
import { FORMAT, KEYS, LEADERSHIP, metaRecord, type OwnerRecord } from '@gingerlock/wire';
import type { PartitionOwner } from '../owner/partition-owner';
import type { Settings } from '../settings/settings';
import type { ControllerContext } from '../controller/controller-context';
import type { WorkerConnectivity } from './worker-connectivity';

/** What the manager needs to know of the other controllers. */
export interface PeerLiveness {
  isAlive(node: string): boolean;
  /** Whether this process has ever heard of the controller. */
  wasSeen(node: string): boolean;
  /** Whether the controller has been heard of for so long without a gap, and reads the state service. */
  isHealthy(node: string, forMs: number): boolean;
}

/** Hears of the begin and the end of each tenure. */
export interface OwnershipListener {
  opened(ownershipTerm: OwnershipTerm): void;
  ended(ownershipTerm: OwnershipTerm): void;
}

/** A page of finished tasks takes about this share of a value at the most. */
const PAGE_SHARE = 1 / 2;

/** A character of base64 holds so many tasks. */
const TASKS_PER_CHARACTER = 6;

const LEAST_PAGE_TASKS = 64;

/** For how many worker leases a partition stays away from a home that its workers could not reach. */
const CUT_OFF_RETURN_LEASES = 6;

export class OwnershipManager {
  readonly #ownerships = new Map<string, Ownership>();
  #releasedAt = -Infinity;
  /** By partition: until when others go first, for its workers could not reach this controller. */
  readonly #leftToOthersUntil = new Map<number, number>();
  #stopped = false;

  constructor(
    readonly context: ControllerContext,
    readonly process: string,
    readonly peers: PeerLiveness,
    readonly workerConnectivity: WorkerConnectivity,
    readonly listener: OwnershipListener,
  ) {}

  stop(): void {
    this.#stopped = true;
  }

  get #settings(): Settings {
    return this.context.settings;
  }

  get #clock(): Clock {
    return this.context.clock;
  }

  /** Looks at all resources after a read of the key-value store. */
  synced(): void {
    const { clusterState } = this.context;
    if (clusterState.meta === null) {
      void this.#createDeployment();
      return;
    }
    if (this.#ownerships.size === 0) this.#openOwnerships(clusterState.meta.partitionCount);
    for (const ownership of this.#ownerships.values()) this.#decide(ownership);
  }

  #decide(ownership: Ownership): void {
    const { context } = this;
    const lease = context.leaseValid() ? context.leaseId : null;
    const view = context.clusterState.view(ownership.resource);
    const decision = ownership.decide(view, lease, this.#clock.now(), this.#clock.wall());
    switch (decision.kind) {
      case 'none':
        return;
      case 'lost':
        this.#ended(decision.ownershipTerm);
        return;
      case 'acquire':
        void this.#acquire(ownership, decision);
        return;
      case 'resume':
        void this.#resume(ownership, decision);
        return;
    }
  }

  /** Writes the settings of the deployment that hold for ever, as the first controller that ever starts. */
  async #createDeployment(): Promise<void> {
    const { context } = this;
    const tasks = Math.floor(this.#settings.valueBytes * PAGE_SHARE) * TASKS_PER_CHARACTER;
    const pageTasks = Math.max(LEAST_PAGE_TASKS, tasks);
    const partitionCount = this.#settings.clusterConfig.controllerCount;
    const nodes = this.#nodes();
    const zones = Array.from({ length: partitionCount }, (_, partitionId) =>
      this.#zoneOf(nodes[partitionId % nodes.length]!),
    );
    const meta = { format: FORMAT, partitionCount, zones, pageTasks: pageTasks - (pageTasks % 8) };
    const changes = [{ put: KEYS.meta, value: metaRecord.write(meta) }];
    const result = await context.keyValueStore.compareAndSwap(
      URGENCY.accept,
      [{ key: KEYS.meta, version: 0 }],
      changes,
    );
    if (result.kind !== 'done') return;
    context.recordCommit(changes, result.revision);
  }

  // --- order of takers ---------------------------------------------------------------------------------------------

  /** All controllers, in the order in which partitions have their homes. */
  #nodes(): string[] {
    const { node, peers } = this.#settings;
    return [node, ...peers.map((p) => p.node)].sort();
  }

  #zoneOf(node: string): string {
    return this.#settings.peers.find((p) => p.node === node)?.zone ?? this.#settings.zone;
  }

  /** Who should own the partition, its home first: those in its zone go before the others. */
  #orderFor(partitionId: number): string[] {
    const nodes = this.#nodes();
    const zone = this.context.clusterState.meta?.zones[partitionId];
    const from = nodes.map((_, i) => nodes[(i + partitionId) % nodes.length]!);
    return [...from.filter((n) => this.#zoneOf(n) === zone), ...from.filter((n) => this.#zoneOf(n) !== zone)];
  }

  /** Report intervals to leave to the controllers that come before this one. */
  #acquisitionDelay(order: readonly string[]): number {
    let sum = 0;
    for (const node of order) {
      if (node === this.#settings.node) break;
      if (this.peers.isAlive(node)) sum += ACQUISITION_DELAY.alive;
      else sum += this.peers.wasSeen(node) ? ACQUISITION_DELAY.silent : ACQUISITION_DELAY.unknown;
    }
    return sum;
  }

  #openOwnerships(partitionCount: number): void {
    const { node, clusterConfig } = this.#settings;
    const { borrowing, replicaGroups } = this.#settings.features;
    const localNode = {
      node,
      process: this.process,
      ...(borrowing === null ? {} : { takesClaimLists: true }),
      ...(replicaGroups === null ? {} : { takesGroupReports: true }),
    };
    for (let partitionId = 0; partitionId < partitionCount; partitionId++) {
      const order = this.#orderFor(partitionId);
      const resource = String(partitionId);
      // Given up because its workers do not reach this controller, it is left to others first.
      const acquisitionDelay = (): number =>
        this.#acquisitionDelay(order) + (this.#isLeftToOthers(partitionId) ? ACQUISITION_DELAY.cutOff : 0);
      this.#ownerships.set(resource, new Ownership(resource, clusterConfig, localNode, acquisitionDelay));
    }
    const nodes = this.#nodes();
    this.#ownerships.set(
      LEADERSHIP,
      new Ownership(LEADERSHIP, clusterConfig, localNode, () => this.#acquisitionDelay(nodes)),
    );
  }

  // --- taking and resuming -----------------------------------------------------------------------------------------

  async #acquire(ownership: Ownership, attempt: Acquisition): Promise<void> {
    const { context } = this;
    const { conditions, changes } = attempt.transaction;
    const isStillWanted = (): boolean => !this.#stopped && ownership.isPending(attempt);
    const revision = await context.commitWithRetry(URGENCY.renew, conditions, changes, isStillWanted);
    const doneAt = this.#clock.now();
    if (revision === 0 || !(await this.#readUpTo(revision, isStillWanted)) || !this.#isOwnRecord(ownership, revision)) {
      ownership.failed(attempt);
      return;
    }
    const ownershipTerm = ownership.acquired(attempt, revision, doneAt, this.#clock.now(), this.#clock.wall());
    if (ownershipTerm === null) return;
    const fencedForMs = Math.round(ownershipTerm.fencedUntil - this.#clock.now());
    context.log.info({ resource: ownershipTerm.resource, term: ownershipTerm.term, fencedForMs }, 'partition acquired');
    this.listener.opened(ownershipTerm);
    this.#confirmAcquisition(ownershipTerm);
  }

  /** What the old owner wrote before it lost the resource has to be seen first: its membership above all. */
  async #readUpTo(revision: number, isStillWanted: () => boolean): Promise<boolean> {
    const { watchCache, clusterConfig } = this.context;
    while (watchCache.revision < revision) {
      try {
        await watchCache.linearizableRead();
      } catch {
        await sleep(this.#clock, clusterConfig.heartbeatIntervalMs / 5);
      }
      if (!isStillWanted()) return false;
    }
    return true;
  }

  #isOwnRecord(ownership: Ownership, version: number): boolean {
    const owner: Versioned<OwnerRecord> | undefined = this.context.clusterState.owners.get(ownership.resource);
    return owner?.version === version;
  }

  #confirmAcquisition(ownershipTerm: OwnershipTerm): void {
    const transaction = ownershipTerm.resource === LEADERSHIP ? null : ownershipTerm.confirmAcquisition();
    if (transaction === null) return;
    const { conditions, changes } = transaction;
    void this.context.commitWithRetry(URGENCY.assign, conditions, changes, () => ownershipTerm.isCurrent);
  }

  async #resume(ownership: Ownership, attempt: Resumption): Promise<void> {
    const { conditions, changes } = attempt.transaction;
    const isStillWanted = (): boolean => !this.#stopped && ownership.isPending(attempt);
    const revision = await this.context.commitWithRetry(URGENCY.renew, conditions, changes, isStillWanted);
    const { ownershipTerm } = attempt;
    if (revision === 0) {
      if (ownership.failed(attempt)) this.#ended(ownershipTerm);
    } else if (ownership.resumed(attempt)) {
      this.context.log.info({ resource: ownershipTerm.resource, term: ownershipTerm.term }, 'ownership resumed');
    }
  }

  #ended(ownershipTerm: OwnershipTerm): void {
    this.context.log.info({ resource: ownershipTerm.resource, term: ownershipTerm.term }, 'ownership ended');
    this.listener.ended(ownershipTerm);
  }

  // --- giving up ---------------------------------------------------------------------------------------------------

  /** A worker has seen the token of a later owner. */
  superseded(ownershipTerm: OwnershipTerm): void {
    if (this.#ownerships.get(ownershipTerm.resource)?.stepDown(ownershipTerm) === true) this.#ended(ownershipTerm);
  }

  /**
   * A later owner of the given term asks whether the partition is still owned here. Without the state service this controller may
   * be the last to learn that it was taken over. The answer no holds for ever, for all earlier terms.
   */
  ownsAfterQuery(partitionId: number, term: number): boolean {
    const ownership = this.#ownerships.get(String(partitionId));
    const ended = ownership?.renounceBefore(term) ?? null;
    if (ended !== null) this.#ended(ended);
    return (ownership?.ownershipTerm ?? null) !== null;
  }

  #isLeftToOthers(partitionId: number): boolean {
    return this.#clock.now() < (this.#leftToOthersUntil.get(partitionId) ?? -Infinity);
  }

  /**
   * Gives a partition whose workers have long been unable to reach this controller to one that they do reach. Relaying carries them
   * meanwhile, but each report takes a way that costs it seconds whenever it is tried directly again.
   */
  releaseUnreachable(owners: Iterable<PartitionOwner>, now: number): void {
    if (!this.context.fresh() || this.context.watchCache.failures > 0) return;
    for (const { partitionId, ownershipTerm, claimTable } of owners) {
      if (
        ownershipTerm.state !== 'held' ||
        !claimTable.isFencingOver ||
        !this.workerConnectivity.isCutOff(partitionId, now)
      )
        continue;
      if (!this.#settings.peers.some(({ node }) => this.peers.isAlive(node))) continue;
      const ownership = this.#ownerships.get(ownershipTerm.resource)!;
      const attempt = ownership.release(this.context.clusterState.view(ownershipTerm.resource));
      if (attempt === null) continue;
      this.context.log.info({ partitionId }, 'workers can not reach this controller');
      this.#leftToOthersUntil.set(partitionId, now + this.context.clusterConfig.workerLeaseMs);
      this.#ended(ownershipTerm);
      void this.#release(ownership, attempt);
    }
  }

  /** Gives up partitions whose terms run out of attempts: whoever takes them, mostly this controller, does so under a new term. */
  releaseExhausted(owners: Iterable<PartitionOwner>): void {
    if (!this.context.fresh()) return;
    for (const { partitionId, ownershipTerm, claimTable } of owners) {
      if (ownershipTerm.state !== 'held' || !claimTable.needsNewTerm) continue;
      const ownership = this.#ownerships.get(ownershipTerm.resource)!;
      const attempt = ownership.release(this.context.clusterState.view(ownershipTerm.resource));
      if (attempt === null) continue;
      this.context.log.info({ partitionId, term: ownershipTerm.term }, 'attempt numbers exhausted');
      this.#ended(ownershipTerm);
      void this.#release(ownership, attempt);
    }
  }

  /**
   * Gives a partition that was taken over back to its home, once that is well again: after rolling restarts one controller
   * owned most of the fleet, and its end cost the most. One at a time, and not while anything is wrong: workers of the
   * partition have to find their new owner.
   */
  returnToHome(owners: Iterable<PartitionOwner>, now: number): void {
    const { workerLeaseMs } = this.context.clusterConfig;
    if (now - this.#releasedAt < workerLeaseMs || !this.context.fresh() || this.context.watchCache.failures > 0) return;
    for (const { partitionId, ownershipTerm, claimTable } of owners) {
      const home = this.#orderFor(partitionId)[0]!;
      if (home === this.#settings.node || ownershipTerm.state !== 'held' || !claimTable.isFencingOver) continue;
      // What its home gave up itself, for its workers did not reach it, it gets back later.
      const patienceMs = ownershipTerm.releasedBy === home ? workerLeaseMs * CUT_OFF_RETURN_LEASES : workerLeaseMs;
      if (now - ownershipTerm.acquiredAt < patienceMs || !this.peers.isHealthy(home, workerLeaseMs)) continue;
      const ownership = this.#ownerships.get(ownershipTerm.resource)!;
      const attempt = ownership.release(this.context.clusterState.view(ownershipTerm.resource));
      if (attempt === null) continue;
      this.#releasedAt = now;
      this.#ended(ownershipTerm);
      void this.#release(ownership, attempt);
      return;
    }
  }

  async #release(ownership: Ownership, attempt: Release): Promise<void> {
    const { conditions, changes } = attempt.transaction;
    const revision = await this.context.commitWithRetry(URGENCY.renew, conditions, changes, () => !this.#stopped);
    ownership.released(attempt);
    const { resource, term } = attempt.ownershipTerm;
    this.context.log.info({ resource, term, done: revision > 0 }, 'partition released');
  }
}
