// The leader's part in replica groups: says which may be placed, stores each change of state, and tells the log of it.
import {
  type AssignmentResult,
  type GroupCandidate,
  type GroupChoice,
  type GroupPlacement,
  type GroupPlanner,
  type Job,
  assignedRangesOf,
  type UnschedulableDemand,
  type Versioned,
} from '@gingerlock/core';
import {
  chooseMachines,
  type GroupContext,
  holdsPartialCapacity,
  mayPlace,
  nextRecord,
  type ReplicaGroupSettings,
  reserve,
} from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord, type JobSpec, KEYS } from '@gingerlock/wire';
import type { GroupReports } from '../peers/group-reports';
import { type JobBatch, recordWith } from './job-batch';
import type { ControllerContext } from '../controller/controller-context';

/** A reservation changes the record of its job and that of its group. */
const CHANGES_PER_RESERVATION = 2;

/** What is told in the log once a change is stored. */
interface PendingLine {
  readonly detail: Record<string, unknown>;
  readonly message: string;
}

/** What the placement of groups asks of the fleet. */
export interface GroupFleetView {
  /** Machines that are to get no more work, whether their owners know it yet or not. */
  draining(): readonly string[];
  /** Whether the cloud had no room lately for the job in the zone. */
  lacksCapacityFor(job: JobSpec, zone: string): boolean;
}

const NO_FLEET: GroupFleetView = { draining: () => [], lacksCapacityFor: () => false };

export class LeaderGroups implements GroupPlanner {
  fleetView: GroupFleetView = NO_FLEET;
  /** By job that is to be in one zone: where room is asked for, until it is placed or the zone is full. */
  readonly #preferredZones = new Map<string, string>();
  /** Machines of reservations that are on their way into the state service. */
  #inFlight: readonly string[] = [];
  /** By job: since when it could have been placed, and when the log said last that it can't. */
  #waiting = new Map<string, { readonly since: number; loggedAt: number }>();
  /** By job: the record that was seen last, and since when. */
  readonly #known = new Map<string, { readonly version: number; readonly since: number }>();
  /** The longest that any task may take to save. */
  #longestSaveS = 0;
  #lines: PendingLine[] = [];
  #partlyFittingMachines: ReadonlySet<string> = new Set();

  constructor(
    readonly context: ControllerContext,
    readonly settings: ReplicaGroupSettings,
    readonly reports: GroupReports,
  ) {}

  // --- what the assignment asks ------------------------------------------------------------------------------------

  mayPlace(job: Job): boolean {
    return mayPlace(job, this.#stored(job)?.record ?? null, this.#contextOf(job));
  }

  choose(job: Job, candidates: readonly GroupCandidate[]): GroupChoice {
    const draining = new Set(this.fleetView.draining());
    const open = candidates.filter(({ machine }) => !draining.has(machine));
    const chooseIn = (zones: readonly string[]): GroupChoice =>
      chooseMachines(job, open, zones, this.#stored(job)?.record.avoid ?? null);
    const choice = chooseIn(this.context.clusterConfig.zones);
    if (choice.missing > 0 && job.spec.oneZone) return chooseIn([this.#preferredZone(job, chooseIn)]);
    this.#preferredZones.delete(job.id);
    return choice;
  }

  /**
   * The one zone in which room is asked for: another one only once the cloud has none there, or machines would be
   * rented in each by turns.
   */
  #preferredZone(job: Job, chooseIn: (zones: readonly string[]) => GroupChoice): string {
    const { zone: asked } = job.spec;
    const known = this.#preferredZones.get(job.id);
    if (asked !== null) return asked;
    if (known !== undefined && !this.fleetView.lacksCapacityFor(job.spec, known)) return known;
    const { zones } = this.context.clusterConfig;
    const withCapacity = zones.filter((zone) => !this.fleetView.lacksCapacityFor(job.spec, zone));
    const among = withCapacity.length > 0 ? withCapacity : zones;
    const best = among.reduce((a, b) => (chooseIn([b]).missing < chooseIn([a]).missing ? b : a));
    this.#preferredZones.set(job.id, best);
    return best;
  }

  holdsPartialCapacity(job: Job): boolean {
    const since = this.#waiting.get(job.id)?.since;
    return (
      since !== undefined && holdsPartialCapacity(this.context.clock.now() - since, this.context.clusterState.types)
    );
  }

  #stored(job: Job): Versioned<GroupRecord> | null {
    return this.context.clusterState.groups.get(job.id) ?? null;
  }

  #contextOf(job: Job): GroupContext {
    const { clusterState, clusterConfig, clock } = this.context;
    const stored = this.#stored(job);
    return {
      settings: this.settings,
      clusterConfig,
      types: clusterState.types,
      wall: clock.wall(),
      storedForMs: stored === null ? 0 : clock.now() - this.#knownSince(job.id, stored.version),
      longestSaveS: this.#longestSaveS,
      reportOf: (partitionId) => {
        const term = clusterState.owners.get(String(partitionId))?.record.term ?? 0;
        return this.reports.of(partitionId, term, job.id, stored?.version ?? Infinity);
      },
    };
  }

  /** Since when this process has known the record. A new leader counts anew. */
  #knownSince(job: string, version: number): number {
    const known = this.#known.get(job);
    if (known?.version === version) return known.since;
    const since = this.context.clock.now();
    this.#known.set(job, { version, since });
    return since;
  }

