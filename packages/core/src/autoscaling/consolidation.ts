// Consolidation: drains nearly empty machines whose resources can be spared.
import type { MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus } from '../scheduling/partition-status';
import { ConsolidationBudget, type ConsolidationCandidate } from './consolidation-budget';
import { unitPrice } from './machine-option';
import { isSuspect } from './machine-silence';
import { machineUse } from './machine-use';
import { BATCH_PRIORITY, usableGpus } from './service-capacity';

/** The longest time that the consolidation of a machine may take, in boot times of its type. */
const MAX_CONSOLIDATION_BOOTS = 2;

/** A failed consolidation is retried after this many times its longest duration, counted from its start. */
const RETRY_FACTOR = 4;

/** GPUs kept free on spot machines for new batch work, as a share of the GPUs in use there. */
const SPOT_SPARE = 0.25;

/** Input of the choice of machines to consolidate. */
export interface ConsolidationInput {
  readonly now: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly partitioner: Partitioner;
  /** Names of machines that must not be consolidated. */
  readonly pinned: ReadonlySet<string> | undefined;
  readonly machines: Iterable<MachineStatus>;
  /** Names of the machines that are being drained already. */
  readonly draining: ReadonlySet<string>;
  /** GPUs of ordinary machines that are available to services beyond the headroom. */
  readonly spareOrdinaryGpus: number;
}

/** Free and used GPUs of the healthy machines, and the machines that could be consolidated. */
interface Survey {
  readonly candidates: ConsolidationCandidate[];
  readonly freeOrdinaryGpusByZone: Map<string, number>;
  readonly spot: { freeGpus: number; usedGpus: number };
}

/** Chooses the machines to consolidate in each review. */
export class Consolidator {
  /** When consolidation started, by name of each machine that is being consolidated or where it recently failed. */
  #startedAtByMachine: ReadonlyMap<string, number> = new Map();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /**
   * Returns the names of the nearly empty machines that can be spared and get no more work. Batch tasks on spot
   * machines end soon. Replicas run for minutes, so the owner moves them to machines that can start them quickly, if
   * there are any.
   */
  plan(input: ConsolidationInput): string[] {
    const { now, types, partitioner, draining } = input;
    const { candidates, freeOrdinaryGpusByZone, spot } = this.#survey(input);
    const spareGpus = { ordinary: input.spareOrdinaryGpus, spot: spot.freeGpus - spot.usedGpus * SPOT_SPARE };
    const budget = new ConsolidationBudget(partitioner, spareGpus, freeOrdinaryGpusByZone);
    const startedAtByMachine = new Map<string, number>();
    const drain: string[] = [];
    for (const candidate of candidates.sort((a, b) => compareCandidates(draining, a, b))) {
      const { name, type } = candidate.machine;
      const startedAt = this.#startedAtByMachine.get(name) ?? now;
      const maxMs = bootMsOf(types.get(type)) * MAX_CONSOLIDATION_BOOTS;
      const hasFailed = now - startedAt > maxMs;
      if (hasFailed ? now - startedAt >= maxMs * RETRY_FACTOR : !budget.spend(candidate)) continue;
      startedAtByMachine.set(name, startedAt);
      if (!hasFailed) drain.push(name);
    }
    this.#startedAtByMachine = startedAtByMachine;
    return drain;
  }

  #survey(input: ConsolidationInput): Survey {
    const survey: Survey = { candidates: [], freeOrdinaryGpusByZone: new Map(), spot: { freeGpus: 0, usedGpus: 0 } };
    for (const machine of input.machines) {
      if (machine.evictionNotice || machine.isQuarantined || isSuspect(machine, this.clusterConfig)) continue;
      const candidate = candidateOf(machine, input.types);
      countMachine(survey, candidate);
      if (isNearlyEmpty(candidate, input)) survey.candidates.push(candidate);
    }
    return survey;
  }
}

function candidateOf(machine: MachineStatus, types: ReadonlyMap<string, MachineType>): ConsolidationCandidate {
  const type = types.get(machine.type);
  // Only replicas have to be moved off an ordinary machine; nothing is moved off a spot machine.
  const usage = machine.spot ? machine.byPriority : machine.byPriority.slice(0, BATCH_PRIORITY);
  return {
    machine,
    usedGpus: usage.reduce((sum, { gpus }) => sum + gpus, 0),
    totalGpus: type?.gpus ?? 0,
    price: type === undefined ? 0 : unitPrice(type, machine.spot),
  };
}

function countMachine({ spot, freeOrdinaryGpusByZone }: Survey, { machine, usedGpus }: ConsolidationCandidate): void {
  const { zone, free, takesWork } = machine;
  if (machine.spot) {
    spot.usedGpus += usedGpus;
    if (takesWork) spot.freeGpus += usableGpus(free);
  } else if (takesWork) freeOrdinaryGpusByZone.set(zone, (freeOrdinaryGpusByZone.get(zone) ?? 0) + usableGpus(free));
}

function isNearlyEmpty(
  { machine, usedGpus, totalGpus }: ConsolidationCandidate,
  { pinned, draining }: ConsolidationInput,
): boolean {
  return (
    pinned?.has(machine.name) !== true &&
    machineUse(machine) === 'in use' &&
    usedGpus <= totalGpus / 2 &&
    (machine.takesWork || draining.has(machine.name))
  );
}

/**
 * Orders machines for consolidation: those already being drained, then the most expensive, then those with the fewest
 * GPUs in use.
 */
function compareCandidates(
  draining: ReadonlySet<string>,
  a: ConsolidationCandidate,
  b: ConsolidationCandidate,
): number {
  const order = ({ machine }: ConsolidationCandidate): number => (draining.has(machine.name) ? 0 : 1);
  return (
    order(a) - order(b) || b.price - a.price || a.usedGpus - b.usedGpus || (a.machine.name < b.machine.name ? -1 : 1)
  );
}
