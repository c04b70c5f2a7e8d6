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
  type TaskEntry,
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
    for (const [, { record }, tasks] of this.#groupsHere()) {
      if (record.state !== 'reserved' && record.state !== 'admitted') continue;
      for (const task of tasks) {
        const member = record.members[task.index];
        if (member === undefined || task.state !== 'waiting' || this.#isSpent(task, record)) continue;
        this.#reservedMachineFor.set(task.name, member.machine);
        this.#kept.set(member.machine, addResources(this.reservedOn(member.machine), task.job.spec));
      }
    }
  }

  *#groupsHere(): Generator<[string, Versioned<GroupRecord>, TaskEntry[]]> {
    for (const [id, stored] of this.groups) {
      const tasksByIndex = this.table?.tasksByJob.get(id);
      if (tasksByIndex !== undefined) yield [id, stored, [...tasksByIndex.values()].filter(({ job }) => job.isGroup)];
    }
  }

  /** It was started in this generation, or assigned to an earlier owner: nobody knows that it was not started then. */
  #isSpent(task: TaskEntry, { generation }: GroupRecord): boolean {
    return task.startedIn === generation || task.term !== this.table!.term;
  }

  // --- members -----------------------------------------------------------------------------------------------------

  generationOf(job: Job): number {
    return this.groups.get(job.id)?.record.generation ?? 0;
  }

  /**
   * A member is started once in a generation, by the owner to which it was assigned, on its machine, after the leader has stored that all
   * members' room is kept. A record that is older than the job's says nothing of the tasks that are assigned now.
   */
  mayStart(task: TaskEntry, machine: Machine): boolean {
    const stored = this.groups.get(task.job.id);
    if (stored === undefined || stored.record.state !== 'admitted' || stored.version <= task.job.version) return false;
    const member = stored.record.members[task.index];
    return member?.machine === machine.name && !this.#isSpent(task, stored.record);
  }

  mustReturn(task: TaskEntry): boolean {
    return this.#isEnding(task.job);
  }

  #isEnding(job: Job): boolean {
    return this.groups.get(job.id)?.record.state === 'ending';
  }

  /** Members of generations that end are stopped at once: returns those that are to be told now. */
  step(): TaskEntry[] {
    this.sync();
    const stopped: TaskEntry[] = [];
    for (const [, , tasks] of this.#groupsHere()) {
      for (const task of tasks) {
        if (task.claim === null || task.claim.stopGraceS === 0 || !this.#isEnding(task.job)) continue;
        task.claim.stopGraceS = 0;
        stopped.push(task);
      }
    }
    if (stopped.length > 0) this.table!.noteChange();
    return stopped;
  }

  // --- what the leader is told -------------------------------------------------------------------------------------

  reports(now: number): GroupReport[] {
    const reports: GroupReport[] = [];
    for (const [job, { record }, tasks] of this.#groupsHere()) {
      if (record.state === 'waiting' || record.state === 'ending') continue;
      const members = tasks.map((task) => this.#reportOn(task, record, now));
      const memberReports = record.state === 'serving' ? members.filter(({ phase }) => phase === 'lost') : members;
      if (memberReports.length > 0) reports.push({ job, generation: record.generation, members: memberReports });
    }
    return reports;
  }

  #reportOn(task: TaskEntry, record: GroupRecord, now: number): MemberReport {
    const reason = this.#whyLost(task, record, now);
    const attempt = task.claim?.attempt ?? 0;
    if (reason !== null) return { rank: task.index, phase: 'lost', attempt, reason };
    return { rank: task.index, phase: this.#phaseOf(task, record, now), attempt, reason: null };
  }

  #phaseOf(task: TaskEntry, record: GroupRecord, now: number): MemberReport['phase'] {
    if (task.claim !== null) return task.claim.stage === 'running' ? 'running' : 'starting';
    return this.#isHeld(task, record, now) ? 'held' : 'pending';
  }

  /** Whether the member could be started at the next report of its machine, and so could all others that are kept there. */
  #isHeld(task: TaskEntry, record: GroupRecord, now: number): boolean {
    const name = record.members[task.index]?.machine;
    const machine = name === undefined ? undefined : this.table!.machines.get(name);
    if (task.state !== 'waiting' || machine === undefined || !machine.isMember) return false;
    return (
      this.table!.takesWork(machine, now) && fitsIn(this.reservedOn(machine.name), this.table!.freeResources(machine))
    );
  }

  /** Why the member has ended, will not start or is about to end; null: none of that is known. */
  #whyLost(task: TaskEntry, record: GroupRecord, now: number): GroupReason | null {
    const table = this.table!;
    const member = record.members[task.index];
    // It was not known yet who runs it: machines of an earlier owner have yet to report.
    if (task.state === 'uncertain') return null;
    if (member === undefined) return 'started as single tasks';
    const machine = table.machines.get(member.machine);
    const threat = machine === undefined ? null : this.#threatTo(machine, now);
    if (task.claim !== null) return threat ?? this.#whyClaimLost(task, member);
    const isLost = table.isGone(member.machine) || (machine !== undefined && machine.answeredAt === null);
    if (isLost) return 'machine lost';
    if (task.startedIn === record.generation || task.state !== 'waiting') return 'member ended';
    if (task.term !== table.term) return 'partition changed hands';
    return record.state === 'serving' ? 'member ended' : threat;
  }

  #whyClaimLost({ claim }: TaskEntry, member: GroupRecord['members'][number]): GroupReason | null {
    if (claim!.stopGraceS !== null || claim!.stage === 'saving') return 'member ended';
    const isAnother = member.attempt !== null && member.attempt !== claim!.attempt;
    return isAnother || claim!.machine.name !== member.machine ? 'member ended' : null;
  }

  #threatTo(machine: Machine, now: number): GroupReason | null {
    const table = this.table!;
    if (machine.evictionNotice) return 'machine is taken back';
    if (machine.draining || table.isQuarantined(machine)) return 'machine drains';
    return table.silentMs(machine, now) > hungMs(table.clusterConfig) ? 'machine silent' : null;
  }
}
