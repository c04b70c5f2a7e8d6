/** The entry of a claim table for a task that is assigned to its partition. */
import type { Job } from '../jobs/jobs';
import type { Machine } from './machine-entry';

/**
 * uncertain: assigned before this owner acquired the partition and reported by no machine yet; an unconfirmed machine
 * may hold it.
 * waiting:   no machine holds it; its job has a wake.
 * claimed:   a machine holds it or may hold it.
 * finishing: completed, but the completion is not written to the key-value store yet.
 * returning: the write that returns it to the leader is under way.
 */
export type TaskEntryState = 'uncertain' | 'waiting' | 'claimed' | 'finishing' | 'returning';

/** The states that may follow each state of a task. */
export const TASK_TRANSITIONS: Record<TaskEntryState, readonly TaskEntryState[]> = {
  uncertain: ['waiting', 'claimed', 'finishing'],
  waiting: ['claimed', 'returning', 'finishing'],
  claimed: ['waiting', 'finishing'],
  finishing: ['claimed'],
  returning: ['waiting', 'claimed', 'finishing'],
};

/** A machine's hold on a task. It begins with the grant or with the first heartbeat that lists the task. */
export interface Claim {
  readonly machine: Machine;
  /** Number of this attempt to run the task; see `AttemptNumbers`. */
  readonly attempt: number;
  /** Incarnation of the worker that holds it. */
  readonly agentEpoch: number;
  /** When it was granted, or adopted from an earlier owner; steady milliseconds. */
  readonly grantedAt: number;
  /** The stage that the worker reported last; `granted` until it has listed the task. */
  stage: 'granted' | 'fetching' | 'running' | 'saving';
  /** When the task was first reported running; null if it has not been. */
  runningSince: number | null;
  /** Seconds that the task gets for its checkpoint if it is to be stopped; null if it is not. */
  stopGraceS: number | null;
}

/** Where a waiting task would run soonest. */
export interface PlannedPlacement {
  readonly machine: Machine;
  /** Approximate time until it would run there, in milliseconds. */
  readonly startsInMs: number;
  /** The tasks that have to be preempted there first. */
  readonly victims: readonly TaskEntry[];
}

/** A task as the owner of its partition knows it. All times are steady milliseconds. */
export interface TaskEntry {
  readonly job: Job;
  readonly index: number;
  /** Its name on the wire, made of its job's id and its index. */
  readonly name: string;
  /** The zone that the newest record binds it to; null if any zone will do. */
  zone: string | null;
  /** The ownership term under which it was assigned, by the newest record. */
  term: number;
  state: TaskEntryState;
  /** Set if and only if the state is `claimed`. */
  claim: Claim | null;
  /** Since when it is in this state. */
  since: number;
  /** It is not granted before this time, because a task that failed waits a while. */
  notBefore: number;
  /** How often it has failed under this owner. */
  failures: number;
  /** Where it would run soonest, by the last planning; null if nowhere, or if it was not planned. */
  plan: PlannedPlacement | null;
  /**
   * Whether it was evicted so that its machine can be returned. It waits only for a machine that has its image, or is
   * returned to the leader.
   */
  isRelocating: boolean;
  /** Version of the job's record on which the write that returns this task to the leader is conditional. */
  returningVersion: number;
  /** The generation in which a member of a replica group was started here; 0 if it was not. */
  startedGeneration: number;
  /** Whether the newest record does not assign it here any more; it is kept only until its claim ends. */
  isWithdrawn: boolean;
}
