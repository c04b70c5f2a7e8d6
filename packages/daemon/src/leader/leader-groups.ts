// Replica groups at the leader: decides which may be placed and where, and stores each change of their state.
import {
  type AssignmentResult,
  assignedRangesOf,
  type GroupCandidate,
  type GroupChoice,
  type GroupPlacement,
  type GroupPlanner,
  type Job,
  type UnschedulableDemand,
  type Versioned,
} from '@gingerlock/core';
import {
  backoffUntil,
  chooseMachines,
  type GroupContext,
  holdsPartialCapacity,
  isBackingOff,
  mayPlace,
  nextRecord,
  type ReplicaGroupSettings,
  reserve,
} from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord, type JobSpec, KEYS } from '@gingerlock/wire';
import type { GroupReports } from '../peers/group-reports';
import type { ControllerContext } from '../controller/controller-context';
import { type GroupWaitDetail, GroupWaitReasons } from './group-wait-reasons';
import { type JobBatch, recordWith } from './job-batch';
import type { PlannedUse } from './pending-assignments';
import { NeededMachines } from './needed-machines';
import { type ChooseInZones, PreferredZones } from './preferred-zones';
import { WaitingGroups } from './waiting-groups';

/** Changes that a reservation adds to a transaction: to the record of its job and to that of its group. */
const CHANGES_PER_RESERVATION = 2;

/** A log line that is written once the change that it reports is committed. */
interface PendingLine {
  readonly detail: Record<string, unknown>;
  readonly message: string;
}

/** The facts about the fleet that the placement of groups depends on. */
export interface GroupFleetView {
  /** Names of machines that must get no more work, even if their owners don't know it yet. */
  draining(): readonly string[];
  /** Whether the cloud has recently refused machines for the job in the zone for lack of capacity. */
  lacksCapacityFor(job: JobSpec, zone: string): boolean;
}

const NO_FLEET: GroupFleetView = { draining: () => [], lacksCapacityFor: () => false };

/** Manages replica groups during one term of leadership. */
export class LeaderGroups implements GroupPlanner {
  fleetView: GroupFleetView = NO_FLEET;
  readonly #preferredZones = new PreferredZones((job, zone) => this.fleetView.lacksCapacityFor(job, zone));
  readonly #waiting: WaitingGroups;
  readonly #waitReasons: GroupWaitReasons;
  /** Machines of reservations that are being committed. */
  #machinesInFlight: readonly string[] = [];
  /** By job id: the latest version of its group's record, and since when this leader has known it. */
  readonly #knownByJob = new Map<string, { readonly version: number; readonly since: number }>();
  /** The longest time that any task may take to save its state, in seconds. */
  #longestSaveS = 0;
  #pendingLines: PendingLine[] = [];
  readonly #neededMachines: NeededMachines;

  constructor(
    readonly context: ControllerContext,
    readonly settings: ReplicaGroupSettings,
    readonly reports: GroupReports,
  ) {
    this.#waiting = new WaitingGroups(context);
    this.#waitReasons = new GroupWaitReasons(context);
    this.#neededMachines = new NeededMachines(context.clusterConfig.workerLeaseMs);
  }

  // --- used by the assignment --------------------------------------------------------------------------------------

