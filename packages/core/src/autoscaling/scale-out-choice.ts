// Which machine to rent: the one objective for waiting tasks, for spare room and for what runs on suspect machines.
import { isRentable, type MachineType } from '@gingerlock/wire';
import { type Resources, countFitting, subtractResources } from '../cluster/resources';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type ClusterConfig } from '../cluster/cluster-config';
import { fetchMs } from '../scheduling/start-time';

/** A kind of machine in one zone that could be rented. */
export interface MachineOption {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Tasks, all alike, that wait for room. */
export interface ScaleOutDemand {
  readonly need: Resources;
  readonly count: number;
  readonly imageGb: number;
  /** Machine types that they may run on; null: any. */
  readonly types: readonly string[] | null;
  /** Whether they may run on spot machines. */
  readonly spot: boolean;
  /** How long each is expected to run, in milliseconds; 0: not known, or for as long as its service does. */
  readonly runMs: number;
}

/** What an option costs, and of what that is made. */
export interface ScaleOutCost {
  readonly option: MachineOption;
  /** How soon a task could run there: boot and fetch of its image. */
  readonly startMs: number;
  /** Price per hour of what the waiting tasks would use, against the least that any type asks for the same room. */
  readonly costRatio: number;
  /** Dearness, weighted by the time to start. The least is chosen. */
  readonly cost: number;
}

export interface ScaleOutChoice {
  readonly chosen: ScaleOutCost;
  /** The best option of another type or kind; null: there is none. */
  readonly nextBest: ScaleOutCost | null;
}

export interface ScaleOutContext {
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Machines that each zone has, those to be rented now included. */
  readonly machinesIn: ReadonlyMap<string, number>;
  /** The tasks to be served, and after them what else waits: it could share the machine. */
  readonly demands: readonly ScaleOutDemand[];
  /** What may be rented. */
  readonly options: readonly MachineOption[];
  /** Whether the cloud had no more of it lately: it may be full still. */
  readonly wasRefused: (option: MachineOption) => boolean;
}

/** The time until a task starts is paid for, and it is waited for. */
const START_WEIGHT = 2;

/** A service is expected to run for so many worker leases: nothing tells how long it does. */
const SERVICE_LEASES = 10;

/** The option that serves the first demand best; null: nothing may be rented. */
export function chooseMachineOption(situation: ScaleOutContext): ScaleOutChoice | null {
  const byType = new Map<MachineType, TypeCost>();
  const costs = situation.options.map((option) => {
    const ofType = byType.get(option.type) ?? typeCost(situation, option.type);
    byType.set(option.type, ofType);
    return costOf(situation, option, ofType);
  });
  const order = costs.sort((a, b) => a.cost - b.cost || compareOptions(situation, a.option, b.option));
  const [chosen] = order;
  if (chosen === undefined) return null;
  const isOther = ({ option: { type, spot } }: ScaleOutCost): boolean =>
    type !== chosen.option.type || spot !== chosen.option.spot;
  return { chosen, nextBest: order.find(isOther) ?? null };
}

/** What the options of one type have in common. */
interface TypeCost {
  readonly startMs: number;
  /** What the tasks that would share the machine are worth per hour, at the least price for each. */
  readonly worth: number;
}

function typeCost({ types, demands }: ScaleOutContext, type: MachineType): TypeCost {
  const [first] = demands;
  if (first === undefined) return { startMs: bootMsOf(type), worth: 0 };
  let left: Resources = capacityOf(type);
  let worth = 0;
  for (const demand of demands) {
    if (demand.spot !== first.spot || !allowsType(demand, type)) continue;
    const count = Math.min(demand.count, countFitting(demand.need, left));
    if (count <= 0) continue;
    worth += count * leastPrice(demand, types);
    left = subtractResources(left, demand.need, count);
    if (left.cpus <= 0 || left.gpus <= 0 || left.memoryGb <= 0) break;
  }
  return { startMs: bootMsOf(type) + fetchMs(first.imageGb, false, type), worth };
}

function costOf(situation: ScaleOutContext, option: MachineOption, { startMs, worth }: TypeCost): ScaleOutCost {
  const { clusterConfig, demands } = situation;
  const price = option.spot ? option.type.spotPrice : option.type.price;
  const costRatio = worth > 0 ? price / worth : price;
  const runMs = demands[0]?.runMs ?? 0;
  const useMs = Math.max(
    clusterConfig.heartbeatIntervalMs,
    runMs > 0 ? runMs : clusterConfig.workerLeaseMs * SERVICE_LEASES,
  );
  const slowness = 1 + (START_WEIGHT * startMs) / useMs;
  return { option, startMs, costRatio, cost: costRatio * slowness };
}

/** The least price per hour of the room for one task, on any type and kind that it may run on. */
function leastPrice(demand: ScaleOutDemand, types: ReadonlyMap<string, MachineType>): number {
  let least = Infinity;
  for (const type of types.values()) {
    const count = countFitting(demand.need, capacityOf(type));
    if (count <= 0 || !isRentable(type) || !allowsType(demand, type)) continue;
    const price = demand.spot ? Math.min(type.price, type.spotPrice) : type.price;
    least = Math.min(least, price / count);
  }
  return least === Infinity ? 0 : least;
}

function allowsType(demand: ScaleOutDemand, type: MachineType): boolean {
  return demand.types === null || demand.types.includes(type.name);
}

/**
 * The order of options that cost the same, whatever order they come in: those that were not refused lately first, then the
 * zone with the fewest machines, then as the settings list the zones.
 */
function compareOptions(situation: ScaleOutContext, a: MachineOption, b: MachineOption): number {
  const { clusterConfig, machinesIn, wasRefused } = situation;
  if (wasRefused(a) !== wasRefused(b)) return Number(wasRefused(a)) - Number(wasRefused(b));
  const machines = ({ zone }: MachineOption): number => machinesIn.get(zone) ?? 0;
  if (machines(a) !== machines(b)) return machines(a) - machines(b);
  if (a.zone !== b.zone) return clusterConfig.zones.indexOf(a.zone) - clusterConfig.zones.indexOf(b.zone);
  if (a.spot !== b.spot) return Number(a.spot) - Number(b.spot);
  return a.type.name < b.type.name ? -1 : 1;
}

/** Price per hour of a machine's room, by GPU or, of one without any, by CPU: the dearest is the first to be given up. */
export function unitPrice(type: MachineType, spot: boolean): number {
  const units = type.gpus > 0 ? type.gpus : type.cpus;
  return units > 0 ? (spot ? type.spotPrice : type.price) / units : 0;
}

export function capacityOf(type: MachineType): Resources {
  return { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
}
