import {
  type Amounts,
  type Bits,
  finishedPageFor,
  grantViewMs,
  type Job,
  type Machine,
  type MachineRoom,
  NOTHING,
  joinRounds,
  pack,
  ClaimTable,
  type PartSummary,
  plannedByRank,
  plus,
  type Slot,
  type Tenure,
  toCall,
  vacate,
  withoutTasks,
} from '@gingerlock/core';
import { URGENCY } from '@gingerlock/clients';
import {
  type Change,
  type Condition,
  decodeReport,
  encodeDirectOrders,
  finishedRecord,
  jobRecord,
  KEYS,
  PRIORITIES,
  membershipRecord,
} from '@gingerlock/wire';
import { OwnerReclaims } from './owner-reclaims';
import { DISPLAY_LAG_MS, type Shared } from './shared';

/** A change of one key with the conditions it needs, and what to do before it is sent. */
interface Write {
  readonly conditions: readonly Condition[];
  readonly change: Change;
  readonly prepare?: () => void;
  /** The change was surely not carried out and can't be any more. */
  readonly failed?: () => void;
}

/** While less than this share of the changes that may go at once is left, completed tasks wait for others to join them. */
const SPARE_WRITES = 0.9;

/** How long at the most they then wait, in report intervals. */
const SHORT_FINISH_INTERVALS = 2;

/** How many machines are shown a new owner's term at each tick at the least: all at once would hold up everything else. */
const LEAST_CALLS_PER_TICK = 8;

/** All machines that are not heard have been called once within this share of a worker's lease, however many they are. */
const CALL_ROUND_LEASES = 0.5;

/** What a summary says of a machine that has no lease with its owner: longer than any time that is compared with it. */
const NEVER_HEARD_MS = 1e9;

/** One part that this controller owns: its claim table, and the writes that follow from it. */
export class PartOwner {
  readonly claimTable: ClaimTable;
  /** Null: borrowing is off. */
  readonly reclaims: OwnerReclaims | null;
  #writing = false;
  #scannedAt = 0;
  #stuck: readonly Slot[] = [];
  #rooms: ReadonlyMap<object, Amounts> = new Map();
  #packedAt = -Infinity;
  #packedChange = -1;
  readonly #membershipRemovals = new Set<string>();
  /** Machines of the membership that are to be shown our term, how many at each tick, and when the last round of that began. */
  #toCall: string[] = [];
  #callsPerTick = LEAST_CALLS_PER_TICK;
  #calledAt = -Infinity;
  /** By machine: what an earlier owner told of it. Good for the first call only. */
  #before: ReadonlyMap<string, MachineRoom>;

  constructor(
    readonly shared: Shared,
    readonly part: number,
    /** Fixed for the life of this object: all that it writes and sends rests on the term and version of this one tenure. */
    readonly tenure: Tenure,
    before: ReadonlyMap<string, MachineRoom>,
  ) {
    const { store, facts, clock, log } = shared;
    this.#before = before;
    this.reclaims = shared.settings.features.borrowing === null ? null : new OwnerReclaims(shared, part);
    this.claimTable = new ClaimTable({
      facts,
      part,
      term: tenure.term,
      fencedUntil: tenure.fencedUntil,
      openedAt: tenure.takenAt,
      jobs: store.jobs,
      types: () => store.types,
      membership: store.membership(part),
      ...(this.reclaims === null ? {} : { reservations: this.reclaims.reservations, preempts: false }),
      attemptsPerTerm: shared.limits.attemptsPerTerm,
      images: new Map([...before].map(([name, m]) => [name, m.images])),
      log: (message, detail) => log.debug({ part, ...detail }, message),
      alarm: (message, detail) => log.error({ part, term: tenure.term, ...detail }, message),
    });
    for (const id of store.jobs.live.keys()) this.claimTable.syncJob(id, clock.now());
    this.reclaims?.attach(this.claimTable);
  }

  /**
   * Shows our term to the machines that are not heard, in rounds. A round is finished before the next begins: begun anew after each
   * report interval, it once left out all but the first hundred or so while those did not answer.
   */
  #callUnheard(now: number): void {
    const { facts, tickMs } = this.shared;
    if (this.#toCall.length === 0 && now - this.#calledAt > facts.reportMs) {
      if (this.#calledAt !== -Infinity) this.#before = new Map();
      this.#calledAt = now;
      this.#toCall = [...this.claimTable.unheard.keys()];
      const ticks = Math.max(1, Math.floor((facts.leaseMs * CALL_ROUND_LEASES) / tickMs));
      this.#callsPerTick = Math.max(LEAST_CALLS_PER_TICK, Math.ceil(this.#toCall.length / ticks));
    }
    for (const name of this.#toCall.splice(0, this.#callsPerTick)) {
      const addr = this.claimTable.unheard.get(name);
      if (addr !== undefined) void this.#call(name, addr, this.#before.get(name)?.session);
    }
  }

