// The state machine of a replica group: derives the next record from the stored one and the reports of owners. Only
// this module changes a group's state.
import { countAssignedUnfinished, type ClusterConfig, type Job } from '@gingerlock/core';
import type { GroupMember, GroupReason, GroupRecord, GroupState, MachineType } from '@gingerlock/wire';
import type { GroupReport, MemberReport } from './reports';
import {
  backoffMs,
  holdBoundMs,
  type ReplicaGroupSettings,
  serveLeaseBoundMs,
  stableMs,
  startBoundMs,
} from './settings';

/** The states that may follow each state of a group. */
export const GROUP_TRANSITIONS: Record<GroupState, readonly GroupState[]> = {
  waiting: ['reserved', 'ending'],
  reserved: ['admitted', 'ending'],
  admitted: ['serving', 'ending'],
  serving: ['ending'],
  ending: ['waiting'],
};

/** What the next record of a group depends on, besides its job and its stored record. */
export interface GroupContext {
  readonly settings: ReplicaGroupSettings;
  readonly clusterConfig: ClusterConfig;
  /** The cloud's machine types, by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** Time of day, in milliseconds. */
  readonly wallNow: number;
  /** How long this process has known the stored record, in milliseconds of steady time. */
  readonly storedForMs: number;
  /** The longest time that a task preempted for members may take to save, in seconds. */
  readonly longestSaveS: number;
  /** The report of a partition's owner that has read the group's stored record; null if there is none yet. */
  readonly reportOf: (partitionId: number) => GroupReport | null;
}

/** Used for a group that was never placed and so has no stored record. */
const NEVER_PLACED: GroupRecord = {
  generation: 0,
  state: 'waiting',
  since: 0,
  reason: 'all members are gone',
  failures: 0,
  hasServed: false,
  avoidedMachine: null,
  members: [],
};

/** Changes the state; nothing else does. */
function transitionTo(record: GroupRecord, state: GroupState, change: Partial<GroupRecord>): GroupRecord {
  if (!GROUP_TRANSITIONS[record.state].includes(state))
    throw new Error(`replica group: no transition from ${record.state} to ${state}`);
  return { ...record, ...change, state };
}

/** Whether the group may be placed now: it waits, and its backoff is over. */
export function mayPlace(job: Job, stored: GroupRecord | null, context: GroupContext): boolean {
  return isWaiting(job, stored) && context.wallNow >= backoffUntil(job, stored, context);
}

/** Whether the group waits and only its backoff prevents its placement. */
export function isBackingOff(job: Job, stored: GroupRecord | null, context: GroupContext): boolean {
  return isWaiting(job, stored) && context.wallNow < backoffUntil(job, stored, context);
}

/** Whether the group waits to be placed, now or after its backoff. */
function isWaiting(job: Job, stored: GroupRecord | null): boolean {
  if (job.isCancelled || countAssignedUnfinished(job) > 0) return false;
  return stored === null || stored.state === 'waiting';
}

/** When the backoff of a waiting group is over, as time of day in milliseconds; -Infinity if it was never placed. */
export function backoffUntil(
  { id }: Job,
  stored: GroupRecord | null,
  { settings, clusterConfig }: Pick<GroupContext, 'settings' | 'clusterConfig'>,
): number {
  if (stored === null) return -Infinity;
  return stored.since + backoffMs(settings, clusterConfig, id, stored.generation, stored.failures);
}

/**
 * The record of the next generation. It has to be written in one transaction with the assigned ranges of its members.
 * @param wall time of day, in milliseconds
 */
export function reserve(stored: GroupRecord | null, members: readonly GroupMember[], wall: number): GroupRecord {
  const record = stored ?? NEVER_PLACED;
  return transitionTo(record, 'reserved', {
    generation: record.generation + 1,
    since: wall,
    reason: 'room was found',
    hasServed: false,
    avoidedMachine: null,
    members,
  });
}

