// What the owner of a partition reports to the leader on the members of replica groups there. These are hints: no
// safety property depends on them.
import type { GroupReason } from '@gingerlock/wire';

/**
 * The phases of a member:
 * - pending: not known yet, or what is reserved for it is not free yet.
 * - held: resources are reserved for it and free.
 * - starting: it was started and fetches its image.
 * - running: it runs.
 * - lost: it has ended, will not start, or is about to end.
 */
export const MEMBER_PHASES = ['pending', 'held', 'starting', 'running', 'lost'] as const;
/** One of `MEMBER_PHASES`. */
export type MemberPhase = (typeof MEMBER_PHASES)[number];

/** The report on one member. */
export interface MemberReport {
  /** The index of its task. */
  readonly rank: number;
  readonly phase: MemberPhase;
  /** 0: it was not started. */
  readonly attempt: number;
  /** Why it is lost; null: it is not. */
  readonly reason: GroupReason | null;
}

/** The report on the members of one group on one partition. */
export interface GroupReport {
  readonly job: string;
  /** The generation that the report is about. */
  readonly generation: number;
  readonly members: readonly MemberReport[];
}

/** The reports of one owner. There is none on a group that serves and whose members here all run as its record says. */
export interface PartitionGroupReport {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /** Revision of the owner's watch cache. */
  readonly revision: number;
  readonly groups: readonly GroupReport[];
}
