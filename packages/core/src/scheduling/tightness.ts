// The rule that breaks ties between machines, for the leader's assignment and the owner's placement alike.
import type { MachineType } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';

/** What a wholly free machine costs more than a full one, as a part of the heartbeat interval. */
const FREE_MACHINE_INTERVAL_DIVISOR = 10;

/**
 * What a machine's free GPUs add to its cost, in milliseconds: a fuller machine is chosen, which leaves larger gaps
 * to others.
 */
export function tightnessCostMs(
  heartbeatIntervalMs: number,
  available: Resources,
  type: MachineType | undefined,
): number {
  const freeShare = type === undefined || type.gpus <= 0 ? 0 : available.gpus / type.gpus;
  return (heartbeatIntervalMs / FREE_MACHINE_INTERVAL_DIVISOR) * freeShare;
}
