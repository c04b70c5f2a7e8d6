// Chooses which machine to rent, with one cost function for waiting tasks, spare capacity and replacements of suspect
// machines.
import { isRentable, type MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import { allowsType } from '../cluster/placement-constraints';
import { capacityOf, countFitting, type Resources, subtractResources } from '../cluster/resources';
import { fetchMs } from '../scheduling/start-time';
import type { MachineOption } from './machine-option';
import type { ScaleOutDemand } from './scale-out-demand';

/** The cost of an option and its components. */
export interface ScaleOutCost {
  readonly option: MachineOption;
  /** Time until a task could run there, in milliseconds: boot and image fetch. */
  readonly startMs: number;
  /** Ratio of its price per hour to the least price per hour for the waiting tasks that it would hold. */
  readonly costRatio: number;
  /** The cost ratio weighted by the time to start; the option with the lowest cost is chosen. */
  readonly cost: number;
}

/** The option chosen for a demand, and the next best one. */
export interface ScaleOutChoice {
  readonly chosen: ScaleOutCost;
  /** The best option of another type or kind; null if there is none. */
  readonly nextBest: ScaleOutCost | null;
}

/** Input of a choice. */
export interface ScaleOutContext {
  readonly clusterConfig: ClusterConfig;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** Number of machines by zone, including those planned for this scale-out. */
  readonly machineCountByZone: ReadonlyMap<string, number>;
  /** The demand that needs a machine, followed by other demands that could share the machine. */
  readonly demands: readonly ScaleOutDemand[];
  /** The options that may be rented. */
  readonly options: readonly MachineOption[];
  /** Whether the cloud has recently refused the option, so that it may still lack capacity for it. */
  readonly wasRefused: (option: MachineOption) => boolean;
}

/** Weight of the time until a task starts: it costs rent, and it delays the task. */
const START_WEIGHT = 2;

/** Expected run time of a service in worker leases; its job specification has no estimate. */
const SERVICE_LEASES = 10;

/** Chooses the option with the lowest cost for the first demand; null if no option may be rented. */
export function chooseMachineOption(context: ScaleOutContext): ScaleOutChoice | null {
  const costByType = new Map<MachineType, TypeCost>();
  const costs = context.options.map((option) => {
    const typeCost = costByType.get(option.type) ?? typeCostOf(context, option.type);
    costByType.set(option.type, typeCost);
    return costOf(context, option, typeCost);
  });
  costs.sort((a, b) => a.cost - b.cost || compareOptions(context, a.option, b.option));
  const [chosen] = costs;
  if (chosen === undefined) return null;
  const isOtherKind = ({ option: { type, spot } }: ScaleOutCost): boolean =>
    type !== chosen.option.type || spot !== chosen.option.spot;
  return { chosen, nextBest: costs.find(isOtherKind) ?? null };
}

/** The part of the cost that all options of one type share. */
interface TypeCost {
  readonly startMs: number;
  /** Least price per hour, over all types, for the tasks that would share the machine. */
  readonly referencePrice: number;
}

function typeCostOf({ types, demands }: ScaleOutContext, type: MachineType): TypeCost {
  const [first] = demands;
  if (first === undefined) return { startMs: bootMsOf(type), referencePrice: 0 };
  let remaining: Resources = capacityOf(type);
  let referencePrice = 0;
  for (const demand of demands) {
    if (demand.spot !== first.spot || !allowsType(demand, type.name)) continue;
    const count = Math.min(demand.count, countFitting(demand.need, remaining));
    if (count <= 0) continue;
    referencePrice += count * leastPrice(demand, types);
    remaining = subtractResources(remaining, demand.need, count);
    if (remaining.cpus <= 0 || remaining.gpus <= 0 || remaining.memoryGb <= 0) break;
  }
  return { startMs: bootMsOf(type) + fetchMs(first.imageGb, false, type), referencePrice };
}

function costOf(context: ScaleOutContext, option: MachineOption, { startMs, referencePrice }: TypeCost): ScaleOutCost {
  const { clusterConfig, demands } = context;
  const price = option.spot ? option.type.spotPrice : option.type.price;
  const costRatio = referencePrice > 0 ? price / referencePrice : price;
  const runMs = demands[0]?.runMs ?? 0;
  const expectedRunMs = runMs > 0 ? runMs : clusterConfig.workerLeaseMs * SERVICE_LEASES;
  const useMs = Math.max(clusterConfig.heartbeatIntervalMs, expectedRunMs);
  const startFactor = 1 + (START_WEIGHT * startMs) / useMs;
  return { option, startMs, costRatio, cost: costRatio * startFactor };
}

/** The least price per hour for one task on any type and kind that it may run on; 0 if it may run on none. */
function leastPrice(demand: ScaleOutDemand, types: ReadonlyMap<string, MachineType>): number {
  let least = Infinity;
  for (const type of types.values()) {
    const count = countFitting(demand.need, capacityOf(type));
    if (count <= 0 || !isRentable(type) || !allowsType(demand, type.name)) continue;
    const price = demand.spot ? Math.min(type.price, type.spotPrice) : type.price;
    least = Math.min(least, price / count);
  }
  return least === Infinity ? 0 : least;
}

/**
 * Orders options of equal cost, independently of their order in the input: options that were not recently refused
 * first, then by the number of machines in the zone, then by the order of the zones in the settings.
 */
function compareOptions(context: ScaleOutContext, a: MachineOption, b: MachineOption): number {
  const { clusterConfig, machineCountByZone, wasRefused } = context;
  if (wasRefused(a) !== wasRefused(b)) return Number(wasRefused(a)) - Number(wasRefused(b));
  const machineCount = ({ zone }: MachineOption): number => machineCountByZone.get(zone) ?? 0;
  if (machineCount(a) !== machineCount(b)) return machineCount(a) - machineCount(b);
  if (a.zone !== b.zone) return clusterConfig.zones.indexOf(a.zone) - clusterConfig.zones.indexOf(b.zone);
  if (a.spot !== b.spot) return Number(a.spot) - Number(b.spot);
  return a.type.name < b.type.name ? -1 : 1;
}
