/** The fencing tokens in messages to workers. Raising a token can make a worker send a heartbeat at once. */
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Machine } from './machine-entry';

/** A token is the owner's term times this, plus how often the owner has requested a heartbeat from the machine. */
export const TOKENS_PER_TERM = 2 ** 20;

/** The term of the owner that issued the token. */
export function termOfToken(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_TERM);
}

/** The current token for messages to the machine; undefined stands for one without a heartbeat under this term. */
export function fencingTokenOf(term: number, machine: Machine | undefined): number {
  return term * TOKENS_PER_TERM + (machine?.heartbeatRequests ?? 0);
}

/** Raises the token of all further messages to the machine. */
export function raiseFencingToken(machine: Machine, now: number): void {
  machine.heartbeatRequests++;
  machine.heartbeatRequestedAt = now;
}

/**
 * Minimum time between requests, in worker leases. A worker heeds one per half lease; the excess allows for clock
 * drift.
 */
const HEARTBEAT_REQUEST_LEASES = 0.52;

/**
 * After a heartbeat, none is requested for the heartbeat interval divided by this, because its answer may still be
 * under way.
 */
const ANSWER_UNDER_WAY_DIVISOR = 10;

/** No heartbeat is requested once this share of the interval has passed, because the next one is due soon anyway. */
const NEXT_HEARTBEAT_DUE_SHARE = 0.9;

/** Whether the worker would accept a request now, and the term has a token left for it. */
function acceptsHeartbeatRequest(
  { heartbeatRequestedAt, heartbeatRequests }: Machine,
  { workerLeaseMs }: ClusterConfig,
  now: number,
): boolean {
  return (
    now - heartbeatRequestedAt > workerLeaseMs * HEARTBEAT_REQUEST_LEASES && heartbeatRequests < TOKENS_PER_TERM - 1
  );
}

/**
 * Approximate time until the machine's next heartbeat, in milliseconds; 0 if one can be requested. A worker that sees a
 * higher token sends a heartbeat at once, but only once per half lease, and drops answers under way with a lower token.
 */
export function nextHeartbeatInMs(machine: Machine, clusterConfig: ClusterConfig, now: number): number {
  if (machine.answeredAt === null) return clusterConfig.heartbeatIntervalMs;
  return acceptsHeartbeatRequest(machine, clusterConfig, now)
    ? 0
    : Math.max(0, clusterConfig.heartbeatIntervalMs - (now - machine.answeredAt));
}

/**
 * Whether to request a heartbeat from the machine now. None is requested while the answer to the last one, which may
 * contain starts, may be under way, or when the next one is due soon anyway.
 */
export function mayRequestHeartbeat(machine: Machine, clusterConfig: ClusterConfig, now: number): boolean {
  if (machine.answeredAt === null || nextHeartbeatInMs(machine, clusterConfig, now) > 0) return false;
  const { heartbeatIntervalMs } = clusterConfig;
  const sinceAnswerMs = now - machine.answeredAt;
  return (
    sinceAnswerMs > heartbeatIntervalMs / ANSWER_UNDER_WAY_DIVISOR &&
    sinceAnswerMs < heartbeatIntervalMs * NEXT_HEARTBEAT_DUE_SHARE
  );
}
