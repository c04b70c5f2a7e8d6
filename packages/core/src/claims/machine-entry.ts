/** The entry of a claim table for a machine that sends it heartbeats. */
import type { ReportedTask, Heartbeat } from '@gingerlock/wire';
import type { ImageCache } from './image-cache';
import type { TaskEntry } from './task-entry';

/** A machine as the owner of its partition knows it. All times are steady milliseconds. */
export interface Machine {
  readonly name: string;
  /** Address of its worker, by its latest heartbeat. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  /** Whether it is a spot instance. */
  spot: boolean;
  /** Incarnation of its worker: one with a higher number has killed and forgotten all earlier tasks. */
  agentEpoch: number;
  /** Number of its latest accepted heartbeat within the epoch. */
  sequenceNumber: number;
  /** Whether its latest heartbeat carried this owner's term, so that no older command can run there any more. */
  hasCurrentToken: boolean;
  /** Consecutive heartbeats that did not carry this owner's term, while the machine may hold earlier tasks. */
  staleTokenAnswers: number;
  /** When the last answered heartbeat was received; null if none was answered, or if the lease has expired since. */
  answeredAt: number | null;
  /** How often a heartbeat was requested from it under this term; see `ClaimTable.requestHeartbeat`. */
  heartbeatRequests: number;
  /** When a heartbeat was last requested from it under this term; -Infinity if never. */
  heartbeatRequestedAt: number;
  /** Whether the cloud has announced that it is about to evict the machine. */
  evictionNotice: boolean;
  /** Whether the stored membership contains it, so that a new owner waits for its heartbeat. */
  isMember: boolean;
  /** Whether it gets no new tasks because it is to be returned. */
  draining: boolean;
  /** The tasks that its latest heartbeat lists. */
  reportedTasks: readonly ReportedTask[];
  /** The tasks that it holds or may hold, by task name. */
  readonly claims: Map<string, TaskEntry>;
  /** The images that it is believed to have. */
  readonly cache: ImageCache;
  /** Since when it has held no task. */
  emptySince: number;
  /** Consecutive answers with starts of which the next heartbeat listed none. */
  unacknowledgedAnswers: number;
  /** It gets no starts until this time, because earlier ones were lost or found no free resources. */
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
