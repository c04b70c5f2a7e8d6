// The owner's part in replica groups: keeps room for members, says when each may be started, stops and returns those of a generation
// that ends, and tells the leader how they are. A new owner begins with nothing but the records.
import {
  type Resources,
  type ClaimTable,
  fitsIn,
  type Job,
  type Machine,
  type MemberPolicy,
  NO_RESOURCES,
  addResources,
  type Reservations,
  type Slot,
  type Versioned,
} from '@gingerlock/core';
import type { GroupReason, GroupRecord } from '@gingerlock/wire';
import type { GroupReport, MemberReport } from './reports';
import { hungMs } from './settings';

type StoredGroups = ReadonlyMap<string, Versioned<GroupRecord>>;

export class PartitionGroups implements Reservations, MemberPolicy {
  /** The claim table that asks this policy; set once, right after both were made. */
  table: ClaimTable | null = null;
  /** By machine: what is kept for members that it does not hold yet. */
  #kept = new Map<string, Resources>();
  /** By task: the machine on which room is kept for it. */
  #reservedMachineFor = new Map<string, string>();

  constructor(readonly groups: StoredGroups) {}

  // --- reservations ------------------------------------------------------------------------------------------------

  reservedOn(machine: string): Resources {
    return this.#kept.get(machine) ?? NO_RESOURCES;
  }

  /** By task: the machine on which room is kept for it. */
  get keptTasks(): ReadonlyMap<string, string> {
    return this.#reservedMachineFor;
  }

  reservedMachineFor(taskName: string): string | null {
    return this.#reservedMachineFor.get(taskName) ?? null;
  }

  /** Brings what is kept in line with the records and with what has been started. */
  sync(): void {
    this.#kept = new Map();
    this.#reservedMachineFor = new Map();
    for (const [, { record }, slots] of this.#groupsHere()) {
      if (record.state !== 'reserved' && record.state !== 'admitted') continue;
      for (const slot of slots) {
        const member = record.members[slot.index];
        if (member === undefined || slot.state !== 'waiting' || this.#isSpent(slot, record)) continue;
        this.#reservedMachineFor.set(slot.name, member.machine);
        this.#kept.set(member.machine, addResources(this.reservedOn(member.machine), slot.job.spec));
      }
    }
  }

  *#groupsHere(): Generator<[string, Versioned<GroupRecord>, Slot[]]> {
    for (const [id, stored] of this.groups) {
      const slots = this.table?.slots.get(id);
      if (slots !== undefined) yield [id, stored, [...slots.values()].filter(({ job }) => job.isGroup)];
    }
  }

