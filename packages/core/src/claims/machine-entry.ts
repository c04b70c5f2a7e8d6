/** What a claim table keeps of one machine that sends it heartbeats. */
import type { ReportedTask, Heartbeat } from '@gingerlock/wire';
import type { ImageCache } from './image-cache';
import type { TaskEntry } from './task-entry';

/** One machine as the owner of its partition knows it. All moments are steady milliseconds. */
export interface Machine {
  readonly name: string;
  /** Address of its worker, by its latest heartbeat. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  /** Whether it is a spot instance. */
  spot: boolean;
  /** Incarnation of its worker: a higher one has killed and forgotten all tasks of a lower one. */
  agentEpoch: number;
  /** Number of its latest accepted heartbeat within the epoch. */
  sequenceNumber: number;
  /** A heartbeat that carries this owner's term has come: no older command can run there any more. */
  hasCurrentToken: boolean;
  /** Answers given in a row to heartbeats that did not carry this owner's term. */
  staleTokenAnswers: number;
  /** When the last heartbeat that was answered was received; null: none was, or its lease has expired since. */
  answeredAt: number | null;
  /** How often a heartbeat was requested from it under this term; see `ClaimTable.requestHeartbeat`. */
  heartbeatRequests: number;
  /** When a heartbeat was last requested from it; -Infinity: never under this term. */
  heartbeatRequestedAt: number;
  /** Whether the cloud has announced that it is about to take the machine back. */
  evictionNotice: boolean;
  /** Its name is in the stored membership, so that a new owner knows to wait for its heartbeat. */
  isMember: boolean;
  /** Whether it gets no new tasks because it is to be returned. */
  draining: boolean;
  /** The tasks that its latest heartbeat lists. */
  reportedTasks: readonly ReportedTask[];
  /** By task name: the tasks that it holds, or may hold. */
  readonly claims: Map<string, TaskEntry>;
  /** The images that it is believed to have. */
  readonly cache: ImageCache;
  /** Since when it has held no task. */
  emptySince: number;
  /** Answers with starts in a row of which the next heartbeat showed none. */
  unacknowledgedAnswers: number;
  /** Up to when it gets no starts, because earlier ones were lost or found no free resources. */
  unreachableUntil: number;
}

/** The entry of a machine whose first heartbeat under this owner was received at `now`. */
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
