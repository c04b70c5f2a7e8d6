// How a replica group stands, as the state service keeps it: one record for each, written by the leader alone.
import { Type } from '@sinclair/typebox';
import { checker } from './check';
import { integer } from './codec';

/**
 * waiting:  nothing is assigned and no room is kept.
 * reserved: its members are assigned, each to a machine on which its owner keeps room; none is started.
 * admitted: all owners have said that they keep the room: each member is started once.
 * serving:  all members run.
 * ending:   all members are stopped and given back.
 */
export const GROUP_STATES = ['waiting', 'reserved', 'admitted', 'serving', 'ending'] as const;
export type GroupState = (typeof GROUP_STATES)[number];

/** Why a group is in its state. */
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
export type GroupReason = (typeof GROUP_REASONS)[number];

/** One member, by its rank: the number of its task. */
export interface GroupMember {
  readonly partitionId: number;
  readonly machine: string;
  /** The attempt under which it serves; null: the group does not serve yet. */
  readonly attempt: number | null;
}

export interface GroupRecord {
  /** Counts the times that all members were placed, from 1. */
  readonly generation: number;
  readonly state: GroupState;
  /** Time of day (ms) at the leader that wrote this state. */
  readonly since: number;
  readonly reason: GroupReason;
  /** Generations in a row that ended before they had served for long enough. */
  readonly failures: number;
  /** It served in this generation: members may hold leases to serve. */
  readonly hasServed: boolean;
  /** The machine for which the last generation ended: the next one is placed elsewhere if it can be. */
  readonly avoid: string | null;
  /** None while the group waits. */
  readonly members: readonly GroupMember[];
}

const checkGroup = checker(
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

export const groupRecord = {
  write: (group: GroupRecord): unknown => ({
    g: integer(group.generation),
    s: GROUP_STATES.indexOf(group.state),
    at: group.since,
    w: GROUP_REASONS.indexOf(group.reason),
    f: group.failures,
    l: group.hasServed ? 1 : 0,
    a: group.avoid,
    m: group.members.map(({ partitionId, machine, attempt }) => [
      partitionId,
      machine,
      attempt === null ? null : integer(attempt),
    ]),
  }),
  /** Throws `Malformed` if the value is none that we write. */
  read: (value: unknown): GroupRecord => {
    const g = checkGroup(value);
    return {
      generation: g.g,
      state: GROUP_STATES[g.s]!,
      since: g.at,
      reason: GROUP_REASONS[g.w]!,
      failures: g.f,
      hasServed: g.l === 1,
      avoid: g.a,
      members: g.m.map(([partitionId, machine, attempt]) => ({ partitionId, machine, attempt })),
    };
  },
};

/** The most that one member may take of a group's record, in bytes of JSON: machines have names of up to 64 characters. */
const LARGEST_MEMBER_BYTES = 96;

/** What the rest of the record takes at the most. */
const HEAD_BYTES = 256;

/** How many members a group may have so that its record surely fits into a value. */
export function mostMembers(valueBytes: number): number {
  return Math.max(0, Math.floor((valueBytes - HEAD_BYTES) / LARGEST_MEMBER_BYTES));
}
