// The typed view of the cluster state over the watch cache: jobs, owners, holds, memberships, reclaims and replica
// groups.
import { JobTable, Partitioner, type OwnershipView, type Versioned } from '@gingerlock/core';
import {
  type GroupRecord,
  groupRecord,
  holdRecord,
  type HoldRecord,
  type JobSpec,
  type MachineType,
  machineTypesOf,
  type Meta,
  metaRecord,
  ownerRecord,
  type OwnerRecord,
  parseKey,
  type ParsedKey,
  membershipRecord,
  type ReclaimRecord,
  reclaimRecord,
  termRecord,
} from '@gingerlock/wire';

const NO_RECLAIMS: ReadonlyMap<string, Versioned<ReclaimRecord>> = new Map();

/** Tasks in a page of finished tasks while `meta` is not known. Not used to place tasks: pages wait for `meta`. */
const DEFAULT_PAGE_TASKS = 8;

/** Notified of changes of the cluster state after they have been applied. */
export interface ClusterStateListener {
  /** The job has changed, or a change of another job affects it. */
  jobChanged(id: string): void;
  /** The record of a reclaim was removed at the revision. */
  reclaimEnded(partitionId: number, revision: number): void;
  /**
   * The machine's membership entry has changed. `isMember`: whether it may hold claims in the partition from now on.
   */
  membershipChanged(partitionId: number, machine: string, isMember: boolean): void;
}

const NO_LISTENER: ClusterStateListener = {
  jobChanged: () => undefined,
  reclaimEnded: () => undefined,
  membershipChanged: () => undefined,
};

type FinishedKey = Extract<ParsedKey, { kind: 'finished' | 'finishedFrom' }>;

/** A page of finished tasks that was read before `meta`. */
interface EarlyPage {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/**
 * The parsed content of this controller's watch cache. It is as recent as the cache, whose `onChange` applies each
 * change here, whether read from the store or made by this controller, before other code sees the new state. Callers
 * that need the newest state wait for `WatchCache.linearizableRead` first.
 */
export class ClusterState {
  /** The deployment's immutable settings; null if they have not been read or created yet. */
  meta: Meta | null = null;
  /** Created from `meta`; null while that is null. */
  partitioner: Partitioner | null = null;
  /** The counter from which terms of ownership are taken; null if no resource was ever acquired. */
  term: Versioned<number> | null = null;
  /** Machine types of the cloud, by name. */
  types: ReadonlyMap<string, MachineType> = new Map();
  readonly jobs: JobTable;
  /** By resource (a partition or the leadership): its latest owner, which may have lost the resource since. */
  readonly owners = new Map<string, Versioned<OwnerRecord>>();
  /** By resource: the hold record, which exists only while the owner's store lease does. */
  readonly holds = new Map<string, Versioned<HoldRecord>>();
  /** By resource: the last term whose owner has confirmed the time of its failover. */
  readonly confirmedTerms = new Map<string, number>();
  /** By partition: the machines that may hold a claim there, with their addresses. */
  readonly memberships = new Map<number, Map<string, string>>();
  /** Reclaims by partition and id. */
  readonly reclaims = new Map<number, Map<string, Versioned<ReclaimRecord>>>();
  /** By job: the record of its replica group. */
  readonly groups = new Map<string, Versioned<GroupRecord>>();
  /** Keys of finished pages whose job has been closed: nothing needs them any more. */
  readonly obsoleteKeys = new Set<string>();
  /**
   * Pages that wait for `meta`, which determines their tasks: a list read returns the pages first, in the order of the
   * keys.
   */
  #pagesBeforeMeta: EarlyPage[] = [];

  /** `isGroup`: whether the tasks of a job are the members of a replica group. */
  constructor(
    isGroup: (spec: JobSpec) => boolean = () => false,
    readonly listener: ClusterStateListener = NO_LISTENER,
  ) {
    this.jobs = new JobTable(() => this.meta?.pageTasks ?? DEFAULT_PAGE_TASKS, isGroup);
    this.jobs.onDerived = (id) => this.listener.jobChanged(id);
  }

  /** See `JobTable.markCancelled`. */
  markCancelled(id: string): void {
    this.jobs.markCancelled(id);
    this.listener.jobChanged(id);
  }

  /** Returns the records on the ownership of a resource (a partition or the leadership). */
  view(resource: string): OwnershipView {
    return {
      owner: this.owners.get(resource) ?? null,
      hold: this.holds.get(resource) ?? null,
      term: this.term,
      confirmedTerm: this.confirmedTerms.get(resource) ?? 0,
    };
  }

