import { Cloud, sleep, URGENCY } from '@gingerlock/clients';
import type { Decision } from '@gingerlock/borrowing';
import {
  type Assignment,
  type AssignmentResult,
  assignedUnfinished,
  assignTasks,
  Fleet,
  isTried,
  type Job,
  joinRounds,
  type PartSummary,
  roundsOf,
  type Tenure,
  TrialSchedule,
  type Unmet,
} from '@gingerlock/core';
import {
  type Change,
  type CloudMachine,
  type Condition,
  jobRecord,
  KEYS,
  machineTypesMap,
  reclaimRecord,
  type RentRequest,
  RETURN_MOST,
  type Round,
} from '@gingerlock/wire';
import { type LeaderBorrowing, unmetWithout } from './leader-borrowing';
import { MachineOffers } from './machine-offers';
import type { Shared } from './shared';
import type { SeenSummary } from './summaries';
import type { TransactionRoom } from './transaction-room';

interface Meant {
  readonly revision: number;
  readonly part: number;
  readonly machine: string;
  readonly need: { cpus: number; gpus: number; memoryGb: number };
}

function recordWith(job: Job, failing: boolean, added: readonly Round[]): unknown {
  return jobRecord.write({
    final: null,
    spec: job.spec,
    acceptedAt: job.acceptedAt,
    cancelled: false,
    failing,
    rounds: joinRounds([...job.rounds, ...added], (task) => job.isFinished(task)),
  });
}

/** How the job's record is to end now: all tasks are finished or, of a job that is cancelled, gone; null: not yet. */
function finalOf(job: Job): 'done' | 'cancelled' | null {
  if (job.cancelled) return assignedUnfinished(job) === 0 ? 'cancelled' : null;
  return job.spec.kind === 'array' && job.complete ? 'done' : null;
}

/** Changes of job records in one transaction, each against the version that was read. */
class JobBatch {
  readonly conditions: Condition[] = [];
  readonly changes: Change[] = [];
  readonly jobs = new Set<string>();
  readonly #owners = new Set<string>();

  constructor(
    entitlement: Condition,
    readonly room: TransactionRoom,
  ) {
    this.#add([entitlement], []);
  }

