// The life of a replica group: which record follows the one that is stored, by what owners tell. The one place that changes a group's state.
import { assignedUnfinished, type ClusterConfig, type Job } from '@gingerlock/core';
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

/** To which state a group may go from each. */
export const GROUP_MOVES: Record<GroupState, readonly GroupState[]> = {
  waiting: ['reserved', 'ending'],
  reserved: ['admitted', 'ending'],
  admitted: ['serving', 'ending'],
  serving: ['ending'],
  ending: ['waiting'],
};

export interface GroupContext {
  readonly settings: ReplicaGroupSettings;
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Time of day, in milliseconds. */
  readonly wall: number;
  /** For how long this process has known the stored record; steady milliseconds. */
  readonly storedForMs: number;
  /** The longest that a task which was stopped for members may take to save, in seconds. */
  readonly longestSaveS: number;
  /** What the owner of the partition tells of the group, having read its stored record; null: nothing yet. */
  readonly reportOf: (partitionId: number) => GroupReport | null;
}

/** What the leader knows of a group that never was placed. */
const NEVER_PLACED: GroupRecord = {
  generation: 0,
  state: 'waiting',
  since: 0,
  reason: 'all members are gone',
  failures: 0,
  hasServed: false,
  avoid: null,
  members: [],
};

function moveTo(record: GroupRecord, state: GroupState, change: Partial<GroupRecord>): GroupRecord {
  if (!GROUP_MOVES[record.state].includes(state)) throw new Error(`no move from ${record.state} to ${state}`);
  return { ...record, ...change, state };
}

/** Whether the group may be placed now: it waits, and its pause is over. */
export function mayPlace(
  job: Job,
  stored: GroupRecord | null,
  { settings, clusterConfig, wall }: GroupContext,
): boolean {
  if (job.cancelled || assignedUnfinished(job) > 0) return false;
  if (stored === null) return true;
  if (stored.state !== 'waiting') return false;
  return wall >= stored.since + backoffMs(settings, clusterConfig, job.id, stored.generation, stored.failures);
}

/** The record of the next generation. Written in one transaction with the rounds of the members. */
export function reserve(stored: GroupRecord | null, members: readonly GroupMember[], wall: number): GroupRecord {
  const record = stored ?? NEVER_PLACED;
  return moveTo(record, 'reserved', {
    generation: record.generation + 1,
    since: wall,
    reason: 'room was found',
    hasServed: false,
    avoid: null,
    members,
  });
}

/** The record that is to be stored next; null: none for now. */
export function nextRecord(job: Job, stored: GroupRecord | null, context: GroupContext): GroupRecord | null {
  if (job.cancelled) return null;
  const record = stored ?? NEVER_PLACED;
  switch (record.state) {
    case 'waiting':
      // Begun before its class was declared, or while groups were off.
      return assignedUnfinished(job) > 0 ? end(record, 'started as single tasks', null, context) : null;
    case 'ending':
      return afterEnding(job, record, context);
    default:
      return whileAssigned(job, record, context);
  }
}

/** A controller that answered a member as the end was being written may have given it a lease until then, and not later. */
function afterEnding(job: Job, record: GroupRecord, context: GroupContext): GroupRecord | null {
  const { settings, clusterConfig, wall, storedForMs } = context;
  if (assignedUnfinished(job) > 0) return null;
  if (record.hasServed && storedForMs < serveLeaseBoundMs(settings, clusterConfig)) return null;
  return moveTo(record, 'waiting', { since: wall, hasServed: false, members: [] });
}

function whileAssigned(job: Job, record: GroupRecord, context: GroupContext): GroupRecord | null {
  const members = membersOf(record, context);
  const lost = members.find((member) => member.report?.phase === 'lost');
  if (lost !== undefined) return end(record, lost.report!.reason ?? 'member ended', lost.machine, context);
  if (assignedUnfinished(job) < job.spec.tasks) return end(record, 'member ended', null, context);
  if (record.state === 'reserved') return whileReserved(record, members, context);
  if (record.state === 'admitted') return whileAdmitted(job, record, members, context);
  return null;
}

interface ReportedMember extends GroupMember {
  readonly report: MemberReport | null;
}

function membersOf(record: GroupRecord, { reportOf }: GroupContext): ReportedMember[] {
  const memberReports = new Map<number, MemberReport>();
  for (const partitionId of new Set(record.members.map((member) => member.partitionId))) {
    const report = reportOf(partitionId);
    if (report?.generation !== record.generation) continue;
    for (const member of report.members) memberReports.set(member.rank, member);
  }
  return record.members.map((member, rank) => ({ ...member, report: memberReports.get(rank) ?? null }));
}

function whileReserved(
  record: GroupRecord,
  members: readonly ReportedMember[],
  context: GroupContext,
): GroupRecord | null {
  const { settings, clusterConfig, wall, longestSaveS } = context;
  const late = members.find(({ report }) => report?.phase !== 'held');
  if (late === undefined) return moveTo(record, 'admitted', { since: wall, reason: 'all room is kept' });
  if (wall - record.since <= holdBoundMs(settings, clusterConfig, longestSaveS)) return null;
  return end(record, 'room was not kept in time', late.machine, context);
}

function whileAdmitted(
  job: Job,
  record: GroupRecord,
  members: readonly ReportedMember[],
  context: GroupContext,
): GroupRecord | null {
  const { settings, clusterConfig, types, wall } = context;
  const late = members.find(({ report }) => report?.phase !== 'running');
  if (late === undefined) {
    const serving = members.map(({ partitionId, machine, report }) => ({
      partitionId,
      machine,
      attempt: report!.attempt,
    }));
    return moveTo(record, 'serving', { since: wall, reason: 'all members run', members: serving });
  }
  if (wall - record.since <= startBoundMs(settings, clusterConfig, job.spec, types)) return null;
  return end(record, 'members did not start in time', late.machine, context);
}

function end(record: GroupRecord, reason: GroupReason, machine: string | null, context: GroupContext): GroupRecord {
  const { clusterConfig, wall } = context;
  const hasServed = record.state === 'serving';
  const isStable = hasServed && wall - record.since >= stableMs(clusterConfig);
  return moveTo(record, 'ending', {
    since: wall,
    reason,
    avoid: machine,
    failures: isStable ? 0 : record.failures + 1,
    hasServed,
  });
}