/** The record that replaces the stored one; null if the stored one does not change now. */
export function nextRecord(job: Job, stored: GroupRecord | null, context: GroupContext): GroupRecord | null {
  if (job.isCancelled) return null;
  const record = stored ?? NEVER_PLACED;
  switch (record.state) {
    case 'waiting':
      // The tasks were started as single tasks, before their class was declared or while replica groups were off.
      return countAssignedUnfinished(job) > 0 ? end(record, 'started as single tasks', null, context) : null;
    case 'ending':
      return afterEnding(job, record, context);
    default:
      return whileAssigned(job, record, context);
  }
}

/**
 * The group waits again after all members are stopped and all serve leases have expired. Another controller may have
 * granted a lease until this process knew the record, so the lease time is counted from then.
 */
function afterEnding(job: Job, record: GroupRecord, context: GroupContext): GroupRecord | null {
  const { settings, clusterConfig, wallNow: wall, storedForMs } = context;
  if (countAssignedUnfinished(job) > 0) return null;
  if (record.hasServed && storedForMs < serveLeaseBoundMs(settings, clusterConfig)) return null;
  return transitionTo(record, 'waiting', { since: wall, hasServed: false, members: [] });
}

/** For a group that is reserved, admitted or serving: it ends as soon as a member is lost. */
function whileAssigned(job: Job, record: GroupRecord, context: GroupContext): GroupRecord | null {
  const members = membersOf(record, context);
  const lost = members.find((member) => member.report?.phase === 'lost');
  if (lost !== undefined) return end(record, lost.report!.reason ?? 'member ended', lost.machine, context);
  if (countAssignedUnfinished(job) < job.spec.tasks) return end(record, 'member ended', null, context);
  if (record.state === 'reserved') return whileReserved(record, members, context);
  if (record.state === 'admitted') return whileAdmitted(job, record, members, context);
  return null;
}

/** A member with its owner's report on it; null if there is none in this generation yet. */
interface ReportedMember extends GroupMember {
  readonly report: MemberReport | null;
}

function membersOf(record: GroupRecord, { reportOf }: GroupContext): ReportedMember[] {
  const reportByRank = new Map<number, MemberReport>();
  for (const partitionId of new Set(record.members.map((member) => member.partitionId))) {
    const report = reportOf(partitionId);
    if (report?.generation !== record.generation) continue;
    for (const member of report.members) reportByRank.set(member.rank, member);
  }
  return record.members.map((member, rank) => ({ ...member, report: reportByRank.get(rank) ?? null }));
}

function whileReserved(
  record: GroupRecord,
  members: readonly ReportedMember[],
  context: GroupContext,
): GroupRecord | null {
  const { settings, clusterConfig, wallNow: wall, longestSaveS } = context;
  const unheld = members.find(({ report }) => report?.phase !== 'held');
  if (unheld === undefined) return transitionTo(record, 'admitted', { since: wall, reason: 'all room is kept' });
  if (wall - record.since <= holdBoundMs(settings, clusterConfig, longestSaveS)) return null;
  return end(record, 'room was not kept in time', unheld.machine, context);
}

function whileAdmitted(
  job: Job,
  record: GroupRecord,
  members: readonly ReportedMember[],
  context: GroupContext,
): GroupRecord | null {
  const { settings, clusterConfig, types, wallNow: wall } = context;
  const unstarted = members.find(({ report }) => report?.phase !== 'running');
  if (unstarted === undefined) {
    const serving = members.map(({ partitionId, machine, report }) => ({
      partitionId,
      machine,
      attempt: report!.attempt,
    }));
    return transitionTo(record, 'serving', { since: wall, reason: 'all members run', members: serving });
  }
  if (wall - record.since <= startBoundMs(settings, clusterConfig, job.spec, types)) return null;
  return end(record, 'members did not start in time', unstarted.machine, context);
}

/**
 * The record that ends the generation.
 * @param machine the machine at fault, which the next generation avoids; null if there is none
 */
function end(record: GroupRecord, reason: GroupReason, machine: string | null, context: GroupContext): GroupRecord {
  const { clusterConfig, wallNow: wall } = context;
  const hasServed = record.state === 'serving';
  const isStable = hasServed && wall - record.since >= stableMs(clusterConfig);
  return transitionTo(record, 'ending', {
    since: wall,
    reason,
    avoidedMachine: machine,
    failures: isStable ? 0 : record.failures + 1,
    hasServed,
  });
}