  /** The machines of the partition with their addresses: a live map, created if there is none yet. */
  membership(partitionId: number): Map<string, string> {
    let membership = this.memberships.get(partitionId);
    if (membership === undefined) {
      membership = new Map();
      this.memberships.set(partitionId, membership);
    }
    return membership;
  }

  /** The address of a machine of the partition; undefined if it is not a member. */
  addressOf(partitionId: number, machine: string): string | undefined {
    return this.memberships.get(partitionId)?.get(machine);
  }

  /** The reclaims of the partition that have not ended, by id. */
  reclaimsOf(partitionId: number): ReadonlyMap<string, Versioned<ReclaimRecord>> {
    return this.reclaims.get(partitionId) ?? NO_RECLAIMS;
  }

  /** Applies several changes of the watch cache; what follows for other jobs is derived once, at the end. */
  batch(changes: () => void): void {
    this.jobs.batch(changes);
  }

  /** Applies one change of the watch cache. `value`: undefined if the key was removed. Throws if it can't be parsed. */
  apply(key: string, value: unknown, version: number): void {
    const parsed = parseKey(key);
    switch (parsed.kind) {
      case 'meta':
        return this.#applyMeta(value);
      case 'term':
        this.term = value === undefined ? null : { record: termRecord.read(value), version };
        return;
      case 'types':
        if (value !== undefined) this.types = new Map(machineTypesOf(value).map((type) => [type.name, type]));
        return;
      case 'owner':
        return applyRecord(this.owners, parsed.resource, ownerRecord.read, value, version);
      case 'hold':
        return applyRecord(this.holds, parsed.resource, holdRecord.read, value, version);
      case 'confirmedTerm':
        if (value !== undefined) this.confirmedTerms.set(parsed.resource, termRecord.read(value));
        return;
      case 'membership':
        return this.#applyMembership(parsed.partitionId, parsed.machine, value);
      case 'reclaim':
        return this.#applyReclaim(parsed.partitionId, parsed.id, value, version);
      case 'group':
        applyRecord(this.groups, parsed.job, groupRecord.read, value, version);
        return this.listener.jobChanged(parsed.job);
      case 'job':
        return this.#applyJob(parsed.id, value, version);
      case 'finished':
      case 'finishedFrom':
        return this.#applyFinished(parsed, { key, value, version });
      case 'other':
        return;
    }
  }

  #applyMeta(value: unknown): void {
    if (value === undefined) return;
    this.meta = metaRecord.read(value);
    this.partitioner = new Partitioner(this.meta.partitionCount, this.meta.zones);
    for (const page of this.#pagesBeforeMeta.splice(0)) this.apply(page.key, page.value, page.version);
  }

  #applyMembership(partitionId: number, machine: string, value: unknown): void {
    const membership = this.membership(partitionId);
    if (value === undefined) membership.delete(machine);
    else membership.set(machine, membershipRecord.read(value));
    this.listener.membershipChanged(partitionId, machine, value !== undefined);
  }

  #applyReclaim(partitionId: number, id: string, value: unknown, version: number): void {
    const ofPartition = this.reclaims.get(partitionId) ?? new Map<string, Versioned<ReclaimRecord>>();
    this.reclaims.set(partitionId, ofPartition);
    if (value !== undefined) {
      ofPartition.set(id, { record: reclaimRecord.read(value), version });
      return;
    }
    if (ofPartition.delete(id)) this.listener.reclaimEnded(partitionId, version);
  }

  #applyJob(id: string, value: unknown, version: number): void {
    const pages = [...(this.jobs.live.get(id)?.pages.keys() ?? [])];
    const record = this.jobs.applyJob(id, value, version);
    if (record !== null && record.final !== null) for (const page of pages) this.obsoleteKeys.add(page);
    this.listener.jobChanged(id);
  }

  #applyFinished(parsed: FinishedKey, page: EarlyPage): void {
    if (this.meta === null) {
      this.#pagesBeforeMeta.push(page);
      return;
    }
    const { key, value, version } = page;
    this.jobs.applyFinished(parsed, value, version);
    if (value === undefined) this.obsoleteKeys.delete(key);
    else if (this.jobs.outcomes.has(parsed.id)) this.obsoleteKeys.add(key);
    this.listener.jobChanged(parsed.id);
  }
}

/** Sets a record with its version, or removes it if the value is undefined. */
function applyRecord<Value>(
  recordsById: Map<string, Versioned<Value>>,
  id: string,
  read: (value: unknown) => Value,
  value: unknown,
  version: number,
): void {
  if (value === undefined) recordsById.delete(id);
  else recordsById.set(id, { record: read(value), version });
}
