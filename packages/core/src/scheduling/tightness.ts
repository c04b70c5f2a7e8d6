// The rule that breaks ties between machines, for the leader's assignment and the owner's placement alike.
import type { MachineType } from '@gingerlock/wire';
import type { Resources } from '../cluster/resources';

/** A wholly free machine costs more than a full one by a heartbeat interval divided by this number. */
const FREE_MACHINE_INTERVAL_DIVISOR = 10;

/**
 * The cost that a machine's free GPUs add, in milliseconds: fuller machines are preferred (best fit), which leaves
 * larger gaps for other tasks.
 */
export function tightnessCostMs(
  heartbeatIntervalMs: number,
  available: Resources,
  type: MachineType | undefined,
): number {
  const freeShare = type === undefined || type.gpus <= 0 ? 0 : available.gpus / type.gpus;
  return (heartbeatIntervalMs / FREE_MACHINE_INTERVAL_DIVISOR) * freeShare;
}
