// Checks replica groups against what really runs: their records as they are stored, every start, and what owners keep
// room for.
import type { PartitionOwner } from '@gingerlock/daemon';
import { GROUP_TRANSITIONS } from '@gingerlock/replica-groups';
import { type GroupRecord, groupRecord, KEYS, ownerRecord, parseKey, parseTaskName, taskName } from '@gingerlock/wire';
import type { ObservedStatus } from '../standins/users';
import type { InspectableWorld } from './audited-world';

/** What is audited of a deployment. */
export interface GroupAuditedWorld extends InspectableWorld {
  /** How long a group may be on its way from one state to the next. */
  readonly groupBoundMs: number;
  readonly users: { open(): readonly ObservedStatus[] };
  /** Whether the tasks of the job are the members of a replica group. */
  isGroup(job: string): boolean;
  /** How many tasks of the job are on machines. */
  tasksOn(job: string): number;
}

/** An owner that reads the state service acts on a change after so many heartbeat intervals. */
const READ_INTERVALS = 3;

/**
 * Once all faults are over, a group may be between two states for so many times `cancel_s`, beside what its times
 * allow.
 */
const ON_THE_WAY_CANCELS = 2;

interface SeenRecord {
  readonly record: GroupRecord;
  readonly version: number;
  readonly at: number;
}

/** For how long a group had some members up, and all of them, in milliseconds. */
export interface GroupUptime {
  partialMs: number;
  wholeMs: number;
}

/** Audits replica groups. */
export class GroupAudit {
  /** By job: the record that is stored now, and since when. */
  readonly seen = new Map<string, SeenRecord>();
  /** By task: the last generation in which it was started. */
  readonly #startedGeneration = new Map<string, number>();
  /** By task and attempt: the generation in which it was started. */
  readonly #generationOf = new Map<string, number>();
  /** By job. */
  readonly uptime = new Map<string, GroupUptime>();
  /** By state: how often groups came to it. */
  readonly moves = new Map<string, number>();
  #auditedAt = 0;
  readonly #reported = new Set<string>();

  constructor(readonly world: GroupAuditedWorld) {}

  /** A record was stored. */
  stored(key: string): void {
    const parsed = parseKey(key);
    if (parsed.kind !== 'group') return;
    const { value, version } = this.world.state.data.get(key)!;
    const record = groupRecord.read(value);
    const before = this.seen.get(parsed.job)?.record;
    this.seen.set(parsed.job, { record, version, at: this.world.sim.now });
    this.moves.set(record.state, (this.moves.get(record.state) ?? 0) + 1);
    this.#checkMove(parsed.job, before, record);
    if (record.state === 'admitted') this.#checkHeld(parsed.job, record);
  }