  /**
   * Machines that members are on, are to be on or were on a moment ago, and those with room for some members of a group
   * that waits for more: they are not emptied, nor given back while idle.
   */
  pinnedMachines(): Set<string> {
    const pinned = new Set([...this.#partlyFittingMachines, ...this.#inFlight]);
    for (const { record } of this.context.clusterState.groups.values()) {
      for (const { machine } of record.members) if (machine !== record.avoid) pinned.add(machine);
    }
    return pinned;
  }

  /** Room for members whose machine is lost: a boot may begin while the others are still being stopped. */
  endingDemand(): UnschedulableDemand[] {
    const { clusterState } = this.context;
    const demand: UnschedulableDemand[] = [];
    for (const [id, { record }] of clusterState.groups) {
      const job = clusterState.jobs.live.get(id);
      if (record.state !== 'ending' || job === undefined || job.cancelled || !job.isGroup) continue;
      const count = record.members.filter(({ machine }) => machine === record.avoid).length;
      if (count > 0) demand.push({ job, count, zones: job.spec.zone === null ? null : [job.spec.zone] });
    }
    return demand;
  }

  // --- transactions ------------------------------------------------------------------------------------------------

  /** Begins a transaction: what the one before would have told of is told or dropped. */
  begin(): void {
    this.#longestSaveS = 0;
    for (const { spec } of this.context.clusterState.jobs.live.values())
      this.#longestSaveS = Math.max(this.#longestSaveS, spec.saveS);
    this.#lines = [];
    this.#inFlight = [];
  }

  /** The transaction was carried out. */
  stored(): void {
    for (const { detail, message } of this.#lines) this.context.log.info(detail, message);
    this.#lines = [];
  }

  /** Adds the changes of state that are due, and the removal of records that no group has any more. */
  addChanges(batch: JobBatch): void {
    const { clusterState } = this.context;
    for (const job of clusterState.jobs.live.values()) {
      if (job.isGroup && !this.#addChange(batch, job)) return;
    }
    for (const [id, { version }] of clusterState.groups) {
      if (clusterState.jobs.live.get(id)?.isGroup === true) continue;
      this.#known.delete(id);
      if (!batch.removeIf(KEYS.group(id), version)) return;
    }
  }

  /** False: the transaction has no room left. */
  #addChange(batch: JobBatch, job: Job): boolean {
    const stored = this.#stored(job);
    const next = nextRecord(job, stored?.record ?? null, this.#contextOf(job));
    if (next === null || batch.jobs.has(job.id)) return true;
    // Members are admitted for the owners that keep their room now: a later one would start none of them.
    const owners = next.state === 'admitted' ? next.members.map(({ partitionId }) => partitionId) : [];
    if (!batch.requireOwners(this.context.clusterState.owners, owners)) return false;
    const change = { put: KEYS.group(job.id), value: groupRecord.write(next) };
    if (!batch.putIf(change, stored?.version ?? 0, { key: KEYS.job(job.id), version: job.version })) return false;
    this.#logOnceStored(job, next);
    return true;
  }

  /** Adds the reservations of groups for which room was found; returns what they will take of machines. */
  addReservations(
    batch: JobBatch,
    placements: readonly GroupPlacement[],
  ): { partitionId: number; machine: string; need: Job['spec'] }[] {
    const pendingAssignments: { partitionId: number; machine: string; need: Job['spec'] }[] = [];
    for (const placement of placements) {
      if (batch.jobs.has(placement.job.id) || !this.#addReservation(batch, placement)) continue;
      for (const { partitionId, machine } of placement.members)
        pendingAssignments.push({ partitionId, machine, need: placement.job.spec });
    }
    this.#inFlight = pendingAssignments.map(({ machine }) => machine);
    return pendingAssignments;
  }

  /** False: the transaction, or a record, has no room for it. */
  #addReservation(batch: JobBatch, { job, members }: GroupPlacement): boolean {
    const { clusterState, clock } = this.context;
    if (batch.changes.length + CHANGES_PER_RESERVATION > this.context.settings.txnOps) return false;
    const stored = this.#stored(job);
    const kept = members.map(({ partitionId, machine }) => ({ partitionId, machine, attempt: null }));
    const next = reserve(stored?.record ?? null, kept, Math.round(clock.wall()));
    const value = groupRecord.write(next);
    const assignedRanges = assignedRangesOf(
      members.map((_, rank) => rank),
      members,
    );
    const record = recordWith(job, false, assignedRanges);
    if (!this.context.fitsValue(record) || !this.context.fitsValue(value)) {
      this.context.log.error({ job: job.id, members: members.length }, 'group record too large, not placed');
      return false;
    }
    const owners = members.map(({ partitionId }) => partitionId);
    if (!batch.requireOwners(clusterState.owners, owners)) return false;
    if (!batch.requireVersion({ key: KEYS.group(job.id), version: stored?.version ?? 0 })) return false;
    if (!batch.put(job, record, { put: KEYS.group(job.id), value })) return false;
    this.#logOnceStored(job, next);
    return true;
  }

  // --- the log -----------------------------------------------------------------------------------------------------

  #logOnceStored(job: Job, { state, generation, reason, failures, avoid, members }: GroupRecord): void {
    const machines = [...new Set(members.map(({ machine }) => machine))];
    const detail = { job: job.id, team: job.spec.team, members: job.spec.tasks, generation, reason, failures };
    const where = avoid === null ? {} : { machine: avoid };
    this.#lines.push({ detail: { ...detail, ...where, machines }, message: `group ${state}` });
  }

  /** Notes since when groups wait, and says from time to time of each what it lacks. */
  noteUnplaced({ unschedulable, partlyFittingMachines }: AssignmentResult, now: number): void {
    this.#partlyFittingMachines = partlyFittingMachines;
    const before = this.#waiting;
    this.#waiting = new Map();
    for (const entry of unschedulable) {
      if (!entry.job.isGroup) continue;
      const known = before.get(entry.job.id) ?? { since: now, loggedAt: now };
      this.#waiting.set(entry.job.id, known);
      if (now - known.loggedAt < this.context.clusterConfig.workerLeaseMs) continue;
      known.loggedAt = now;
      this.#logUnplaced(entry, now - known.since);
    }
  }

  #logUnplaced({ job, count, zones }: UnschedulableDemand, waitedMs: number): void {
    const { team, tasks, cpus, gpus, memoryGb } = job.spec;
    const detail = { job: job.id, team, members: tasks, missing: count, each: { cpus, gpus, memoryGb }, zones };
    this.context.log.info({ ...detail, waitedMs: Math.round(waitedMs) }, 'group unschedulable');
  }
}
