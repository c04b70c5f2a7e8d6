// Which machines are emptied because their room can be spared.
import { type MachineType, PRIORITIES } from '@gingerlock/wire';
import type { MachineStatus } from '../scheduling/partition-status';
import { machineUse } from './machine-use';
import { unitPrice } from './scale-out-choice';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type ClusterConfig, SUSPECT_INTERVALS } from '../cluster/cluster-config';
import { type Partitioner } from '../cluster/partitioner';

/** Work of this rank and below makes way for services. */
export const BATCH_PRIORITY = PRIORITIES.indexOf('normal');

/** A machine that could not be emptied in so many boot times is let be for three times as long. */
const CONSOLIDATION_BOOTS = 2;

/** Room for coming batch work that is kept on spot machines, as a share of what is in use there. */
const SPOT_SPARE = 0.25;

/** Whether the machine has been silent for so long that what it holds will most likely be wanted elsewhere. */
export function isSuspect(m: MachineStatus, clusterConfig: ClusterConfig): boolean {
  return m.silentMs > clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
}

export interface ConsolidationInput {
  readonly now: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly partitioner: Partitioner;
  readonly pinned?: ReadonlySet<string>;
}

export class ConsolidationPlan {
  /** Machines that are being emptied, or could not be, and since when. */
  #since: ReadonlyMap<string, number> = new Map();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /**
   * Machines that are nearly empty and whose room can be spared get no more work. Batch work on spot machines ends soon;
   * replicas last for minutes, so the owner moves them to where they are up again at once, if it can.
   */
  add(
    input: ConsolidationInput,
    machinesByName: ReadonlyMap<string, MachineStatus>,
    drain: Set<string>,
    draining: ReadonlySet<string>,
    spareOrdinary: number,
  ): void {
    const { now, types } = input;
    const candidates: { m: MachineStatus; used: number; size: number; price: number }[] = [];
    const freeIn = new Map<string, number>();
    const spot = { free: 0, used: 0 };
    for (const m of machinesByName.values()) {
      const type = types.get(m.type);
      const size = type?.gpus ?? 0;
      if (m.evictionNotice || m.isQuarantined || isSuspect(m, this.clusterConfig)) continue;
      const sum = (from: number, to: number): number => m.byPriority.slice(from, to).reduce((n, a) => n + a.gpus, 0);
      const used = m.spot ? sum(0, m.byPriority.length) : sum(0, BATCH_PRIORITY);
      if (m.spot) spot.used += used;
      if (m.takesWork && m.spot) spot.free += m.free.gpus;
      else if (m.takesWork) freeIn.set(m.zone, (freeIn.get(m.zone) ?? 0) + m.free.gpus);
      if (
        input.pinned?.has(m.name) !== true &&
        machineUse(m) === 'in use' &&
        used <= size / 2 &&
        (m.takesWork || draining.has(m.name))
      ) {
        candidates.push({ m, used, size, price: type === undefined ? 0 : unitPrice(type, m.spot) });
      }
    }
    const spare = { ordinary: spareOrdinary, spot: spot.free - spot.used * SPOT_SPARE };
    // What is being emptied goes on being emptied; then the dearest, and of those that cost the same the emptiest.
    const order = (c: (typeof candidates)[number]): number => (draining.has(c.m.name) ? 0 : 1);
    candidates.sort(
      (a, b) => order(a) - order(b) || b.price - a.price || a.used - b.used || (a.m.name < b.m.name ? -1 : 1),
    );
    const consolidating = new Map<string, number>();
    const busy = new Set<number>();
    for (const { m, used, size } of candidates) {
      const bootMs = bootMsOf(types.get(m.type));
      const since = this.#since.get(m.name) ?? now;
      // If it could not be emptied in this time it is let be for a while.
      if (now - since > bootMs * CONSOLIDATION_BOOTS) {
        if (now - since < bootMs * CONSOLIDATION_BOOTS * 4) consolidating.set(m.name, since);
        continue;
      }
      const kind = m.spot ? 'spot' : 'ordinary';
      // The room of one that takes no more work is not among what is to spare.
      const cost = m.takesWork ? size : m.spot ? 0 : used;
      if (cost > spare[kind]) continue;
      if (!m.spot) {
        const others = (freeIn.get(m.zone) ?? 0) - (m.takesWork ? m.free.gpus : 0);
        const partitionId = input.partitioner.partitionOf(m.name, m.zone);
        if (busy.has(partitionId) || used > others) continue;
        busy.add(partitionId);
        freeIn.set(m.zone, others - used);
      }
      spare[kind] -= cost;
      consolidating.set(m.name, since);
      drain.add(m.name);
    }
    this.#since = consolidating;
  }
}
