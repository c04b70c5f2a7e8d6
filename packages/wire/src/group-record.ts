// The record of a replica group at `KEYS.group`. Only the leader writes it. See docs/replica-groups-design.md.
import { Type } from '@sinclair/typebox';
import { compileValidator } from './validator';
import { integer } from './codec';

/**
 * The states of a replica group. They are stored as their indexes, so their order must not change.
 * - waiting: no member is assigned.
 * - reserved: each member is assigned to a machine, whose owner reserves resources for it; no member is started.
 * - admitted: all owners have reported that the resources are reserved; each member is started once.
 * - serving: all members are running.
 * - ending: all members are being stopped and their assignments returned.
 */
export const GROUP_STATES = ['waiting', 'reserved', 'admitted', 'serving', 'ending'] as const;
/** One of `GROUP_STATES`. */
export type GroupState = (typeof GROUP_STATES)[number];

/** Why a group is in its state. The reasons are stored as their indexes, and their texts are written to the log. */
export const GROUP_REASONS = [
  'room was found',
  'all room is kept',
  'all members run',
  'all members are gone',
  'member ended',
  'machine lost',
  'machine silent',
  'machine drains',
  'machine is taken back',
  'partition changed hands',
  'room was not kept in time',
  'members did not start in time',
  'started as single tasks',
] as const;
/** One of `GROUP_REASONS`. */
export type GroupReason = (typeof GROUP_REASONS)[number];

/** One member. Its rank is the index of its task, and its index in `GroupRecord.members`. */
export interface GroupMember {
  readonly partitionId: number;
  readonly machine: string;
  /** The attempt that serves; null while the group does not serve yet. */
  readonly attempt: number | null;
}

/** The state of one replica group. */
export interface GroupRecord {
  /** Number of times that all members have been placed. */
  readonly generation: number;
  readonly state: GroupState;
  /** Time of day (ms) at which the group entered the state, by the clock of the leader that wrote it. */
  readonly since: number;
  readonly reason: GroupReason;
  /** Number of consecutive generations that ended before they had served for long enough. */
  readonly failures: number;
  /** Whether the group has served in this generation, so that members may hold serve leases. */
  readonly hasServed: boolean;
  /** The machine that made the last generation end. The next generation avoids it if possible; null: none. */
  readonly avoidedMachine: string | null;
  /** The members by rank; empty while the group is waiting. */
  readonly members: readonly GroupMember[];
}

const checkGroup = compileValidator(
  Type.Object({
    g: Type.Integer({ minimum: 0 }),
    s: Type.Integer({ minimum: 0, maximum: GROUP_STATES.length - 1 }),
    at: Type.Number(),
    w: Type.Integer({ minimum: 0, maximum: GROUP_REASONS.length - 1 }),
    f: Type.Integer({ minimum: 0 }),
    l: Type.Integer({ minimum: 0, maximum: 1 }),
    a: Type.Union([Type.Null(), Type.String()]),
    m: Type.Array(
      Type.Tuple([
        Type.Integer({ minimum: 0 }),
        Type.String({ minLength: 1 }),
        Type.Union([Type.Null(), Type.Integer({ minimum: 0 })]),
      ]),
    ),
  }),
);

/** The format of the value at `KEYS.group`. */
export const groupRecord = {
  write: (group: GroupRecord): unknown => ({
    g: integer(group.generation),
    s: GROUP_STATES.indexOf(group.state),
    at: group.since,
    w: GROUP_REASONS.indexOf(group.reason),
    f: group.failures,
    l: group.hasServed ? 1 : 0,
    a: group.avoidedMachine,
    m: group.members.map(({ partitionId, machine, attempt }) => [
      partitionId,
      machine,
      attempt === null ? null : integer(attempt),
    ]),
  }),
  /** Throws a `MalformedMessageError` if the value is not a group record. */
  read: (value: unknown): GroupRecord => {
    const stored = checkGroup(value);
    return {
      generation: stored.g,
      state: GROUP_STATES[stored.s]!,
      since: stored.at,
      reason: GROUP_REASONS[stored.w]!,
      failures: stored.f,
      hasServed: stored.l === 1,
      avoidedMachine: stored.a,
      members: stored.m.map(([partitionId, machine, attempt]) => ({ partitionId, machine, attempt })),
    };
  },
};

/** Maximum size of one member in a group record, in bytes of JSON. Machine names have up to 64 characters. */
const MAX_MEMBER_BYTES = 96;

/** Maximum size of the rest of the record, in bytes of JSON. */
const MAX_HEAD_BYTES = 256;

/** Returns the largest number of members whose record always fits into a value of `valueBytes`. */
export function maxGroupMembers(valueBytes: number): number {
  return Math.max(0, Math.floor((valueBytes - MAX_HEAD_BYTES) / MAX_MEMBER_BYTES));
}
