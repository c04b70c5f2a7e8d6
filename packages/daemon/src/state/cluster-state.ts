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
  membershipRecord,
  type ReclaimRecord,
  reclaimRecord,
  termRecord,
} from '@gingerlock/wire';

const NO_RECLAIMS: ReadonlyMap<string, Versioned<ReclaimRecord>> = new Map();

/** What this controller's replica of the state service says, in our own terms. */
export class ClusterState {
  meta: Meta | null = null;
  /** Made of `meta`; null as long as that is. */
  partitioner: Partitioner | null = null;
  term: Versioned<number> | null = null;
  types: ReadonlyMap<string, MachineType> = new Map();
  readonly jobs: JobTable;
  readonly owners = new Map<string, Versioned<OwnerRecord>>();
  readonly holds = new Map<string, Versioned<HoldRecord>>();
  /** By slot: the last term of which the time of the takeover is known to be right. */
  readonly confirmedTerms = new Map<string, number>();
  /** By part: the machines that may hold a claim there, with their addresses. */
  readonly memberships = new Map<number, Map<string, string>>();
  /** By part and id. */
  readonly reclaims = new Map<number, Map<string, Versioned<ReclaimRecord>>>();
  /** By job: how its replica group stands. */
  readonly groups = new Map<string, Versioned<GroupRecord>>();
  /** Finished sets whose job has been closed: nothing needs them any more. */
  readonly obsoleteKeys = new Set<string>();
  /** Hears of each job that has changed, or for which something has changed because of another job. */
  onJob: (id: string) => void = () => undefined;
  /** Hears of the end of a reclaim. */
  onReclaimEnded: (partitionId: number, revision: number) => void = () => undefined;
  onMembership: (partitionId: number, machine: string, present: boolean) => void = () => undefined;

  /** Finished pages read before `meta`, which says what they stand for: lists come in the order of the keys. */
  #pagesBeforeMeta: { readonly key: string; readonly value: unknown; readonly version: number }[] = [];

  /** `isGroup`: whether the tasks of a job are the members of a replica group. */
  constructor(isGroup: (spec: JobSpec) => boolean = () => false) {
    this.jobs = new JobTable(() => this.meta?.pageTasks ?? 8, isGroup);
    this.jobs.onDerived = (id) => this.onJob(id);
  }

  /** See `JobTable.markCancelled`. */
  markCancelled(id: string): void {
    this.jobs.markCancelled(id);
    this.onJob(id);
  }

  view(resource: string): OwnershipView {
    return {
      owner: this.owners.get(resource) ?? null,
      hold: this.holds.get(resource) ?? null,
      term: this.term,
      confirmedTerm: this.confirmedTerms.get(resource) ?? 0,
    };
  }

  membership(partitionId: number): Map<string, string> {
    let membership = this.memberships.get(partitionId);
    if (membership === undefined) {
      membership = new Map();
      this.memberships.set(partitionId, membership);
    }
    return membership;
  }

  reclaimsOf(partitionId: number): ReadonlyMap<string, Versioned<ReclaimRecord>> {
    return this.reclaims.get(partitionId) ?? NO_RECLAIMS;
  }

  #applyReclaim(partitionId: number, id: string, value: unknown, version: number): void {
    const ofPartition = this.reclaims.get(partitionId) ?? new Map<string, Versioned<ReclaimRecord>>();
    this.reclaims.set(partitionId, ofPartition);
    if (value !== undefined) {
      ofPartition.set(id, { record: reclaimRecord.read(value), version });
      return;
    }
    if (ofPartition.delete(id)) this.onReclaimEnded(partitionId, version);
  }

  /** Throws if the value is none that we write. */
  apply(key: string, value: unknown, version: number): void {
    const k = parseKey(key);
    switch (k.kind) {
      case 'meta':
        if (value === undefined) return;
        this.meta = metaRecord.read(value);
        this.partitioner = new Partitioner(this.meta.partitionCount, this.meta.zones);
        for (const page of this.#pagesBeforeMeta.splice(0)) this.apply(page.key, page.value, page.version);
        return;
      case 'term':
        this.term = value === undefined ? null : { record: termRecord.read(value), version };
        return;
      case 'types':
        if (value !== undefined) this.types = new Map(machineTypesOf(value).map((t) => [t.name, t]));
        return;
      case 'owner':
        if (value === undefined) this.owners.delete(k.resource);
        else this.owners.set(k.resource, { record: ownerRecord.read(value), version });
        return;
      case 'hold':
        if (value === undefined) this.holds.delete(k.resource);
        else this.holds.set(k.resource, { record: holdRecord.read(value), version });
        return;
      case 'confirmedTerm':
        if (value !== undefined) this.confirmedTerms.set(k.resource, termRecord.read(value));
        return;
      case 'membership':
        if (value === undefined) this.membership(k.partitionId).delete(k.machine);
        else this.membership(k.partitionId).set(k.machine, membershipRecord.read(value));
        this.onMembership(k.partitionId, k.machine, value !== undefined);
        return;
      case 'reclaim':
        this.#applyReclaim(k.partitionId, k.id, value, version);
        return;
      case 'group':
        if (value === undefined) this.groups.delete(k.job);
        else this.groups.set(k.job, { record: groupRecord.read(value), version });
        this.onJob(k.job);
        return;
      case 'job': {
        const pages = [...(this.jobs.live.get(k.id)?.pages.keys() ?? [])];
        const record = this.jobs.applyJob(k.id, value, version);
        if (record !== null && record.final !== null) for (const page of pages) this.obsoleteKeys.add(page);
        this.onJob(k.id);
        return;
      }
      case 'finished':
      case 'finishedFrom':
        if (this.meta === null) {
          this.#pagesBeforeMeta.push({ key, value, version });
          return;
        }
        this.jobs.applyFinished(k, value, version);
        if (value === undefined) this.obsoleteKeys.delete(key);
        else if (this.jobs.finals.has(k.id)) this.obsoleteKeys.add(key);
        this.onJob(k.id);
        return;
      case 'other':
        return;
    }
  }
}
