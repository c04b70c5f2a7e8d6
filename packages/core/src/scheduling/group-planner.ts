// What the assignment asks about replica groups; package `replica-groups` answers it.
import type { Job } from '../jobs/jobs';

/** A machine on which members of a replica group could run. */
export interface GroupCandidate {
  readonly machine: string;
  readonly zone: string;
  /** How many members there is room for. */
  readonly capacity: number;
  /** How soon a member would run there, in milliseconds, about. */
  readonly cost: number;
}

/** Machines for the members of a replica group. */
export interface GroupChoice {
  /** One for each member that has room, one machine as often as it is chosen. */
  readonly chosen: readonly GroupCandidate[];
  /** Members that have no room. */
  readonly missing: number;
  /** The zones in which room for them would be of use. */
  readonly zones: readonly string[];
  readonly cost: number;
}

/** Decides over replica groups, of which all members are assigned at once or none. */
export interface GroupPlanner {
  /** Whether the group may be placed now. */
  mayPlace(job: Job): boolean;
  choose(job: Job, candidates: readonly GroupCandidate[]): GroupChoice;
  /** Whether room that is not enough for the whole group is kept from the jobs after it. */
  holdsPartialCapacity(job: Job): boolean;
}
