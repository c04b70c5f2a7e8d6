/** The fencing tokens that workers are sent, and when raising one makes a worker send a heartbeat at once. */
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Machine } from './machine-entry';

/** A token is its owner's term times this, plus how often the owner has requested a heartbeat from the machine. */
export const TOKENS_PER_TERM = 2 ** 20;

/** The term of the owner that gave out the token. */
export function termOfToken(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_TERM);
}

/** The token of every message to the machine now; undefined: to one that has sent no heartbeat under this term yet. */
export function fencingTokenOf(term: number, machine: Machine | undefined): number {
  return term * TOKENS_PER_TERM + (machine?.heartbeatRequests ?? 0);
}

/** Has every message to the machine carry a higher token from now on. */
export function raiseFencingToken(machine: Machine, now: number): void {
  machine.heartbeatRequests++;
  machine.heartbeatRequestedAt = now;
}

/** A worker answers a higher token with a heartbeat once in half of its lease; a little more, for clock drift. */
const HEARTBEAT_REQUEST_LEASES = 0.52;

/**
 * No heartbeat is requested until the interval divided by this has passed since the last one: its answer may be under
 * way.
 */
const ANSWER_UNDER_WAY_DIVISOR = 10;

/** No heartbeat is requested once this share of the interval has passed: the next one is about to come by itself. */
const NEXT_HEARTBEAT_DUE_SHARE = 0.9;

/** Whether the worker would accept a request by now, and the term has a number left for it. */
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
 * How long until the machine's next heartbeat, about, or 0 if one can be requested: a worker that sees a higher token
 * sends one at once, though only once in half of its lease, and drops any answer under way that carries a lower token.
 */
export function nextHeartbeatInMs(machine: Machine, clusterConfig: ClusterConfig, now: number): number {
  if (machine.answeredAt === null) return clusterConfig.heartbeatIntervalMs;
  return acceptsHeartbeatRequest(machine, clusterConfig, now)
    ? 0
    : Math.max(0, clusterConfig.heartbeatIntervalMs - (now - machine.answeredAt));
}

/**
 * Whether to request a heartbeat from the machine now. Not while the answer to its last one, and starts in it, may be
 * under way, nor when the next one is about to come by itself.
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
