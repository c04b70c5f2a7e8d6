// What the assignment asks about replica groups; package `replica-groups` answers it.
import type { Job } from '../jobs/jobs';

/** A machine on which members of a replica group could run. */
export interface GroupCandidate {
  readonly machine: string;
  readonly zone: string;
  /** How many members fit on it. */
  readonly capacity: number;
  /** About how soon a member would run there, in milliseconds. */
  readonly costMs: number;
}

/** Machines for the members of a replica group. */
export interface GroupChoice {
  /** One for each member that fits, one machine as often as it is chosen. */
  readonly chosen: readonly GroupCandidate[];
  /** Members that fit nowhere. */
  readonly missing: number;
  /** The zones in which more machines would help them. */
  readonly zones: readonly string[];
  /** What the chosen machines cost, to compare choices by. */
  readonly cost: number;
}

/** Decides over replica groups, of which all members are assigned at once or none. */
export interface GroupPlanner {
  /** Whether the group may be placed now. */
  mayPlace(job: Job): boolean;
  /** Whether nothing but the backoff after a failed generation keeps the group from being placed. */
  isBackingOff(job: Job): boolean;
  /** Chooses machines for the members among the candidates. */
  choose(job: Job, candidates: readonly GroupCandidate[]): GroupChoice;
  /** Whether free resources that fit only some members are held back from the jobs after the group. */
  holdsPartialCapacity(job: Job): boolean;
}
