// What the owner of a partition tells the leader of the members of replica groups there. Hints: nothing that safety rests on.
import type { GroupReason } from '@gingerlock/wire';

/**
 * pending:  not known yet, or its room is not free yet.
 * held:     its room is kept and free.
 * starting: it was started, and fetches its image.
 * running:  it runs.
 * lost:     it has ended, will not start, or is about to end.
 */
export const MEMBER_PHASES = ['pending', 'held', 'starting', 'running', 'lost'] as const;
export type MemberPhase = (typeof MEMBER_PHASES)[number];

export interface MemberReport {
  /** The number of its task. */
  readonly rank: number;
  readonly phase: MemberPhase;
  /** 0: it was not started. */
  readonly attempt: number;
  /** Why it is lost; null: it is not. */
  readonly reason: GroupReason | null;
}

export interface GroupReport {
  readonly job: string;
  readonly generation: number;
  readonly members: readonly MemberReport[];
}

/** All that one owner tells. Of a group that serves, and all of whose members here run as its record says, nothing is told. */
export interface PartitionGroupReport {
  readonly partitionId: number;
  readonly term: number;
  /** The owner's replica stood at this revision. */
  readonly revision: number;
  readonly groups: readonly GroupReport[];
}