  /** Stops of a cancelled job go out at once: its room is wanted, and nobody has any use for what it does now. */
  jobChanged(id: string): void {
    this.#pushAll(this.claimTable.syncJob(id, this.shared.clock.now()));
  }

  tick(now: number): void {
    for (const name of this.claimTable.tick(now)) this.#membershipRemovals.add(name);
    this.#callUnheard(now);
    if (now - this.#scannedAt > this.shared.scanMs) {
      this.#scannedAt = now;
      this.claimTable.scan();
    }
    if (this.reclaims !== null && this.isOwner()) this.#pushAll(this.reclaims.step(this.claimTable, now));
    if (this.claimTable.changes !== this.#packedChange || now - this.#packedAt > this.shared.facts.reportMs / 3) {
      this.#packedChange = this.claimTable.changes;
      this.#packedAt = now;
      const { rooms, stuck, stopped } = pack(this.claimTable, now);
      this.#rooms = rooms;
      this.#stuck = stuck;
      if (this.mayGrant(now))
        stopped.push(...vacate(this.claimTable, rooms, () => this.shared.spareCapacity(this.part), now));
      this.#pushAll(stopped);
      if (this.mayGrant(now)) for (const machine of toCall(this.claimTable, now)) this.#callForReport(machine, now);
    }
    void this.#write();
  }

