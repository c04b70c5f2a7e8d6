// The reports of a partition's owner to the leader on the members of replica groups there. They are hints: no safety
// property depends on them.
import type { GroupReason } from '@gingerlock/wire';

/**
 * The phases of a member:
 * - pending: its owner does not know its state yet, or the resources reserved for it are not free yet.
 * - held: the resources reserved for it are free.
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
  /** The attempt that a machine holds; 0 if no machine holds the member. */
  readonly attempt: number;
  /** Why it is lost; null if it is not. */
  readonly reason: GroupReason | null;
}

/** The report on the members of one group on one partition. */
export interface GroupReport {
  readonly job: string;
  /** The generation that the report is about. */
  readonly generation: number;
  readonly members: readonly MemberReport[];
}

/** The reports of one owner. A serving group is left out if all of its members here run as recorded. */
export interface PartitionGroupReport {
  readonly partitionId: number;
  /** The owner's term. */
  readonly term: number;
  /** Revision of the owner's watch cache. */
  readonly revision: number;
  readonly groups: readonly GroupReport[];
}
