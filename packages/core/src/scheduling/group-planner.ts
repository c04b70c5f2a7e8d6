// The interface through which the assignment plans replica groups; the rules are in package `replica-groups`.
import type { Job } from '../jobs/jobs';

/** A machine on which members of a replica group could run. */
export interface GroupCandidate {
  readonly machine: string;
  readonly zone: string;
  /** How many members fit on it. */
  readonly capacity: number;
  /** Estimate of how soon a member would run there, in milliseconds. */
  readonly costMs: number;
}

/** Machines for the members of a replica group. */
export interface GroupChoice {
  /** One entry for each member that fits; a machine is repeated for each member on it. */
  readonly chosen: readonly GroupCandidate[];
  /** How many members fit nowhere. */
  readonly missing: number;
  /** The zones in which more machines would let the missing members fit. */
  readonly zones: readonly string[];
  /** Cost of the chosen machines, by which choices are compared. */
  readonly cost: number;
}

/** Decides when and where replica groups are placed; all members of a group are placed at once, or none. */
export interface GroupPlanner {
  /** Whether the group may be placed now. */
  mayPlace(job: Job): boolean;
  /** Whether the backoff after a failed generation is the only reason not to place the group. */
  isBackingOff(job: Job): boolean;
  /** Chooses machines for the members among the candidates. */
  choose(job: Job, candidates: readonly GroupCandidate[]): GroupChoice;
  /** Whether the group holds free resources that fit only some members, so that later jobs leave them free. */
  holdsPartialCapacity(job: Job): boolean;
}
