// Consolidation: which machines that are nearly empty are emptied, because their resources can be spared.
import type { MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import type { Partitioner } from '../cluster/partitioner';
import type { MachineStatus } from '../scheduling/partition-status';
import { ConsolidationBudget, type ConsolidationCandidate } from './consolidation-budget';
import { unitPrice } from './machine-option';
import { isSuspect } from './machine-silence';
import { machineUse } from './machine-use';
import { BATCH_PRIORITY } from './service-capacity';

/** So many boot times a machine has to become empty. */
const MAX_CONSOLIDATION_BOOTS = 2;

/** A machine that could not be emptied is tried again after so many times as long as it had, counted from the start. */
const RETRY_FACTOR = 4;

/** GPUs for coming batch work that are kept free on spot machines, as a share of those in use there. */
const SPOT_SPARE = 0.25;

/** What the choice of machines to empty depends on. */
export interface ConsolidationInput {
  readonly now: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly partitioner: Partitioner;
  /** Names of machines that are not to be emptied. */
  readonly pinned: ReadonlySet<string> | undefined;
  readonly machines: Iterable<MachineStatus>;
  /** Names of the machines that are being drained already. */
  readonly draining: ReadonlySet<string>;
  /** GPUs that ordinary machines have for services beyond the headroom. */
  readonly spareOrdinaryGpus: number;
}

/** What is free and used on the machines that are well. */
interface Survey {
  readonly candidates: ConsolidationCandidate[];
  readonly freeOrdinaryGpusByZone: Map<string, number>;
  readonly spot: { freeGpus: number; usedGpus: number };
}

/** Chooses the machines to be emptied, review after review. */
export class Consolidator {
  /** By name of each machine that is being emptied, or could not be lately: when that began. */
  #startedAtByMachine: ReadonlyMap<string, number> = new Map();

  constructor(readonly clusterConfig: ClusterConfig) {}

  /**
   * The names of machines that are to get no more work since they are nearly empty and can be spared. Batch work on
   * spot machines ends soon; replicas last for minutes, so the owner moves them to where they are up again at once,
   * if it can.
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
  // Replicas alone have to be moved off an ordinary machine; off a spot machine, nothing is.
  const using = machine.spot ? machine.byPriority : machine.byPriority.slice(0, BATCH_PRIORITY);
  return {
    machine,
    usedGpus: using.reduce((sum, { gpus }) => sum + gpus, 0),
    totalGpus: type?.gpus ?? 0,
    price: type === undefined ? 0 : unitPrice(type, machine.spot),
  };
}

function countMachine({ spot, freeOrdinaryGpusByZone }: Survey, { machine, usedGpus }: ConsolidationCandidate): void {
  const { zone, free, takesWork } = machine;
  if (machine.spot) {
    spot.usedGpus += usedGpus;
    if (takesWork) spot.freeGpus += free.gpus;
  } else if (takesWork) freeOrdinaryGpusByZone.set(zone, (freeOrdinaryGpusByZone.get(zone) ?? 0) + free.gpus);
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
 * What is being emptied goes on being emptied; then the most expensive, and of those that cost the same the emptiest.
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
