// What a claim table keeps of tasks and machines.
import type { ReportedTask, Heartbeat } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';
import type { ImageCache } from './image-cache';
import type { Job } from '../jobs/jobs';

/**
 * uncertain: assigned before this owner's takeover and seen nowhere yet, so an unheard machine may hold it.
 * waiting:   no machine holds it; it is posted in a wake.
 * claimed:   a machine holds it, or may.
 * finishing: completed; the state service has yet to be told.
 * leaving:   a change of the job's record that gives it back is on its way.
 */
export type TaskEntryState = 'uncertain' | 'waiting' | 'claimed' | 'finishing' | 'returning';

/** To which state a slot may go from each. */
export const TASK_TRANSITIONS: Record<TaskEntryState, readonly TaskEntryState[]> = {
  uncertain: ['waiting', 'claimed', 'finishing'],
  waiting: ['claimed', 'returning', 'finishing'],
  claimed: ['waiting', 'finishing'],
  finishing: ['claimed'],
  returning: ['waiting', 'claimed', 'finishing'],
};

export interface Claim {
  readonly machine: Machine;
  readonly attempt: number;
  readonly agentEpoch: number;
  readonly grantedAt: number;
  /** What the worker said last; `granted` until it has said anything. */
  stage: 'granted' | 'fetching' | 'running' | 'saving';
  /** When it was first reported running; null: it has not been. */
  runningSince: number | null;
  /** Set when the task is to be stopped, with the time it gets for saving. */
  stopGraceS: number | null;
}

/** Where a waiting task would run soonest. */
export interface PlannedPlacement {
  readonly machine: Machine;
  /** How soon it would run there, about. */
  readonly ms: number;
  /** What has to be stopped there first. */
  readonly victims: readonly TaskEntry[];
}

/** Room on a machine to which a replica might move. */
export interface SpareCapacity {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
  readonly images: readonly string[];
}

export interface TaskEntry {
  readonly job: Job;
  readonly index: number;
  readonly name: string;
  /** Where it is to run, by the newest record; null: anywhere. */
  zone: string | null;
  /** Term of the partition's owner at its assignment, by the newest record. */
  term: number;
  state: TaskEntryState;
  claim: Claim | null;
  /** Since when it is in this state. */
  since: number;
  /** Not granted before: a task that failed waits a while. */
  notBefore: number;
  failures: number;
  /** Where it would run soonest, by the last packing. */
  plan: PlannedPlacement | null;
  /** Stopped so that its machine can go: it waits only for a machine that has its image, or goes back to the leader. */
  isRelocating: boolean;
  /** Version of the job's record on which the change that gives this task back is conditional. */
  returningVersion: number;
  /** Of a member of a replica group: the generation in which it was started here; 0: it was not. */
  startedIn: number;
  /** Not assigned here any more by the newest record, and kept only until its claim ends. */
  withdrawn: boolean;
}

export interface Machine {
  readonly name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequenceNumber: number;
  /** A report that carries this owner's term has come: no older command can run there any more. */
  hasCurrentToken: boolean;
  /** Answers given in a row to reports that did not carry our term. */
  staleTokenAnswers: number;
  /** When the last report that was answered was received; null: none was, or its lease has run out since. */
  answeredAt: number | null;
  /** How often it was called under this term, and when last: see `call`. */
  heartbeatRequests: number;
  heartbeatRequestedAt: number;
  evictionNotice: boolean;
  /** Its name is in the state service's membership, so that a new owner knows to ask for it. */
  isMember: boolean;
  draining: boolean;
  reportedTasks: readonly ReportedTask[];
  readonly claims: Map<string, TaskEntry>;
  readonly cache: ImageCache;
  emptySince: number;
  /** Answers with starts in a row of which the next report showed none. */
  unacknowledgedAnswers: number;
  unreachableUntil: number;
}

/** A machine whose first report under this owner has come. */
export function newMachine(
  heartbeat: Heartbeat,
  known: { readonly isMember: boolean; readonly cache: ImageCache },
  now: number,
): Machine {
  return {
    name: heartbeat.machine,
    addr: heartbeat.addr,
    type: heartbeat.type,
    zone: heartbeat.zone,
    spot: heartbeat.spot,
    agentEpoch: heartbeat.agentEpoch,
    sequenceNumber: heartbeat.sequenceNumber,
    hasCurrentToken: false,
    staleTokenAnswers: 0,
    answeredAt: null,
    heartbeatRequests: 0,
    heartbeatRequestedAt: -Infinity,
    evictionNotice: false,
    isMember: known.isMember,
    draining: false,
    reportedTasks: [],
    claims: new Map(),
    cache: known.cache,
    emptySince: now,
    unacknowledgedAnswers: 0,
    unreachableUntil: 0,
  };
}
