// Which idle machines are drained, and returned once their owners have confirmed that.
import type { MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import type { MachineStatus } from '../scheduling/partition-status';
import { unitPrice } from './machine-option';
import { machineUse } from './machine-use';
import { freeServiceGpus } from './service-capacity';

/**
 * An idle machine is kept for this many boot times, and always for a few heartbeat intervals: where machines boot at
 * once, it would otherwise be returned before its first task could be assigned to it, and rented again.
 */
const IDLE_BOOTS = 0.5;

/** The heartbeat intervals for which an idle machine is always kept. */
const MIN_IDLE_INTERVALS = 5;

/** What the choice of idle machines depends on. */
export interface IdleScaleInInput {
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly machines: Iterable<MachineStatus>;
  /** Whether the machine was returned: an owner may still show it. */
  readonly isReturned: (name: string) => boolean;
  /** Whether the machine is not to be drained, or to be returned for another reason. */
  readonly isExempt: (name: string) => boolean;
  /** Whether the machine was being drained already, or is to be. */
  readonly isDraining: (name: string) => boolean;
  /** Whether more idle machines may be drained than are already. */
  readonly mayDrainMore: boolean;
  /** GPUs that ordinary machines should have free for services. */
  readonly headroomGpus: number;
}

/** The idle machines to drain and to return, by name. */
export interface IdleScaleIn {
  readonly drain: readonly string[];
  readonly scaleIn: readonly string[];
  /** GPUs that ordinary machines then have for services beyond the headroom. */
  readonly spareGpus: number;
}

/**
 * Chooses machines that have been idle for about a boot time, the most expensive first, if enough is free without
 * them.
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
    const mayStart = hasIdledLong(machine, input) && isSpare && input.mayDrainMore;
    if (!input.isDraining(machine.name) && !mayStart) continue;
    if (!machine.spot && machine.takesWork) ordinaryGpus -= gpus;
    drain.push(machine.name);
    // Its owner has confirmed that it starts nothing there any more and that nothing is there.
    if (machine.draining) scaleIn.push(machine.name);
  }
  return { drain, scaleIn, spareGpus: ordinaryGpus - input.headroomGpus };
}

/** The idle machines, the most expensive first, and of those that cost the same the one that has been idle longest. */
function idleMachines(
  machines: readonly MachineStatus[],
  types: ReadonlyMap<string, MachineType>,
): readonly MachineStatus[] {
  const priceOf = ({ type, spot }: MachineStatus): number => unitPrice(types.get(type)!, spot);
  return machines
    .filter((machine) => machineUse(machine) === 'idle')
    .sort((a, b) => priceOf(b) - priceOf(a) || b.emptyMs - a.emptyMs);
}

function hasIdledLong({ type, emptyMs }: MachineStatus, { clusterConfig, types }: IdleScaleInInput): boolean {
  const minIdleMs = clusterConfig.heartbeatIntervalMs * MIN_IDLE_INTERVALS;
  return emptyMs > Math.max(bootMsOf(types.get(type)) * IDLE_BOOTS, minIdleMs);
}
