// The tokens that workers are shown, and when raising one has a worker report at once.
import type { ClusterConfig } from '../cluster/cluster-config';
import type { Machine } from './task-entry';

/** A token is its owner's term times this, plus how often the owner has called the machine. */
export const TOKENS_PER_TERM = 2 ** 20;

export function termOfToken(fencingToken: number): number {
  return Math.floor(fencingToken / TOKENS_PER_TERM);
}

/** A worker takes a higher token as a cause to report once in half of its lease; a little more, for drift. */
const HEARTBEAT_REQUEST_LEASES = 0.52;

/** A worker takes calls only so far apart, and none is to be raised beyond what the term has numbers for. */
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
 * How long until the machine reports, about, or 0 if it can be called: a worker that sees a higher token reports at
 * once, though only once in half of its lease, and drops any answer under way that carries a lower one.
 */
export function nextHeartbeatInMs(machine: Machine, clusterConfig: ClusterConfig, now: number): number {
  if (machine.answeredAt === null) return clusterConfig.heartbeatIntervalMs;
  return acceptsHeartbeatRequest(machine, clusterConfig, now)
    ? 0
    : Math.max(0, clusterConfig.heartbeatIntervalMs - (now - machine.answeredAt));
}

/** Whether to call the machine now. Not while the answer to its last report, and starts in it, may be under way. */
export function mayRequestHeartbeat(machine: Machine, clusterConfig: ClusterConfig, now: number): boolean {
  if (machine.answeredAt === null || nextHeartbeatInMs(machine, clusterConfig, now) > 0) return false;
  const since = now - machine.answeredAt;
  return since > clusterConfig.heartbeatIntervalMs / 10 && since < clusterConfig.heartbeatIntervalMs * 0.9;
}
