/** What a claim table keeps of one task that is assigned to its partition. */
import type { Job } from '../jobs/jobs';
import type { Machine } from './machine-entry';

/**
 * uncertain: assigned before this owner acquired the partition and reported by no machine yet, so an unconfirmed one
 * may hold it.
 * waiting:   no machine holds it; its job has a wake.
 * claimed:   a machine holds it, or may.
 * finishing: completed; that is yet to be written to the key-value store.
 * returning: the write that returns it to the leader is under way.
 */
export type TaskEntryState = 'uncertain' | 'waiting' | 'claimed' | 'finishing' | 'returning';

/** To which states a task may go from each. */
export const TASK_TRANSITIONS: Record<TaskEntryState, readonly TaskEntryState[]> = {
  uncertain: ['waiting', 'claimed', 'finishing'],
  waiting: ['claimed', 'returning', 'finishing'],
  claimed: ['waiting', 'finishing'],
  finishing: ['claimed'],
  returning: ['waiting', 'claimed', 'finishing'],
};

/** A machine's hold on a task, from the grant or from the first heartbeat that lists it. */
export interface Claim {
  readonly machine: Machine;
  /** Number of this attempt to run the task; see `AttemptNumbers`. */
  readonly attempt: number;
  /** Incarnation of the worker that holds it. */
  readonly agentEpoch: number;
  /** When it was granted, or adopted from an earlier owner; steady milliseconds. */
  readonly grantedAt: number;
  /** What the worker reported last; `granted` until it has listed the task. */
  stage: 'granted' | 'fetching' | 'running' | 'saving';
  /** When it was first reported running; null: it has not been. */
  runningSince: number | null;
  /** Set when the task is to be stopped, with the time that it gets for its checkpoint; null: it is to go on. */
  stopGraceS: number | null;
}

/** Where a waiting task would run soonest. */
export interface PlannedPlacement {
  readonly machine: Machine;
  /** How soon it would run there, about; milliseconds. */
  readonly startsInMs: number;
  /** What has to be preempted there first. */
  readonly victims: readonly TaskEntry[];
}

/** One task as the owner of its partition knows it. All moments are steady milliseconds. */
export interface TaskEntry {
  readonly job: Job;
  readonly index: number;
  /** Its name on the wire: of its job and its index. */
  readonly name: string;
  /** Where it is to run, by the newest record; null: anywhere. */
  zone: string | null;
  /** Term of the partition's owner at its assignment, by the newest record. */
  term: number;
  state: TaskEntryState;
  /** Set if and only if the state is `claimed`. */
  claim: Claim | null;
  /** Since when it is in this state. */
  since: number;
  /** Not granted before: a task that failed waits a while. */
  notBefore: number;
  /** How often it has failed under this owner. */
  failures: number;
  /** Where it would run soonest, by the last planning; null: nowhere, or it was not planned. */
  plan: PlannedPlacement | null;
  /**
   * Evicted so that its machine can be returned: it waits only for a machine that has its image, or goes back to the
   * leader.
   */
  isRelocating: boolean;
  /** Version of the job's record on which the write that returns this task to the leader is conditional. */
  returningVersion: number;
  /** Of a member of a replica group: the generation in which it was started here; 0: it was not. */
  startedIn: number;
  /** Not assigned here any more by the newest record, and kept only until its claim ends. */
  isWithdrawn: boolean;
}
