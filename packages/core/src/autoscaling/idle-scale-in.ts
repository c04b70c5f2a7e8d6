// Drains idle machines, and returns them once their owners have confirmed the drain.
import type { MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import type { MachineStatus } from '../scheduling/partition-status';
import { unitPrice } from './machine-option';
import { machineUse } from './machine-use';
import { freeServiceGpus } from './service-capacity';

/** An idle machine is kept for at least this many boot times. */
const IDLE_BOOTS = 0.5;

/**
 * An idle machine is kept for at least this many heartbeat intervals: a machine with a very short boot time would
 * otherwise be returned before its first task is assigned, and rented again.
 */
const MIN_IDLE_INTERVALS = 5;

/** Input of the choice of idle machines. */
export interface IdleScaleInInput {
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly machines: Iterable<MachineStatus>;
  /** Whether the machine was returned; an owner's status may still contain it. */
  readonly isReturned: (name: string) => boolean;
  /** Whether the machine must not be drained, or is returned for another reason. */
  readonly isExempt: (name: string) => boolean;
  /** Whether the machine is already being drained, or is drained for another reason. */
  readonly isDraining: (name: string) => boolean;
  /** Whether further idle machines may be drained. */
  readonly mayDrainMore: boolean;
  /** GPUs of ordinary machines that are kept available for services. */
  readonly headroomGpus: number;
}

/** The names of the idle machines to drain and to return. */
export interface IdleScaleIn {
  readonly drain: readonly string[];
  readonly scaleIn: readonly string[];
  /** GPUs of ordinary machines that remain available to services beyond the headroom. */
  readonly spareGpus: number;
}

/**
 * Chooses machines that have been idle for long enough, the most expensive first, as long as the headroom is kept
 * without them.
 */
export function planIdleScaleIn(input: IdleScaleInInput): IdleScaleIn {
  const present = [...input.machines].filter(
    ({ type, evictionNotice, name }) => input.types.has(type) && !evictionNotice && !input.isReturned(name),
  );
  let ordinaryGpus = freeServiceGpus(present);
  const drain: string[] = [];
  const scaleIn: string[] = [];
  for (const machine of idleMachines(present, input.types)) {
    if (input.isExempt(machine.name)) continue;
    const { gpus } = input.types.get(machine.type)!;
    const isSpare = machine.spot || ordinaryGpus - gpus >= input.headroomGpus;
    const mayStart = isIdleLongEnough(machine, input) && isSpare && input.mayDrainMore;
    if (!input.isDraining(machine.name) && !mayStart) continue;
    if (!machine.spot && machine.takesWork) ordinaryGpus -= gpus;
    drain.push(machine.name);
    // The owner has confirmed that the machine is empty and that it starts no more tasks there.
    if (machine.draining) scaleIn.push(machine.name);
  }
  return { drain, scaleIn, spareGpus: ordinaryGpus - input.headroomGpus };
}

/** The idle machines, the most expensive first; among equal prices, the one that has been idle longest first. */
function idleMachines(
  machines: readonly MachineStatus[],
  types: ReadonlyMap<string, MachineType>,
): readonly MachineStatus[] {
  const priceOf = ({ type, spot }: MachineStatus): number => unitPrice(types.get(type)!, spot);
  return machines
    .filter((machine) => machineUse(machine) === 'idle')
    .sort((a, b) => priceOf(b) - priceOf(a) || b.emptyMs - a.emptyMs);
}

function isIdleLongEnough({ type, emptyMs }: MachineStatus, { clusterConfig, types }: IdleScaleInInput): boolean {
  const minIdleMs = clusterConfig.heartbeatIntervalMs * MIN_IDLE_INTERVALS;
  return emptyMs > Math.max(bootMsOf(types.get(type)) * IDLE_BOOTS, minIdleMs);
}