  #add(conditions: readonly Condition[], changes: readonly Change[]): boolean {
    if (!this.room.add(conditions, changes)) return false;
    this.conditions.push(...conditions);
    this.changes.push(...changes);
    return true;
  }

  /** Writes the record of a job, and other changes that belong to it; false: the transaction has no room for them. */
  put(job: Job, record: unknown, ...others: readonly Change[]): boolean {
    const key = KEYS.job(job.id);
    if (!this.#add([{ key, version: job.version }], [{ put: key, value: record }, ...others])) return false;
    this.jobs.add(job.id);
    return true;
  }

  /** False: the transaction has no room for it. */
  remove(key: string): boolean {
    return this.#add([], [{ remove: key }]);
  }

  /** Removes the key if it still has that version; false: the transaction has no room for it. */
  removeIf(key: string, version: number): boolean {
    return this.#add([{ key, version }], [{ remove: key }]);
  }

  /** Makes the transaction rest on the partition's owner; false: it has no room for that. */
  requireOwner(condition: Condition): boolean {
    if (this.#owners.has(condition.key)) return true;
    if (!this.#add([condition], [])) return false;
    this.#owners.add(condition.key);
    return true;
  }
}

/** A reclaim that a transaction contains. */
interface AddedReclaim {
  readonly decision: Decision;
  readonly key: string;
  readonly meant: readonly Omit<Meant, 'revision'>[];
}

/** A reclaim changes the record of its job and adds its own. */
const CHANGES_PER_RECLAIM = 2;

/** How often a rental is sent under one name while its outcome is not known. */
const RENT_TRIES = 4;

/** The leader: assigns waiting tasks among the parts, closes jobs, and talks to the cloud. It commands no worker. */
export class Leader {
  readonly fleet: Fleet;
  readonly cloud: Cloud;
  /** Since when it has listened to the owners without standing still. */
  #since: number;
  readonly #trials: TrialSchedule;
  #assigning = false;
  #recent: Meant[] = [];
  #unmet: readonly Unmet[] = [];
  #drain: readonly string[] = [];
  readonly #gone = new Map<string, number>();
  readonly #offers: MachineOffers;
  #stopped = false;
  #listed = false;
  #typesAt = -Infinity;
  #toldAt = -Infinity;

  constructor(
    readonly shared: Shared,
    readonly tenure: Tenure,
    readonly summaries: () => readonly SeenSummary[],
    http: ConstructorParameters<typeof Cloud>[0],
    /** Null: borrowing is off. */
    readonly borrowing: LeaderBorrowing | null,
  ) {
    this.fleet = new Fleet(shared.facts, tenure.term, shared.settings.operators);
    this.cloud = new Cloud(http, shared.settings.cloud, shared.facts.reportMs * 2);
    this.#since = shared.clock.now();
    this.#offers = new MachineOffers(shared.facts.zones, shared.log);
    this.#trials = new TrialSchedule(shared.facts);
    void this.#cloudLoop();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** This controller stood still: what is free, up and asked for has to be heard anew before the fleet is changed. */
  resumedAfterStall(now: number): void {
    this.#since = now;
  }

  #isLeading(): boolean {
    return this.tenure.isCurrent && !this.#stopped;
  }

  /** Whether the cloud may be asked for changes now: looked at again before each request. */
  #mayManage(): boolean {
    return this.#isLeading() && this.shared.leaseValid() && this.shared.fresh();
  }

  /** Machines that get no more work, and those that are surely gone: told to the owners again and again. */
  orders(): { drain: readonly string[]; gone: readonly string[] } {
    return { drain: this.#drain, gone: [...this.#gone.keys()] };
  }

  #current(now: number): PartSummary[] {
    const { store, facts } = this.shared;
    return this.summaries()
      .filter(
        (s) =>
          now - s.at < facts.reportMs * 2 && store.owners.get(String(s.summary.part))?.record.term === s.summary.term,
      )
      .map((s) => s.summary);
  }

  tick(): void {
    if (!this.#assigning) void this.#assign();
  }

  async #assign(): Promise<void> {
    const { shared } = this;
    this.#assigning = true;
    try {
      while (this.#isLeading() && shared.leaseValid() && shared.fresh()) {
        if (!(await this.#assignOnce())) break;
      }
    } catch (error) {
      shared.log.error({ error: String(error) }, 'assigning failed');
    } finally {
      this.#assigning = false;
    }
  }

  /** One transaction of endings and assignments, or of cleaning up; false: there was nothing to do, or it failed. */
  async #assignOnce(): Promise<boolean> {
    const { shared } = this;
    const { store, facts, settings } = shared;
    const now = shared.clock.now();
    const current = this.#current(now);
    this.#reviewTrials(current, now);
    const batch = new JobBatch(this.tenure.condition, shared.transactionRoom());
    this.#close(batch);
    this.#recent = this.#recent.filter((r) => current.some((s) => s.part === r.part && s.revision < r.revision));
    const result = assignTasks({
      now,
      trials: this.#trials,
      jobs: store.jobs.live.values(),
      summaries: current,
      recent: this.#recent,
      facts,
      types: store.types,
      most: settings.txnOps - batch.changes.length,
      preempts: this.borrowing === null,
      heldBack: this.borrowing?.heldBack(current) ?? null,
    });
    const { assignments } = result;
    const meant = this.#addAssignments(batch, assignments, current);
    const reclaims = this.#addReclaims(batch, result, current);
    meant.push(...reclaims.flatMap(({ meant: machines }) => machines));
    this.#unmet = unmetWithout(
      result.unmet,
      reclaims.map(({ decision }) => decision),
    );
    this.#clearMarks(batch);
    this.#removeAbandoned(batch);
    if (batch.changes.length === 0) {
      if (store.leftovers.size === 0) return false;
      for (const key of store.leftovers) if (!batch.remove(key)) break;
    }
    const revision = await shared.settle(URGENCY.assign, batch.conditions, batch.changes, () => this.#isLeading());
    if (revision === 0) return false;
    for (const m of meant) this.#recent.push({ ...m, revision });
    for (const { decision, key } of reclaims) this.borrowing!.decided(decision, key);
    this.#noteTrials(assignments, batch, now);
    shared.log.debug({ jobs: [...batch.jobs] }, 'assigned and closed');
    return true;
  }

  #reviewTrials(current: readonly PartSummary[], now: number): void {
    const { live } = this.shared.store.jobs;
    const failing = [...live.values()].filter((job) => job.failing && !job.cancelled).map((job) => job.id);
    const running = new Map<string, number>();
    for (const { running: tasks } of current)
      for (const [job, n] of tasks) running.set(job, (running.get(job) ?? 0) + n);
    this.#trials.review(
      (job) => live.has(job),
      failing,
      (job) => running.get(job) ?? 0,
      now,
    );
  }

  /** Takes the mark off jobs of which a trial has run for long enough, and which have nothing to assign. */
  #clearMarks(batch: JobBatch): void {
    const { store, settings } = this.shared;
    for (const job of store.jobs.live.values()) {
      if (batch.changes.length >= settings.txnOps) return;
      if (!job.failing || job.cancelled || batch.jobs.has(job.id) || isTried(job, this.#trials)) continue;
      if (!batch.put(job, recordWith(job, false, []))) return;
    }
  }

  #noteTrials(assignments: readonly Assignment[], batch: JobBatch, now: number): void {
    for (const { job, added } of assignments) {
      if (!batch.jobs.has(job.id) || !job.markedFailing) continue;
      if (isTried(job, this.#trials)) this.#trials.tried(job.id, added[0]!.part, now);
    }
    for (const id of batch.jobs) if (this.#trials.isProven(id)) this.#trials.cleared(id);
  }

  /** Ends the jobs of which all tasks are finished, or, of those that are cancelled, gone. */
  #close(batch: JobBatch): void {
    for (const job of this.shared.store.jobs.live.values()) {
      const final = finalOf(job);
      if (final !== null && !batch.put(job, jobRecord.write({ final }))) return;
    }
  }

  /** Returns which machines the assigned tasks are meant for. */
  #addAssignments(
    batch: JobBatch,
    assignments: readonly Assignment[],
    current: readonly PartSummary[],
  ): Omit<Meant, 'revision'>[] {
    const { log } = this.shared;
    const meant: Omit<Meant, 'revision'>[] = [];
    for (const assignment of assignments) {
      const { job } = assignment;
      if (batch.jobs.has(job.id)) continue;
      const added = this.#fittingRounds(assignment);
      if (added.length === 0) {
        log.error({ job: job.id, rounds: job.rounds.length }, 'record too large, not assigned');
        continue;
      }
      if (!this.#requireOwners(batch, added)) return meant;
      if (!batch.put(job, recordWith(job, isTried(job, this.#trials), added))) return meant;
      for (const { machine, need } of assignment.meant) {
        const { part } = current.find((s) => s.machines.some((m) => m.name === machine))!;
        meant.push({ part, machine, need });
      }
    }
    return meant;
  }

  /** Decides for which tasks without room others are stopped: the rounds of the one and the record of it go into one transaction. */
  #addReclaims(batch: JobBatch, result: AssignmentResult, current: readonly PartSummary[]): AddedReclaim[] {
    if (this.borrowing === null) return [];
    const most = Math.floor((this.shared.settings.txnOps - batch.changes.length) / CHANGES_PER_RECLAIM);
    const decisions = this.borrowing.plan({
      result,
      summaries: current,
      taken: batch.jobs,
      most,
      rentMs: (job) => this.fleet.rentMs(job.spec, this.shared.store.types),
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
    const { job, tasks, places, machine } = decision;
    if (batch.jobs.has(job.id)) return null;
    const record = recordWith(job, false, roundsOf(tasks, places));
    const reclaim = borrowing.recordOf(decision);
    const value = reclaimRecord.write(reclaim.record);
    if (!this.shared.fitsValue(record) || !this.shared.fitsValue(value)) return null;
    const rounds = roundsOf(tasks, places);
    if (!this.#requireOwners(batch, rounds) || !batch.put(job, record, { put: reclaim.key, value })) return null;
    const meant = tasks.map(() => ({ part: places[0]!.part, machine, need: job.spec }));
    return { decision, key: reclaim.key, meant };
  }

  #removeAbandoned(batch: JobBatch): void {
    for (const { key, version } of this.borrowing?.abandoned() ?? []) {
      if (!batch.removeIf(key, version)) return;
      this.shared.log.info({ reclaim: key }, 'reclaim abandoned');
    }
  }

  /** Makes the batch rest on the owners of the partitions that the rounds name; false: it has no room for that. */
  #requireOwners(batch: JobBatch, rounds: readonly Round[]): boolean {
    return rounds.every(({ part }) => {
      const owner = this.shared.store.owners.get(String(part));
      return owner === undefined || batch.requireOwner({ key: KEYS.owner(String(part)), version: owner.version });
    });
  }

  /** As many of the new rounds as the job's record has room for; the other tasks are assigned when it has shrunk. */
  #fittingRounds(assignment: Assignment): Round[] {
    const added = [...assignment.added];
    while (added.length > 0 && !this.shared.fitsValue(recordWith(assignment.job, true, added))) added.pop();
    return added;
  }

  // --- cloud -------------------------------------------------------------------------------------------------------

  async #cloudLoop(): Promise<void> {
    const { shared } = this;
    const { facts, clock, settings } = shared;
    const pace = Math.max(facts.reportMs / 3, 3000 / settings.cloudRps);
    let listAt = -Infinity;
    while (!this.#stopped) {
      try {
        const now = clock.now();
        if (now - this.#typesAt > facts.listLagMs * 10 || shared.store.types.size === 0) await this.#types();
        if (now - listAt > Math.max(facts.listLagMs / 2, pace)) {
          listAt = now;
          const { failed } = this.fleet.listed(this.#knownMachines(await this.cloud.list()), clock.now());
          for (const name of failed) this.#gone.set(name, clock.now());
          this.#listed = true;
        }
        if (this.#mayManage()) await this.#manage();
      } catch (error) {
        shared.log.info({ error: String(error) }, 'cloud trouble');
      }
      for (const [name, at] of this.#gone) if (clock.now() - at > facts.leaseMs * 2) this.#gone.delete(name);
      await sleep(clock, pace);
    }
  }

  #knownMachines(listed: readonly CloudMachine[]): CloudMachine[] {
    return this.#offers.knownKinds(listed, (machine) => this.fleet.known.has(machine));
  }

  async #types(): Promise<void> {
    const { shared } = this;
    const { store } = shared;
    const list = await this.cloud.types();
    this.#typesAt = shared.clock.now();
    // Before the machines have been listed it is not known which types are used.
    const types = this.#offers.read(list, store.types.values(), (type) => !this.#listed || this.fleet.has(type));
    const value = machineTypesMap(types);
    const before = machineTypesMap([...store.types.values()]);
    // Prices of spot machines move all the time; what matters to all is what the machines are.
    const still = (v: unknown): string => JSON.stringify(v).replace(/"low_price":[0-9.]+/g, '');
    if (still(value) === still(before)) return;
    await shared.settle(URGENCY.accept, [this.tenure.condition], [{ put: KEYS.types, value }], () => this.#isLeading());
  }

  async #manage(): Promise<void> {
    const { shared } = this;
    const { facts, clock, store, log } = shared;
    const now = clock.now();
    const current = this.#current(now);
    const allHeard = current.length === (store.meta?.parts ?? Infinity);
    // Until all that is up has been heard, or has had the time to be, what is free is not known.
    const isFleetHeard = now - this.#since >= facts.reportMs * 2 || this.fleet.allHeard(current);
    if (!this.#listed || !allHeard || !isFleetHeard || this.#offers.current.size === 0) return;
    const plan = this.fleet.plan({
      now,
      types: this.#offers.current,
      summaries: current,
      unmet: this.#unmet,
      parts: store.partition!,
    });
    this.#drain = plan.drain;
    if (now - this.#toldAt > facts.listLagMs) {
      this.#toldAt = now;
      log.debug(this.fleet.figures(current, store.types), 'fleet');
    }
    if (plan.giveBack.length > 0) await this.#giveBack(plan.giveBack.slice(0, RETURN_MOST));
    // The lead may have been lost, or this controller have stood still, while the cloud was asked: the next leader rents too.
    for (const r of plan.rent) if (this.#mayManage()) await this.#rent(r);
  }

  async #giveBack(names: readonly string[]): Promise<void> {
    const { clock, log } = this.shared;
    if (!(await this.cloud.giveBack(names))) return;
    this.fleet.returned(names, clock.now());
    for (const name of names) this.#gone.set(name, clock.now());
    log.info({ machines: names }, 'machines returned');
  }

  async #rent(r: RentRequest): Promise<void> {
    const { clock, log, facts } = this.shared;
    // An unknown outcome is asked again under the same name: that rents nothing twice.
    for (let tries = 0; tries < RENT_TRIES && this.#mayManage(); tries++) {
      const result = await this.cloud.rent(r);
      if (result.kind === 'rented') {
        this.fleet.rented(result.names, r, clock.now());
        log.info({ ...r, machines: result.names }, 'machines rented');
        return;
      }
      if (result.kind === 'no capacity') {
        this.fleet.refused(r, clock.now());
        log.info({ ...r }, 'no capacity');
        return;
      }
      log.info({ ...r, why: result.why }, 'rental not answered');
      await sleep(clock, facts.reportMs / 2);
    }
    this.fleet.refused(r, clock.now());
  }
}
