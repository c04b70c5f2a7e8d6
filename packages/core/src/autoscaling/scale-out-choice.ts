// Which machine to rent: the one objective for waiting tasks, for spare capacity and for what runs on suspect machines.
import { isRentable, type MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import { allowsType } from '../cluster/placement-constraints';
import { countFitting, type Resources, subtractResources } from '../cluster/resources';
import { fetchMs } from '../scheduling/start-time';
import { capacityOf, type MachineOption } from './machine-option';
import type { ScaleOutDemand } from './scale-out-demand';

/** What an option costs, and of what that is made. */
export interface ScaleOutCost {
  readonly option: MachineOption;
  /** How soon a task could run there, in milliseconds: boot and fetch of its image. */
  readonly startMs: number;
  /** Its price per hour against the least that any type asks for the waiting tasks that it would hold. */
  readonly costRatio: number;
  /** The cost ratio weighted by the time to start. The least is chosen. */
  readonly cost: number;
}

/** The option that serves a demand best, and what it was compared with. */
export interface ScaleOutChoice {
  readonly chosen: ScaleOutCost;
  /** The best option of another type or kind; null: there is none. */
  readonly nextBest: ScaleOutCost | null;
}

/** What a choice depends on. */
export interface ScaleOutContext {
  readonly clusterConfig: ClusterConfig;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** By zone: how many machines it has, those to be rented now included. */
  readonly machinesIn: ReadonlyMap<string, number>;
  /** The tasks to be served, and after them what else waits: it could share the machine. */
  readonly demands: readonly ScaleOutDemand[];
  /** What may be rented. */
  readonly options: readonly MachineOption[];
  /** Whether the cloud lately had no more of the option: it may be full still. */
  readonly wasRefused: (option: MachineOption) => boolean;
}

/** The time until a task starts is paid for, and it is waited for. */
const START_WEIGHT = 2;

/** A service is expected to run for so many worker leases: its job does not say how long it does. */
const SERVICE_LEASES = 10;

/** The option that serves the first demand best; null: nothing may be rented. */
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

/** What the options of one type have in common. */
interface TypeCost {
  readonly startMs: number;
  /** What the tasks that would share the machine are worth per hour, at the least price for each. */
  readonly worth: number;
}

function typeCostOf({ types, demands }: ScaleOutContext, type: MachineType): TypeCost {
  const [first] = demands;
  if (first === undefined) return { startMs: bootMsOf(type), worth: 0 };
  let remaining: Resources = capacityOf(type);
  let worth = 0;
  for (const demand of demands) {
    if (demand.spot !== first.spot || !allowsType(demand, type.name)) continue;
    const count = Math.min(demand.count, countFitting(demand.need, remaining));
    if (count <= 0) continue;
    worth += count * leastPrice(demand, types);
    remaining = subtractResources(remaining, demand.need, count);
    if (remaining.cpus <= 0 || remaining.gpus <= 0 || remaining.memoryGb <= 0) break;
  }
  return { startMs: bootMsOf(type) + fetchMs(first.imageGb, false, type), worth };
}

function costOf(context: ScaleOutContext, option: MachineOption, { startMs, worth }: TypeCost): ScaleOutCost {
  const { clusterConfig, demands } = context;
  const price = option.spot ? option.type.spotPrice : option.type.price;
  const costRatio = worth > 0 ? price / worth : price;
  const runMs = demands[0]?.runMs ?? 0;
  const expectedRunMs = runMs > 0 ? runMs : clusterConfig.workerLeaseMs * SERVICE_LEASES;
  const useMs = Math.max(clusterConfig.heartbeatIntervalMs, expectedRunMs);
  const slowness = 1 + (START_WEIGHT * startMs) / useMs;
  return { option, startMs, costRatio, cost: costRatio * slowness };
}

/** The least price per hour of what one task needs, on any type and kind that it may run on; 0: it may run on none. */
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
 * The order of options that cost the same, whatever order they come in: those that were not refused lately first,
 * then the zone with the fewest machines, then as the settings list the zones.
 */
function compareOptions(context: ScaleOutContext, a: MachineOption, b: MachineOption): number {
  const { clusterConfig, machinesIn, wasRefused } = context;
  if (wasRefused(a) !== wasRefused(b)) return Number(wasRefused(a)) - Number(wasRefused(b));
  const machineCount = ({ zone }: MachineOption): number => machinesIn.get(zone) ?? 0;
  if (machineCount(a) !== machineCount(b)) return machineCount(a) - machineCount(b);
  if (a.zone !== b.zone) return clusterConfig.zones.indexOf(a.zone) - clusterConfig.zones.indexOf(b.zone);
  if (a.spot !== b.spot) return Number(a.spot) - Number(b.spot);
  return a.type.name < b.type.name ? -1 : 1;
}
