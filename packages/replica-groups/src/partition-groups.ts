// The members of replica groups on one partition, at its owner: reserves resources for them, decides when each may be
// started, stops and returns the members of a generation that ends, and reports on them to the leader. Only the groups'
// records outlive a failover.
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

/** The stored records of all groups, by job. */
type StoredGroups = ReadonlyMap<string, Versioned<GroupRecord>>;

/** The members of replica groups on one partition, as one owner handles them in one term. */
export class PartitionGroups implements Reservations, MemberPolicy {
  /** The claim table that asks this policy. Both refer to each other, so it is set after construction. */
  table: ClaimTable | null = null;
  /** By machine: the resources reserved for members that it does not hold yet. */
  #reservedByMachine = new Map<string, Resources>();
  /** By task: the machine on which resources are reserved for it. */
  #machineByTask = new Map<string, string>();

  constructor(readonly groups: StoredGroups) {}

  // --- reservations ------------------------------------------------------------------------------------------------

  reservedOn(machine: string): Resources {
    return this.#reservedByMachine.get(machine) ?? NO_RESOURCES;
  }

  /** By task: the machine on which resources are reserved for it. */
  get machineByReservedTask(): ReadonlyMap<string, string> {
    return this.#machineByTask;
  }

  reservedMachineFor(taskName: string): string | null {
    return this.#machineByTask.get(taskName) ?? null;
  }

  /** Reconciles the reservations with the records and with the members started so far. */
  sync(): void {
    this.#reservedByMachine = new Map();
    this.#machineByTask = new Map();
    for (const [, { record }, tasks] of this.#groupsHere()) {
      if (record.state !== 'reserved' && record.state !== 'admitted') continue;
      for (const task of tasks) {
        const member = record.members[task.index];
        if (member === undefined || task.state !== 'waiting' || this.#mayHaveStarted(task, record)) continue;
        this.#machineByTask.set(task.name, member.machine);
        this.#reservedByMachine.set(member.machine, addResources(this.reservedOn(member.machine), task.job.need));
      }
    }
  }

  /** The groups with members on this partition: job id, stored record and the members' tasks. */
  *#groupsHere(): Generator<[string, Versioned<GroupRecord>, TaskEntry[]]> {
    for (const [id, stored] of this.groups) {
      const tasksByIndex = this.table?.tasksByJob.get(id);
      if (tasksByIndex !== undefined) yield [id, stored, [...tasksByIndex.values()].filter(({ job }) => job.isGroup)];
    }
  }

  /** Whether the member may have been started in this generation, by this owner or by an earlier one. */
  #mayHaveStarted(task: TaskEntry, { generation }: GroupRecord): boolean {
    return task.startedGeneration === generation || task.term !== this.table!.term;
  }

  // --- members -----------------------------------------------------------------------------------------------------

  generationOf(job: Job): number {
    return this.groups.get(job.id)?.record.generation ?? 0;
  }

  /**
   * Whether the member may be started on the machine. It is started once in a generation, on its machine and by the
   * owner to which it was assigned, after the leader has stored that resources are reserved for all members. A group's
   * record that is older than the job's record does not cover the tasks that are assigned now.
   */
  mayStart(task: TaskEntry, machine: Machine): boolean {
    const stored = this.groups.get(task.job.id);
    if (stored === undefined || stored.record.state !== 'admitted' || stored.version <= task.job.version) return false;
    const member = stored.record.members[task.index];
    return member?.machine === machine.name && !this.#mayHaveStarted(task, stored.record);
  }

  mustReturn(task: TaskEntry): boolean {
    return this.#isEnding(task.job);
  }

  #isEnding(job: Job): boolean {
    return this.groups.get(job.id)?.record.state === 'ending';
  }

  /** Stops the members of generations that end, without time to save; returns the members to stop now. */
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

  // --- reports to the leader ---------------------------------------------------------------------------------------

  /** Reports on all groups that are placed here, for a serving group only on lost members; `now` is steady time. */
  reports(now: number): GroupReport[] {
    const reports: GroupReport[] = [];
    for (const [job, { record }, tasks] of this.#groupsHere()) {
      if (record.state === 'waiting' || record.state === 'ending') continue;
      const all = tasks.map((task) => this.#reportOn(task, record, now));
      const members = record.state === 'serving' ? all.filter(({ phase }) => phase === 'lost') : all;
      if (members.length > 0) reports.push({ job, generation: record.generation, members });
    }
    return reports;
  }

  #reportOn(task: TaskEntry, record: GroupRecord, now: number): MemberReport {
    const reason = this.#lossReason(task, record, now);
    const attempt = task.claim?.attempt ?? 0;
    if (reason !== null) return { rank: task.index, phase: 'lost', attempt, reason };
    return { rank: task.index, phase: this.#phaseOf(task, record, now), attempt, reason: null };
  }

  #phaseOf(task: TaskEntry, record: GroupRecord, now: number): MemberReport['phase'] {
    if (task.claim !== null) return task.claim.stage === 'running' ? 'running' : 'starting';
    return this.#isHeld(task, record, now) ? 'held' : 'pending';
  }

  /**
   * Whether the member and all others with reservations on its machine could be started at the machine's next
   * heartbeat.
   */
  #isHeld(task: TaskEntry, record: GroupRecord, now: number): boolean {
    const name = record.members[task.index]?.machine;
    const machine = name === undefined ? undefined : this.table!.machines.get(name);
    if (task.state !== 'waiting' || machine === undefined || !machine.isMember) return false;
    return (
      this.table!.mayTakeWork(machine, now) && fitsIn(this.reservedOn(machine.name), this.table!.freeResources(machine))
    );
  }

  /** Why the member has ended, will not start or is about to end; null if no such reason is known. */
  #lossReason(task: TaskEntry, record: GroupRecord, now: number): GroupReason | null {
    const table = this.table!;
    const member = record.members[task.index];
    // A machine that has not sent a heartbeat to this owner yet may run the member.
    if (task.state === 'uncertain') return null;
    if (member === undefined) return 'started as single tasks';
    const machine = table.machines.get(member.machine);
    const machineReason = machine === undefined ? null : this.#machineLossReason(machine, now);
    if (task.claim !== null) return machineReason ?? this.#claimLossReason(task, member);
    const isLost = table.isGone(member.machine) || (machine !== undefined && machine.answeredAt === null);
    if (isLost) return 'machine lost';
    if (task.startedGeneration === record.generation || task.state !== 'waiting') return 'member ended';
    if (task.term !== table.term) return 'partition changed hands';
    return record.state === 'serving' ? 'member ended' : machineReason;
  }

  /** Why a member that a machine holds counts as lost; null if it runs or starts as recorded. */
  #claimLossReason({ claim }: TaskEntry, member: GroupRecord['members'][number]): GroupReason | null {
    if (claim!.stopGraceS !== null || claim!.stage === 'saving') return 'member ended';
    const isOtherAttempt = member.attempt !== null && member.attempt !== claim!.attempt;
    return isOtherAttempt || claim!.machine.name !== member.machine ? 'member ended' : null;
  }

  /** Why members on the machine are expected to end; null if they are not. */
  #machineLossReason(machine: Machine, now: number): GroupReason | null {
    const table = this.table!;
    if (machine.evictionNotice) return 'machine is taken back';
    if (machine.draining || table.isQuarantined(machine)) return 'machine drains';
    return table.silentMs(machine, now) > hungMs(table.clusterConfig) ? 'machine silent' : null;
  }
}