  #checkMove(job: string, before: GroupRecord | undefined, { state, generation }: GroupRecord): void {
    const from = before?.state ?? 'waiting';
    const expected = (before?.generation ?? 0) + (state === 'reserved' ? 1 : 0);
    if (GROUP_TRANSITIONS[from].includes(state) && generation === expected) return;
    this.world.reportViolation(
      'group_moved',
      `${job}: ${from} of ${before?.generation ?? 0} to ${state} of ${generation}`,
    );
  }

  /** The resources of all members are reserved as the record says, by the owners that have the partitions then. */
  #checkHeld(job: string, { members, generation }: GroupRecord): void {
    for (const [rank, { partitionId, machine }] of members.entries()) {
      const owner = this.#ownerOf(partitionId);
      const task = owner?.claimTable.tasksByJob.get(job)?.get(rank);
      if (owner === undefined || task === undefined || task.job.isCancelled) continue;
      const isHeld =
        owner.claimTable.reservations.reservedMachineFor(task.name) === machine &&
        task.startedGeneration !== generation;
      if (!isHeld) this.world.reportViolation('member_unheld', `${task.name} is admitted and not kept on ${machine}`);
    }
  }

  /** The owner that the state service names, if its process is there. */
  #ownerOf(partitionId: number): PartitionOwner | undefined {
    const { nodes, state } = this.world;
    const entry = state.data.get(KEYS.owner(String(partitionId)));
    if (entry === undefined) return undefined;
    const { node, term } = ownerRecord.read(entry.value);
    const controller = nodes.find(({ name }) => name === node)?.controller;
    return controller?.owned().find((owner) => owner.partitionId === partitionId && owner.ownershipTerm.term === term);
  }

  /** A start command that was not known yet has come to a worker. */
  started(taskName: string, attempt: number, machine: string): void {
    const { job, index } = parseTaskName(taskName)!;
    const { world } = this;
    if (!world.isGroup(job)) return;
    const record = this.seen.get(job)?.record;
    const isAdmitted = record !== undefined && record.state !== 'waiting' && record.state !== 'reserved';
    if (!isAdmitted || record.members[index]?.machine !== machine) {
      world.reportViolation(
        'member_unheld',
        `${taskName} starts on ${machine} while its group is ${record?.state ?? 'not placed'}`,
      );
      return;
    }
    const { generation } = record;
    if (this.#startedGeneration.get(taskName) === generation)
      world.reportViolation('member_restarted', `${taskName} twice in generation ${generation}`);
    this.#startedGeneration.set(taskName, generation);
    this.#generationOf.set(`${taskName} ${attempt}`, generation);
  }

  /** Checks what only time can show, and counts up-time; to be called periodically. */
  audit(quietAt: number): void {
    const { now } = this.world.sim;
    const sinceMs = now - this.#auditedAt;
    this.#auditedAt = now;
    this.#checkRuns(sinceMs);
    for (const { controller } of this.world.nodes)
      for (const owner of controller?.owned() ?? []) this.#checkKept(owner);
    if (now > quietAt) this.#checkProgress(quietAt);
  }

  /** All members on machines are of one generation, and none is of a group that is withdrawn. */
  #checkRuns(sinceMs: number): void {
    const generations = new Map<string, Set<number>>();
    for (const { tasks } of this.world.workers.values()) {
      for (const { task: taskName, attempt, state } of tasks.values()) {
        const { job } = parseTaskName(taskName)!;
        const generation = this.#generationOf.get(`${taskName} ${attempt}`);
        if (state === 'exited' || generation === undefined) continue;
        generations.set(job, (generations.get(job) ?? new Set()).add(generation));
      }
    }
    for (const [job, found] of generations) {
      if (found.size > 1) this.world.reportViolation('two_generations', `${job}: ${[...found].join()}`);
      const state = this.seen.get(job)?.record.state;
      if (state === 'waiting' || state === 'reserved')
        this.world.reportViolation('withdrawn_runs', `${job} is ${state}`);
    }
    this.#countUptime(sinceMs);
  }

  #countUptime(sinceMs: number): void {
    for (const { spec } of this.world.users.open()) {
      if (!this.world.isGroup(spec.id)) continue;
      const runningMembers = this.world.tasksOn(spec.id);
      const uptime = this.uptime.get(spec.id) ?? { partialMs: 0, wholeMs: 0 };
      this.uptime.set(spec.id, uptime);
      if (runningMembers >= spec.tasks) uptime.wholeMs += sinceMs;
      else if (runningMembers > 0) uptime.partialMs += sinceMs;
    }
  }

  /** No resources are reserved without a record that says so. An owner that can't read the state service can't know. */
  #checkKept({ groups, context, partitionId, claimTable }: PartitionOwner): void {
    const { clock, watchCache } = context;
    const { now } = this.world.sim;
    const isFresh =
      watchCache.lastContactAt !== null && clock.now() - watchCache.lastContactAt < this.world.heartbeatIntervalMs;
    if (groups === null || !isFresh) return;
    for (const [taskName, machine] of groups.members.machineByReservedTask) {
      const { job, index } = parseTaskName(taskName)!;
      const stored = this.seen.get(job);
      const isKept = stored?.record.state === 'reserved' || stored?.record.state === 'admitted';
      if (isKept && stored.record.members[index]?.machine === machine) continue;
      if (now - (stored?.at ?? 0) < this.world.heartbeatIntervalMs * READ_INTERVALS) continue;
      if (claimTable.tasksByJob.get(job)?.get(index)?.job.isCancelled === true) continue;
      this.world.reportViolation('kept_in_vain', `partition ${partitionId} keeps ${machine} for ${taskName}`);
    }
  }

  /** Once all faults are over, no group stays between two states. */
  #checkProgress(quietAt: number): void {
    const { world } = this;
    const boundMs = world.groupBoundMs + world.cancellationBoundMs * ON_THE_WAY_CANCELS;
    for (const [job, { record, at, version }] of this.seen) {
      if (!world.state.data.has(KEYS.group(job))) {
        this.seen.delete(job);
        continue;
      }
      if (record.state === 'waiting' || record.state === 'serving') continue;
      const key = `${job} ${version}`;
      if (world.sim.now - Math.max(at, quietAt) < boundMs || this.#reported.has(key)) continue;
      this.#reported.add(key);
      world.reportViolation('group_stuck', `${job} is ${record.state} since ${Math.round(at)}: ${record.reason}`);
    }
  }

  /** Whether all members of the group run, as its record says. */
  serves(job: string): boolean {
    const record = this.seen.get(job)?.record;
    if (record?.state !== 'serving') return false;
    return record.members.every((_, rank) => this.world.runningTasks().has(taskName(job, rank)));
  }
}
