// Checks replica groups against the tasks that actually run: each stored record, each start of a member, and the
// reservations of the owners.
import type { PartitionOwner } from '@gingerlock/daemon';
import { GROUP_TRANSITIONS } from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord, KEYS, ownerRecord, parseKey, parseTaskName, taskName } from '@gingerlock/wire';
import type { ObservedStatus } from '../standins/users';
import type { InspectableWorld } from './audited-world';

/** The parts of a deployment that the group audit reads. */
export interface GroupAuditedWorld extends InspectableWorld {
  /** How long a group may take from one state to the next. */
  readonly groupBoundMs: number;
  readonly users: { open(): readonly ObservedStatus[] };
  /** Whether the tasks of the job are the members of a replica group. */
  isGroup(job: string): boolean;
  /** The number of running tasks of the job. */
  tasksOn(job: string): number;
}

/** An owner in contact with the state service acts on a change within this many heartbeat intervals. */
const OWNER_REACTION_INTERVALS = 3;

/**
 * How much longer than `groupBoundMs` a group may stay between two states once all faults are over, as a multiple of
 * `cancel_s`.
 */
const TRANSITION_CANCELS = 2;

interface StoredRecord {
  readonly record: GroupRecord;
  readonly version: number;
  readonly at: number;
}

/** How long some but not all members of a group were running, and how long all were, in milliseconds. */
export interface GroupUptime {
  partialMs: number;
  wholeMs: number;
}

/** Audits replica groups. */
export class GroupAudit {
  /** The newest stored record of each group, and when it was stored, by job. */
  readonly storedRecords = new Map<string, StoredRecord>();
  /** The last generation in which each task was started, by task name. */
  readonly #lastGenerationByTask = new Map<string, number>();
  /** The generation in which each attempt was started, by task name and attempt. */
  readonly #generationByAttempt = new Map<string, number>();
  /** By job. */
  readonly uptime = new Map<string, GroupUptime>();
  /** How often groups entered each state. */
  readonly transitionCounts = new Map<string, number>();
  #auditedAt = 0;
  readonly #reported = new Set<string>();

  constructor(readonly world: GroupAuditedWorld) {}

  /** Checks the record that was just stored under the key, if it is that of a group. */
  stored(key: string): void {
    const parsed = parseKey(key);
    if (parsed.kind !== 'group') return;
    const { value, version } = this.world.state.data.get(key)!;
    const record = groupRecord.read(value);
    const before = this.storedRecords.get(parsed.job)?.record;
    this.storedRecords.set(parsed.job, { record, version, at: this.world.sim.now });
    this.transitionCounts.set(record.state, (this.transitionCounts.get(record.state) ?? 0) + 1);
    this.#checkTransition(parsed.job, before, record);
    if (record.state === 'admitted') this.#checkAdmitted(parsed.job, record);
  }

