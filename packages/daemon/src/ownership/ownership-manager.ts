// Carries out what the ownership state machines decide: acquires, resumes and releases partitions and the leadership.
import { type Clock, sleep, URGENCY } from '@gingerlock/clients';
import { type Acquisition, Ownership, type OwnershipTerm, type Release, type Resumption } from '@gingerlock/core';
import { LEADERSHIP } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import type { AcquisitionOrder } from './acquisition-order';
import { createDeploymentRecord } from './deployment-record';

/** Notified of the beginning and the end of each term of ownership. */
export interface OwnershipListener {
  /** This controller owns the resource of the term from now on. */
  acquired(ownershipTerm: OwnershipTerm): void;
  /** The term has ended for good: no worker may be answered under it. */
  ended(ownershipTerm: OwnershipTerm): void;
}

/** Why a partition is released. */
export type ReleaseReason = 'workers unreachable' | 'attempt numbers exhausted' | 'return to home';

/** Reads per heartbeat interval while reads of the store fail. */
const READ_RETRIES_PER_HEARTBEAT_INTERVAL = 5;

/** Holds one state machine for each partition and one for the leadership. */
export class OwnershipManager {
  /** Empty until the deployment's record has been read. */
  readonly #ownershipsByResource = new Map<string, Ownership>();
  readonly #clock: Clock;
  #stopped = false;

  constructor(
    readonly context: ControllerContext,
    /** Differs between two processes of one controller. */
    readonly process: string,
    readonly order: AcquisitionOrder,
    readonly listener: OwnershipListener,
  ) {
    this.#clock = context.clock;
  }

  /** Abandons the attempts under way. Owned resources are not released: their holds expire with the store lease. */
  stop(): void {
    this.#stopped = true;
  }

  /**
   * Decides on all resources after a read of the key-value store. Creates the deployment's record first if there is
   * none.
   */
  synced(): void {
    const { clusterState } = this.context;
    if (clusterState.meta === null) {
      void createDeploymentRecord(this.context, this.order);
      return;
    }
    if (this.#ownershipsByResource.size === 0) this.#createOwnerships(clusterState.meta.partitionCount);
    for (const ownership of this.#ownershipsByResource.values()) this.#decide(ownership);
  }

  #createOwnerships(partitionCount: number): void {
    for (let partitionId = 0; partitionId < partitionCount; partitionId++)
      this.#createOwnership(String(partitionId), () => this.order.partitionDelay(partitionId));
    this.#createOwnership(LEADERSHIP, () => this.order.leadershipDelay());
  }

  #createOwnership(resource: string, acquisitionDelay: () => number): void {
    const { node, clusterConfig, features } = this.context.settings;
    const localNode = {
      node,
      process: this.process,
      takesReportSpace: true,
      ...(features.borrowing === null ? {} : { takesClaimLists: true }),
      ...(features.replicaGroups === null ? {} : { takesGroupReports: true }),
    };
    this.#ownershipsByResource.set(resource, new Ownership(resource, clusterConfig, localNode, acquisitionDelay));
  }

  #decide(ownership: Ownership): void {
    const { context } = this;
    const lease = context.isLeaseValid() ? context.leaseId : null;
    const view = context.clusterState.view(ownership.resource);
    const decision = ownership.decide(view, lease, this.#clock.now(), this.#clock.wallNow());
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
    const ownershipTerm = ownership.acquired(attempt, revision, doneAt, this.#clock.now(), this.#clock.wallNow());
    if (ownershipTerm === null) return;
    const { resource, term, fencedUntil } = ownershipTerm;
    context.log.info(
      { resource, term, fencedForMs: Math.round(fencedUntil - this.#clock.now()) },
      'partition acquired',
    );
    this.listener.acquired(ownershipTerm);
    this.#confirmAcquisition(ownershipTerm);
  }

  /**
   * Reads until the watch cache shows what the previous owner wrote before it lost the resource, above all its
   * membership. Returns false if the acquisition is no longer wanted.
   */
  async #readUpTo(revision: number, isStillWanted: () => boolean): Promise<boolean> {
    const { watchCache, clusterConfig } = this.context;
    while (watchCache.revision < revision) {
      try {
        await watchCache.linearizableRead();
      } catch {
        await sleep(this.#clock, clusterConfig.heartbeatIntervalMs / READ_RETRIES_PER_HEARTBEAT_INTERVAL);
      }
      if (!isStillWanted()) return false;
    }
    return true;
  }

  #isOwnRecord(ownership: Ownership, version: number): boolean {
    return this.context.clusterState.owners.get(ownership.resource)?.version === version;
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
    const { resource, term } = ownershipTerm;
    if (revision === 0) {
      if (ownership.failed(attempt)) this.#ended(ownershipTerm);
    } else if (ownership.resumed(attempt)) {
      this.context.log.info({ resource, term }, 'ownership resumed');
    }
  }

  #ended(ownershipTerm: OwnershipTerm): void {
    const { resource, term } = ownershipTerm;
    this.context.log.info({ resource, term }, 'ownership ended');
    this.listener.ended(ownershipTerm);
  }

  /** Ends the term after a worker has seen the fencing token of a later owner. */
  superseded(ownershipTerm: OwnershipTerm): void {
    if (this.#ownershipsByResource.get(ownershipTerm.resource)?.stepDown(ownershipTerm) === true)
      this.#ended(ownershipTerm);
  }

  /**
   * Returns, for a query of the owner of a later term, whether this controller still owns the partition. Ends an
   * earlier term: without contact with the store, this controller may be the last to learn of the failover. The answer
   * false is final for all earlier terms.
   */
  ownsAfterQuery(partitionId: number, term: number): boolean {
    const ownership = this.#ownershipsByResource.get(String(partitionId));
    const ended = ownership?.renounceBefore(term) ?? null;
    if (ended !== null) this.#ended(ended);
    return (ownership?.ownershipTerm ?? null) !== null;
  }

  /**
   * Releases a partition that this controller owns. Its term has ended when this returns true, whatever the outcome of
   * the write that lets others acquire the partition at once. Returns false, and changes nothing, if the partition
   * can't be released now.
   */
  release(ownershipTerm: OwnershipTerm, reason: ReleaseReason): boolean {
    const { clusterState } = this.context;
    const ownership = this.#ownershipsByResource.get(ownershipTerm.resource)!;
    const attempt = ownership.release(clusterState.view(ownershipTerm.resource));
    if (attempt === null) return false;
    this.#logReason(ownershipTerm, reason);
    this.#ended(ownershipTerm);
    void this.#writeRelease(ownership, attempt);
    return true;
  }

  #logReason({ resource, term }: OwnershipTerm, reason: ReleaseReason): void {
    const { log } = this.context;
    const partitionId = Number(resource);
    switch (reason) {
      case 'workers unreachable':
        log.info({ partitionId }, 'workers can not reach this controller');
        return;
      case 'attempt numbers exhausted':
        log.info({ partitionId, term }, 'attempt numbers exhausted');
        return;
      case 'return to home':
        return;
    }
  }

  async #writeRelease(ownership: Ownership, attempt: Release): Promise<void> {
    const { conditions, changes } = attempt.transaction;
    const revision = await this.context.commitWithRetry(URGENCY.renew, conditions, changes, () => !this.#stopped);
    ownership.released(attempt);
    const { resource, term } = attempt.ownershipTerm;
    this.context.log.info({ resource, term, done: revision > 0 }, 'partition released');
  }
}