  #pushAll(stopped: readonly Slot[]): void {
    for (const machine of new Set(stopped.map((s) => s.claim!.machine))) {
      this.#pushStops(
        machine,
        stopped.filter((s) => s.claim!.machine === machine),
      );
    }
  }

  /**
   * Sends stops straight to the worker, to win the wait for its next report. Only stops ever go this way: a start that
   * was held back on the way could be carried out minutes later.
   */
  #pushStops(machine: Machine, slots: readonly Slot[]): void {
    const commands = slots.map((s) => ({
      op: 'stop' as const,
      task: s.name,
      attempt: s.claim!.attempt,
      graceS: s.claim!.stopGraceS ?? 0,
    }));
    const body = encodeDirectOrders(this.claimTable.token(machine), machine.session, commands);
    const { http, facts, log } = this.shared;
    http(machine.addr, 'POST', '/commands', body, facts.reportMs * 2).catch((error: unknown) => {
      // The answer to its next report says the same.
      log.debug({ machine: machine.name, error: String(error) }, 'direct stop not answered');
    });
  }

  /**
   * Has a machine report now rather than in its own time, by showing it a higher token of the same term: a waiting task
   * is planned for it. It still is the report that claims the task, and the start rides in the answer.
   */
  #callForReport(machine: Machine, now: number): void {
    const body = encodeDirectOrders(this.claimTable.call(machine, now), machine.session, []);
    const { http, facts, log } = this.shared;
    http(machine.addr, 'POST', '/commands', body, facts.reportMs).catch((error: unknown) => {
      // Then it reports in its own time.
      log.debug({ machine: machine.name, error: String(error) }, 'call not answered');
    });
  }

  /** Whether this controller is the owner, as far as any read of its own shows: nobody is answered on other grounds. */
  isOwner(): boolean {
    const { key, version } = this.tenure.condition;
    // The version rather than the record: one that can't be read is not ours either.
    return this.tenure.isCurrent && this.shared.replica.version(key) === version;
  }

  /** Whether starts may be given now: we surely own the part, and have seen every cancellation but the newest. */
  mayGrant(now: number): boolean {
    const { replica, facts } = this.shared;
    return (
      this.tenure.state === 'held' &&
      this.isOwner() &&
      this.shared.leaseValid() &&
      replica.contactAt !== null &&
      // A new lease says nothing of holds that were attached to the one before: somebody else may have them.
      replica.contactAt >= this.shared.leaseSince &&
      now < replica.contactAt + grantViewMs(facts)
    );
  }

  /**
   * Shows our term to a machine of the membership that has not reported to us: it then reports the higher token, upon which
   * an old owner that still answers it steps down. Neither answer is taken as proof of anything: it can overtake a start
   * that is under way.
   */
  async #call(name: string, addr: string, known: number | undefined): Promise<void> {
    const { http, facts, log } = this.shared;
    try {
      const session = known ?? decodeReport((await http(addr, 'GET', '/inspect', null, facts.reportMs)).body).session;
      await http(
        addr,
        'POST',
        '/commands',
        encodeDirectOrders(this.claimTable.token(this.claimTable.machines.get(name)), session, []),
        facts.reportMs,
      );
    } catch (error) {
      log.debug({ machine: name, error: String(error) }, 'machine of the membership not reached');
    }
  }

  gone(name: string): void {
    this.claimTable.gone(name, this.shared.clock.now());
    this.#membershipRemovals.add(name);
  }

  // --- writes ------------------------------------------------------------------------------------------------------

  async #write(): Promise<void> {
    if (this.#writing) return;
    this.#writing = true;
    try {
      for (let more = true; more;) more = await this.#writeOnce();
    } catch (error) {
      this.shared.log.error({ part: this.part, error: String(error) }, 'write failed');
    } finally {
      this.#writing = false;
    }
  }

  /** How long a completed task may wait for others of its job before it is written. */
  #finishPatienceMs(): number {
    const { state, facts } = this.shared;
    const isShort = state.options.budget.spareWrites() < SPARE_WRITES;
    return isShort ? facts.reportMs * SHORT_FINISH_INTERVALS : DISPLAY_LAG_MS / 2;
  }

  #writes(now: number): { writes: Write[]; urgency: (typeof URGENCY)[keyof typeof URGENCY] } {
    const { store, replica } = this.shared;
    const writes: Write[] = [];
    const membership = store.membership(this.part);
    for (const m of this.claimTable.machines.values()) {
      if (!m.synchronised || m.answeredAt === null || m.isMember || this.#membershipRemovals.has(m.name)) continue;
      if (membership.has(m.name)) {
        // Heard only after the fencing period, or again before its removal: no change of that is under way here.
        this.claimTable.setMember(m.name, true);
        continue;
      }
      // A name goes into the membership before its first grant, so that a new owner knows to ask for it.
      const key = KEYS.membership(this.part, m.name);
      writes.push({
        conditions: [{ key, version: replica.version(key) }],
        change: { put: key, value: membershipRecord.write(m.addr) },
      });
    }
    if (writes.length > 0) return { writes, urgency: URGENCY.accept };
    if (this.reclaims !== null) writes.push(...this.reclaims.removals());
    const touched = new Set<string>();
    for (const [id, slots] of this.claimTable.finishing(now, this.#finishPatienceMs())) {
      touched.add(id);
      writes.push(...this.#finish(slots[0]!.job, slots));
    }
    for (const [id, slots] of this.claimTable.giveBack(this.#stuck, now)) {
      if (touched.has(id)) continue;
      const write = this.#handBack(slots[0]!.job, slots);
      if (write !== null) writes.push(write);
    }
    if (writes.length === 0) {
      for (const name of this.#membershipRemovals) {
        const machine = this.claimTable.machines.get(name);
        // It has come back, or has no entry any more.
        if ((machine !== undefined && machine.answeredAt !== null) || !membership.has(name)) {
          this.#membershipRemovals.delete(name);
          continue;
        }
        const key = KEYS.membership(this.part, name);
        writes.push({
          conditions: [{ key, version: replica.version(key) }],
          change: { remove: key },
          prepare: () => this.claimTable.setMember(name, false),
          // Still there: a machine that has come back meanwhile was never given work again.
          failed: () => this.claimTable.setMember(name, membership.has(name)),
        });
      }
      return { writes, urgency: URGENCY.rest };
    }
    return { writes, urgency: URGENCY.finish };
  }

  /** Gives back as many of the tasks as the record without them fits into a value; null: it fits with none. */
  #handBack(job: Job, slots: readonly Slot[]): Write | null {
    const byIndex = [...slots].sort((a, b) => a.index - b.index);
    for (let count = byIndex.length; count > 0; count = Math.floor(count / 2)) {
      const returned = byIndex.slice(0, count);
      const value = this.#recordWithout(job, returned);
      if (!this.shared.fitsValue(value)) continue;
      const key = KEYS.job(job.id);
      return {
        conditions: [{ key, version: job.version }],
        change: { put: key, value },
        prepare: () => this.claimTable.leaving(returned, this.shared.clock.now()),
        failed: () => this.claimTable.stayed(returned, this.shared.clock.now()),
      };
    }
    return null;
  }

  #recordWithout(job: Job, slots: readonly Slot[]): unknown {
    const { spec, acceptedAt, cancelled } = job;
    const left = withoutTasks(job.rounds, this.part, new Set(slots.map((s) => s.index)));
    // Finished tasks are off their machines: of a cancelled job nothing is left to wait for when only they remain.
    const rounds = joinRounds(left, (task) => job.isFinished(task));
    if (cancelled && rounds.length === 0) return jobRecord.write({ final: 'cancelled' });
    const failing = this.claimTable.isMarkedOnReturn(job, slots, this.shared.clock.now());
    return jobRecord.write({ final: null, spec, acceptedAt, cancelled, failing, rounds });
  }

  /** Writes the finished tasks of one job; the last ones close it. */
  #finish(job: Job, slots: readonly Slot[]): Write[] {
    if (job.finishedCount + slots.length >= job.spec.tasks) {
      const key = KEYS.job(job.id);
      // Against this version: a cancellation and the end exclude each other.
      return [
        {
          conditions: [{ key, version: job.version }],
          change: { put: key, value: jobRecord.write({ final: 'done' }) },
        },
      ];
    }
    const limits = { pageTasks: this.shared.store.meta!.pageTasks, valueBytes: this.shared.settings.valueBytes };
    const pages = new Map<string, Bits>();
    for (const slot of slots) {
      const { key, first, bits } = finishedPageFor(job, this.part, slot.index, limits);
      pages.set(key, (pages.get(key) ?? bits).with(slot.index - first));
    }
    return [...pages].map(([key, bits]) => {
      return {
        conditions: [{ key, version: this.shared.replica.version(key) }],
        change: { put: key, value: finishedRecord.write(bits.bytes) },
      };
    });
  }

  async #writeOnce(): Promise<boolean> {
    const { shared } = this;
    if (!this.isOwner() || !shared.fresh()) return false;
    const { writes, urgency } = this.#writes(shared.clock.now());
    if (writes.length === 0) return false;
    const batch = this.#fittingWrites(writes);
    for (const w of batch) w.prepare?.();
    const conditions = [this.tenure.condition, ...batch.flatMap((w) => w.conditions)];
    const changes = batch.map((w) => w.change);
    shared.log.debug(
      { part: this.part, urgency, keys: changes.map((c) => ('put' in c ? c.put : c.remove)) },
      'writing',
    );
    const done = await shared.settle(urgency, conditions, changes, () => this.tenure.isCurrent);
    // A conflict over one job fails the whole batch: the others' tasks, too, are still here.
    if (done === 0) for (const w of batch) w.failed?.();
    // What is finished or given back shows in the replica, and leaves the claim table with it.
    return done > 0 && this.tenure.isCurrent;
  }

  /** As many of the writes, from the first on, as one transaction may hold. */
  #fittingWrites(writes: readonly Write[]): Write[] {
    const room = this.shared.transactionRoom();
    room.add([this.tenure.condition], []);
    const fitting: Write[] = [];
    for (const write of writes) {
      if (!room.add(write.conditions, [write.change])) break;
      fitting.push(write);
    }
    return fitting;
  }

  // --- what others are told ----------------------------------------------------------------------------------------

  summary(now: number): PartSummary {
    const { claimTable } = this;
    const machines: MachineRoom[] = [];
    const planned = plannedByRank(claimTable);
    for (const m of claimTable.machines.values()) {
      const byRank: Amounts[] = planned.get(m) ?? PRIORITIES.map(() => NOTHING);
      for (const slot of m.claims.values()) {
        if (slot.claim!.stopGraceS === null) byRank[slot.job.rank] = plus(byRank[slot.job.rank]!, slot.job.spec);
      }
      machines.push({
        name: m.name,
        type: m.type,
        zone: m.zone,
        spot: m.spot,
        session: m.session,
        free: this.#rooms.get(m) ?? NOTHING,
        byRank,
        images: m.cache.images(),
        takesWork: claimTable.takesWork(m, now) && this.#rooms.has(m),
        draining: m.draining,
        evictionNotice: m.evictionNotice,
        unhealthy: claimTable.isUnhealthy(m),
        empty: m.claims.size === 0 && m.synchronised && m.reported.length === 0 && m.answeredAt !== null,
        emptyMs: now - m.emptySince,
        silentMs: Math.min(claimTable.silentMs(m, now), NEVER_HEARD_MS),
      });
    }
    return {
      part: this.part,
      term: this.tenure.term,
      revision: this.shared.replica.revision,
      machines,
      missing: claimTable.missing(now),
      running: [...claimTable.running()],
    };
  }
}