  #checkTransition(job: string, before: GroupRecord | undefined, { state, generation }: GroupRecord): void {
    const from = before?.state ?? 'waiting';
    const expected = (before?.generation ?? 0) + (state === 'reserved' ? 1 : 0);
    if (GROUP_TRANSITIONS[from].includes(state) && generation === expected) return;
    this.world.reportViolation(
      'group_moved',
      `${job}: ${from} in generation ${before?.generation ?? 0} to ${state} in generation ${generation}`,
    );
  }

  /** Checks that the current owners have reserved the resources of all members as the record says. */
  #checkAdmitted(job: string, { members, generation }: GroupRecord): void {
    for (const [rank, { partitionId, machine }] of members.entries()) {
      const owner = this.#ownerOf(partitionId);
      const task = owner?.claimTable.tasksByJob.get(job)?.get(rank);
      if (owner === undefined || task === undefined || task.job.isCancelled) continue;
      const isReserved =
        owner.claimTable.reservations.reservedMachineFor(task.name) === machine &&
        task.startedGeneration !== generation;
      if (!isReserved)
        this.world.reportViolation('member_unheld', `${task.name} is admitted without a reservation on ${machine}`);
    }
  }

  /** The partition's owner according to the state service; undefined if its process is not running. */
  #ownerOf(partitionId: number): PartitionOwner | undefined {
    const { nodes, state } = this.world;
    const entry = state.data.get(KEYS.owner(String(partitionId)));
    if (entry === undefined) return undefined;
    const { node, term } = ownerRecord.read(entry.value);
    const controller = nodes.find(({ name }) => name === node)?.controller;
    return controller?.owned().find((owner) => owner.partitionId === partitionId && owner.ownershipTerm.term === term);
  }

  /** Checks a new start command that has reached a worker. */
  onStartCommand(taskName: string, attempt: number, machine: string): void {
    const { job, index } = parseTaskName(taskName)!;
    const { world } = this;
    if (!world.isGroup(job)) return;
    const record = this.storedRecords.get(job)?.record;
    const isAdmitted = record !== undefined && record.state !== 'waiting' && record.state !== 'reserved';
    if (!isAdmitted || record.members[index]?.machine !== machine) {
      world.reportViolation(
        'member_unheld',
        `${taskName} starts on ${machine} while its group is ${record?.state ?? 'without a record'}`,
      );
      return;
    }
    const { generation } = record;
    if (this.#lastGenerationByTask.get(taskName) === generation)
      world.reportViolation('member_restarted', `${taskName} started twice in generation ${generation}`);
    this.#lastGenerationByTask.set(taskName, generation);
    this.#generationByAttempt.set(`${taskName} ${attempt}`, generation);
  }

  /** Checks running members, reservations and progress, and counts uptime. Called periodically. */
  audit(quietAt: number): void {
    const { now } = this.world.sim;
    const elapsedMs = now - this.#auditedAt;
    this.#auditedAt = now;
    this.#checkGenerations(elapsedMs);
    for (const { controller } of this.world.nodes)
      for (const owner of controller?.owned() ?? []) this.#checkReservations(owner);
    if (now > quietAt) this.#checkProgress(quietAt);
  }

  /** Checks that all running members of a group have one generation and that no member of a withdrawn group runs. */
  #checkGenerations(elapsedMs: number): void {
    const generations = new Map<string, Set<number>>();
    for (const { tasks } of this.world.workers.values()) {
      for (const { task: taskName, attempt, state } of tasks.values()) {
        const { job } = parseTaskName(taskName)!;
        const generation = this.#generationByAttempt.get(`${taskName} ${attempt}`);
        if (state === 'exited' || generation === undefined) continue;
        generations.set(job, (generations.get(job) ?? new Set()).add(generation));
      }
    }
    for (const [job, found] of generations) {
      if (found.size > 1) this.world.reportViolation('two_generations', `${job}: ${[...found].join()}`);
      const state = this.storedRecords.get(job)?.record.state;
      if (state === 'waiting' || state === 'reserved')
        this.world.reportViolation('withdrawn_runs', `${job} is ${state}`);
    }
    this.#countUptime(elapsedMs);
  }

  #countUptime(elapsedMs: number): void {
    for (const { spec } of this.world.users.open()) {
      if (!this.world.isGroup(spec.id)) continue;
      const runningMembers = this.world.tasksOn(spec.id);
      const uptime = this.uptime.get(spec.id) ?? { partialMs: 0, wholeMs: 0 };
      this.uptime.set(spec.id, uptime);
      if (runningMembers >= spec.tasks) uptime.wholeMs += elapsedMs;
      else if (runningMembers > 0) uptime.partialMs += elapsedMs;
    }
  }

  /**
   * Checks that the owner keeps no reservation without a record of it. Skips an owner without contact to the state
   * service, as it can't read the record.
   */
  #checkReservations({ groups, context, partitionId, claimTable }: PartitionOwner): void {
    const { clock, watchCache } = context;
    const { now } = this.world.sim;
    const isFresh =
      watchCache.lastContactAt !== null && clock.now() - watchCache.lastContactAt < this.world.heartbeatIntervalMs;
    if (groups === null || !isFresh) return;
    for (const [taskName, machine] of groups.members.machineByReservedTask) {
      const { job, index } = parseTaskName(taskName)!;
      const stored = this.storedRecords.get(job);
      const isReservedInRecord = stored?.record.state === 'reserved' || stored?.record.state === 'admitted';
      if (isReservedInRecord && stored.record.members[index]?.machine === machine) continue;
      if (now - (stored?.at ?? 0) < this.world.heartbeatIntervalMs * OWNER_REACTION_INTERVALS) continue;
      if (claimTable.tasksByJob.get(job)?.get(index)?.job.isCancelled === true) continue;
      this.world.reportViolation('kept_in_vain', `partition ${partitionId} reserves ${machine} for ${taskName}`);
    }
  }

  /** Checks that, once all faults are over, no group stays between two states. */
  #checkProgress(quietAt: number): void {
    const { world } = this;
    const boundMs = world.groupBoundMs + world.cancellationBoundMs * TRANSITION_CANCELS;
    for (const [job, { record, at, version }] of this.storedRecords) {
      if (!world.state.data.has(KEYS.group(job))) {
        this.storedRecords.delete(job);
        continue;
      }
      if (record.state === 'waiting' || record.state === 'serving') continue;
      const key = `${job} ${version}`;
      if (world.sim.now - Math.max(at, quietAt) < boundMs || this.#reported.has(key)) continue;
      this.#reported.add(key);
      world.reportViolation('group_stuck', `${job} has been ${record.state} since ${Math.round(at)}: ${record.reason}`);
    }
  }

  /** Whether the group's record says that it serves and all its members run. */
  serves(job: string): boolean {
    const record = this.storedRecords.get(job)?.record;
    if (record?.state !== 'serving') return false;
    return record.members.every((_, rank) => this.world.runningTasks().has(taskName(job, rank)));
  }
}