  mayPlace(job: Job): boolean {
    return mayPlace(job, this.#stored(job)?.record ?? null, this.#contextOf(job));
  }

  isBackingOff(job: Job): boolean {
    return isBackingOff(job, this.#stored(job)?.record ?? null, this.#contextOf(job));
  }

  choose(job: Job, candidates: readonly GroupCandidate[]): GroupChoice {
    const { zones } = this.context.clusterConfig;
    const draining = new Set(this.fleetView.draining());
    const available = candidates.filter(({ machine }) => !draining.has(machine));
    const avoid = this.#stored(job)?.record.avoidedMachine ?? null;
    const chooseIn: ChooseInZones = (among) => chooseMachines(job, available, among, avoid);
    const choice = chooseIn(zones);
    if (choice.missing > 0 && job.spec.oneZone) return chooseIn([this.#preferredZones.zoneFor(job, zones, chooseIn)]);
    this.#preferredZones.forget(job);
    return choice;
  }

  holdsPartialCapacity(job: Job): boolean {
    const { clock, clusterState } = this.context;
    const waitedMs = this.#waiting.waitedMs(job.id, clock.now());
    return waitedMs !== null && holdsPartialCapacity(waitedMs, clusterState.types);
  }

  #stored(job: Job): Versioned<GroupRecord> | null {
    return this.context.clusterState.groups.get(job.id) ?? null;
  }

  #contextOf(job: Job): GroupContext {
    const { clusterState, clusterConfig, clock } = this.context;
    const committed = this.#stored(job);
    return {
      settings: this.settings,
      clusterConfig,
      types: clusterState.types,
      wallNow: clock.wallNow(),
      storedForMs: committed === null ? 0 : clock.now() - this.#knownSince(job.id, committed.version),
      longestSaveS: this.#longestSaveS,
      reportOf: (partitionId) => {
        const term = clusterState.owners.get(String(partitionId))?.record.term ?? 0;
        return this.reports.of(partitionId, term, job.id, committed?.version ?? Infinity);
      },
    };
  }

  /** Since when this leader has known that version of the record; now, if the version is new to it. */
  #knownSince(job: string, version: number): number {
    const known = this.#knownByJob.get(job);
    if (known?.version === version) return known.since;
    const since = this.context.clock.now();
    this.#knownByJob.set(job, { version, since });
    return since;
  }

  // --- used by the autoscaling -------------------------------------------------------------------------------------

  /**
   * Names of machines that must not be drained for consolidation or scaled in while idle: machines of current, recent
   * and reserved members, machines on which a group in backoff could be placed, and machines that fit some members of a
   * group that waits for more machines. `NeededMachines` keeps them for a while after an assignment that needed them.
   */
  pinnedMachines(): Set<string> {
    const needed = this.#neededMachines.at(this.context.clock.now());
    return new Set([...needed, ...this.#machinesInFlight, ...this.#machinesOfMembers()]);
  }

  /** The machines of the members of all groups. Avoided machines are included: they may be the only ones available. */
  #machinesOfMembers(): string[] {
    const records = [...this.context.clusterState.groups.values()].map(({ record }) => record);
    return records.flatMap(({ members }) => members.map(({ machine }) => machine));
  }

  /**
   * Demand of members whose machine is lost: a replacement may be scaled out while the other members are being stopped.
   */
  endingDemand(): UnschedulableDemand[] {
    const { clusterState } = this.context;
    const demand: UnschedulableDemand[] = [];
    for (const [id, { record }] of clusterState.groups) {
      const job = clusterState.jobs.live.get(id);
      if (record.state !== 'ending' || job === undefined || job.isCancelled || !job.isGroup) continue;
      const count = record.members.filter(({ machine }) => machine === record.avoidedMachine).length;
      if (count > 0) demand.push({ job, count, zones: job.spec.zone === null ? null : [job.spec.zone] });
    }
    return demand;
  }

  // --- transactions ------------------------------------------------------------------------------------------------

  /** Begins a transaction, and drops the log lines of a previous one that was not committed. */
  begin(): void {
    const jobs = [...this.context.clusterState.jobs.live.values()];
    this.#longestSaveS = jobs.reduce((longestS, { spec }) => Math.max(longestS, spec.saveS), 0);
    this.#pendingLines = [];
    this.#machinesInFlight = [];
  }

  /** Writes the log lines of the transaction, which has been committed. */
  stored(): void {
    for (const { detail, message } of this.#pendingLines) this.context.log.info(detail, message);
    this.#pendingLines = [];
  }

  /** Adds the state changes that are due, and removes the records of jobs that have ended or are not groups. */
  addChanges(batch: JobBatch): void {
    const { clusterState } = this.context;
    for (const job of clusterState.jobs.live.values()) {
      if (job.isGroup && !this.#addChange(batch, job)) return;
    }
    for (const [id, { version }] of clusterState.groups) {
      if (clusterState.jobs.live.get(id)?.isGroup === true) continue;
      this.#knownByJob.delete(id);
      if (!batch.removeIf(KEYS.group(id), version)) return;
    }
  }

  /** Returns false if the transaction has no space left. */
  #addChange(batch: JobBatch, job: Job): boolean {
    const stored = this.#stored(job);
    const next = nextRecord(job, stored?.record ?? null, this.#contextOf(job));
    if (next === null || batch.jobs.has(job.id)) return true;
    // Admission requires the owners that have reserved resources for the members: a later owner would not start
    // them.
    const owners = next.state === 'admitted' ? next.members.map(({ partitionId }) => partitionId) : [];
    if (!batch.requireOwners(this.context.clusterState.owners, owners)) return false;
    const change = { put: KEYS.group(job.id), value: groupRecord.write(next) };
    if (!batch.putIf(change, stored?.version ?? 0, { key: KEYS.job(job.id), version: job.version })) return false;
    this.#logOnceCommitted(job, next);
    return true;
  }

  /** Adds the reservations of groups that were placed. Returns the resources that their members will use. */
  addReservations(batch: JobBatch, placements: readonly GroupPlacement[]): PlannedUse[] {
    const uses: PlannedUse[] = [];
    for (const placement of placements) {
      const { job, members } = placement;
      if (batch.jobs.has(job.id) || !this.#addReservation(batch, placement)) continue;
      for (const { partitionId, machine } of members) uses.push({ partitionId, machine, need: job.need });
    }
    this.#machinesInFlight = uses.map(({ machine }) => machine);
    return uses;
  }

  /** Returns false if the transaction or a record has no space for the reservation. */
  #addReservation(batch: JobBatch, { job, members }: GroupPlacement): boolean {
    const { clusterState, clock, log, settings } = this.context;
    if (batch.changes.length + CHANGES_PER_RESERVATION > settings.maxTransactionOps) return false;
    const stored = this.#stored(job);
    const reserved = members.map(({ partitionId, machine }) => ({ partitionId, machine, attempt: null }));
    const next = reserve(stored?.record ?? null, reserved, Math.round(clock.wallNow()));
    const value = groupRecord.write(next);
    const ranks = members.map((_, rank) => rank);
    const record = recordWith(job, false, assignedRangesOf(ranks, members));
    if (!this.context.fitsValue(record) || !this.context.fitsValue(value)) {
      log.error({ job: job.id, members: members.length }, 'group record too large, not placed');
      return false;
    }
    const owners = members.map(({ partitionId }) => partitionId);
    if (!batch.requireOwners(clusterState.owners, owners)) return false;
    if (!batch.requireVersion({ key: KEYS.group(job.id), version: stored?.version ?? 0 })) return false;
    if (!batch.put(job, record, { put: KEYS.group(job.id), value })) return false;
    this.#logOnceCommitted(job, next);
    return true;
  }

  #logOnceCommitted(job: Job, { state, generation, reason, failures, avoidedMachine, members }: GroupRecord): void {
    const machines = [...new Set(members.map(({ machine }) => machine))];
    const detail = { job: job.id, team: job.spec.team, members: job.spec.tasks, generation, reason, failures };
    const where = avoidedMachine === null ? {} : { machine: avoidedMachine };
    this.#pendingLines.push({ detail: { ...detail, ...where, machines }, message: `group ${state}` });
  }

  /** The machine that the group avoids, if any. The group needs it too while there are too few other machines. */
  #avoidedBy(job: Job): string[] {
    const avoid = this.#stored(job)?.record.avoidedMachine ?? null;
    return avoid === null ? [] : [avoid];
  }

  /** Details for on-call to judge the wait: when the backoff ends, and which machines are avoided or not chosen. */
  #waitDetail(job: Job): GroupWaitDetail {
    const stored = this.#stored(job)?.record ?? null;
    const { settings, context } = this;
    const until = backoffUntil(job, stored, { settings, clusterConfig: context.clusterConfig });
    return {
      generation: stored?.generation ?? 0,
      failures: stored?.failures ?? 0,
      backoffUntil: until === -Infinity ? null : new Date(until).toISOString(),
      avoided: stored?.avoidedMachine ?? null,
      draining: this.fleetView.draining(),
    };
  }

  /** Records the groups that the assignment could not place, and the machines that they need. */
  recordUnplaced(result: AssignmentResult, now: number): void {
    const { unschedulable, waitingGroups, partlyFittingMachines, backoffMachines } = result;
    const avoided = waitingGroups.filter(({ why }) => why === 'no machines').map(({ job }) => this.#avoidedBy(job));
    this.#neededMachines.add([...partlyFittingMachines, ...backoffMachines, ...this.#machinesOfMembers()], now);
    this.#neededMachines.add(avoided.flat(), now);
    this.#waiting.update(unschedulable, now);
    this.#waitReasons.update(
      waitingGroups.map(({ job, why }) => ({ job, why, detail: this.#waitDetail(job) })),
      now,
    );
  }
}