  /** It was started in this generation, or assigned to an earlier owner: nobody knows that it was not started then. */
  #isSpent(slot: Slot, { generation }: GroupRecord): boolean {
    return slot.startedIn === generation || slot.term !== this.table!.term;
  }

  // --- members -----------------------------------------------------------------------------------------------------

  generationOf(job: Job): number {
    return this.groups.get(job.id)?.record.generation ?? 0;
  }

  /**
   * A member is started once in a generation, by the owner to which it was assigned, on its machine, after the leader has stored that all
   * members' room is kept. A record that is older than the job's says nothing of the tasks that are assigned now.
   */
  mayStart(slot: Slot, machine: Machine): boolean {
    const stored = this.groups.get(slot.job.id);
    if (stored === undefined || stored.record.state !== 'admitted' || stored.version <= slot.job.version) return false;
    const member = stored.record.members[slot.index];
    return member?.machine === machine.name && !this.#isSpent(slot, stored.record);
  }

  mustReturn(slot: Slot): boolean {
    return this.#isEnding(slot.job);
  }

  #isEnding(job: Job): boolean {
    return this.groups.get(job.id)?.record.state === 'ending';
  }

  /** Members of generations that end are stopped at once: returns those that are to be told now. */
  step(): Slot[] {
    this.sync();
    const stopped: Slot[] = [];
    for (const [, , slots] of this.#groupsHere()) {
      for (const slot of slots) {
        if (slot.claim === null || slot.claim.stopGraceS === 0 || !this.#isEnding(slot.job)) continue;
        slot.claim.stopGraceS = 0;
        stopped.push(slot);
      }
    }
    if (stopped.length > 0) this.table!.noteChange();
    return stopped;
  }

  // --- what the leader is told -------------------------------------------------------------------------------------

  reports(now: number): GroupReport[] {
    const reports: GroupReport[] = [];
    for (const [job, { record }, slots] of this.#groupsHere()) {
      if (record.state === 'waiting' || record.state === 'ending') continue;
      const members = slots.map((slot) => this.#reportOn(slot, record, now));
      const told = record.state === 'serving' ? members.filter(({ phase }) => phase === 'lost') : members;
      if (told.length > 0) reports.push({ job, generation: record.generation, members: told });
    }
    return reports;
  }

  #reportOn(slot: Slot, record: GroupRecord, now: number): MemberReport {
    const reason = this.#whyLost(slot, record, now);
    const attempt = slot.claim?.attempt ?? 0;
    if (reason !== null) return { rank: slot.index, phase: 'lost', attempt, reason };
    return { rank: slot.index, phase: this.#phaseOf(slot, record, now), attempt, reason: null };
  }

  #phaseOf(slot: Slot, record: GroupRecord, now: number): MemberReport['phase'] {
    if (slot.claim !== null) return slot.claim.stage === 'running' ? 'running' : 'starting';
    return this.#isHeld(slot, record, now) ? 'held' : 'pending';
  }

  /** Whether the member could be started at the next report of its machine, and so could all others that are kept there. */
  #isHeld(slot: Slot, record: GroupRecord, now: number): boolean {
    const name = record.members[slot.index]?.machine;
    const machine = name === undefined ? undefined : this.table!.machines.get(name);
    if (slot.state !== 'waiting' || machine === undefined || !machine.isMember) return false;
    return (
      this.table!.takesWork(machine, now) && fitsIn(this.reservedOn(machine.name), this.table!.freeResources(machine))
    );
  }

  /** Why the member has ended, will not start or is about to end; null: none of that is known. */
  #whyLost(slot: Slot, record: GroupRecord, now: number): GroupReason | null {
    const table = this.table!;
    const member = record.members[slot.index];
    // It was not known yet who runs it: machines of an earlier owner have yet to report.
    if (slot.state === 'uncertain') return null;
    if (member === undefined) return 'started as single tasks';
    const machine = table.machines.get(member.machine);
    const threat = machine === undefined ? null : this.#threatTo(machine, now);
    if (slot.claim !== null) return threat ?? this.#whyClaimLost(slot, member);
    const isLost = table.isGone(member.machine) || (machine !== undefined && machine.answeredAt === null);
    if (isLost) return 'machine lost';
    if (slot.startedIn === record.generation || slot.state !== 'waiting') return 'member ended';
    if (slot.term !== table.term) return 'partition changed hands';
    return record.state === 'serving' ? 'member ended' : threat;
  }

  #whyClaimLost({ claim }: Slot, member: GroupRecord['members'][number]): GroupReason | null {
    if (claim!.stopGraceS !== null || claim!.stage === 'saving') return 'member ended';
    const isAnother = member.attempt !== null && member.attempt !== claim!.attempt;
    return isAnother || claim!.machine.name !== member.machine ? 'member ended' : null;
  }

  #threatTo(machine: Machine, now: number): GroupReason | null {
    const table = this.table!;
    if (machine.evictionNotice) return 'machine is taken back';
    if (machine.draining || table.isUnhealthy(machine)) return 'machine drains';
    return table.silentMs(machine, now) > hungMs(table.clusterConfig) ? 'machine silent' : null;
  }
}
