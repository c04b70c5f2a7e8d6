// What one review of the fleet rents: for what runs on suspect machines, for waiting tasks, and for spare room.
import { isRentable, type JobSpec, type MachineType, type RentRequest } from '@gingerlock/wire';
import type { UnschedulableDemand } from '../scheduling/assignment-types';
import type { MachineStatus } from '../scheduling/partition-status';
import {
  type Resources,
  fitsIn,
  NO_RESOURCES,
  addResources,
  countFitting,
  subtractResources,
} from '../cluster/resources';
import { type ClusterConfig } from '../cluster/cluster-config';
import { allowsMachine } from '../cluster/placement-constraints';
import {
  capacityOf,
  chooseMachineOption,
  type ScaleOutChoice,
  type ScaleOutCost,
  type ScaleOutDemand,
  type MachineOption,
} from './scale-out-choice';

/** Why a machine is rented, for the log: the figures of what was chosen and of the next best. */
export interface ScaleOutReason {
  readonly for: 'suspect machine' | 'waiting task' | 'spare room';
  readonly chosen: ScaleOutFigures;
  readonly nextBest: (ScaleOutFigures & { readonly type: string; readonly spot: boolean }) | null;
}

interface ScaleOutFigures {
  readonly startMs: number;
  readonly costRatio: number;
  readonly cost: number;
}

export interface PlannedScaleOut extends RentRequest {
  readonly reason: ScaleOutReason;
}

export interface ScaleOutPlanInput {
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Machines that are on their way. */
  readonly booting: readonly { readonly type: string; readonly zone: string; readonly spot: boolean }[];
  /** Idle machines that were to be given back: their room takes no boot, so they are kept before others are rented. */
  readonly drainingIdleMachines: readonly MachineStatus[];
  /** All machines that are rented. */
  readonly known: Iterable<{ readonly zone: string; readonly spot: boolean }>;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
  /** Whether it is thought that machines can be had there, and reached. */
  readonly isOpen: (option: MachineOption) => boolean;
  readonly isSilent: (zone: string) => boolean;
  /** Whether the cloud had no more of it lately. */
  readonly wasRefused: (option: MachineOption) => boolean;
  /** Whether spot machines alone are rented for the job. */
  readonly onlySpot: (spec: JobSpec) => boolean;
}

/** A machine that is on its way, or to be rented. */
interface PlannedMachine {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  free: Resources;
  /** Null: it is rented already. */
  readonly reason: ScaleOutReason | null;
}

/** Most machines that one request may ask for, says the protocol. */
const MACHINES_PER_REQUEST = 50;

export class ScaleOutPlan {
  readonly #plannedMachines: PlannedMachine[] = [];
  readonly #machinesIn = new Map<string, number>();
  readonly #count = { ordinary: 0, spot: 0 };
  readonly #options: readonly MachineOption[];
  readonly #drainingIdleMachines: Set<MachineStatus>;
  readonly #kept = new Set<string>();

  constructor(readonly input: ScaleOutPlanInput) {
    for (const { type: name, zone, spot } of input.booting) {
      const type = input.types.get(name);
      if (type !== undefined) this.#plannedMachines.push({ type, zone, spot, free: capacityOf(type), reason: null });
    }
    for (const { zone, spot } of input.known) this.#countIn(zone, spot);
    this.#drainingIdleMachines = new Set(input.drainingIdleMachines);
    const rentable = [...input.types.values()].filter((type) => isRentable(type));
    this.#options = rentable.flatMap((type) =>
      type.zones.flatMap((zone) =>
        [false, true].map((spot) => ({ type, zone, spot })).filter((option) => input.isOpen(option)),
      ),
    );
  }

  /** The machines, by name, that were to be given back and are of use after all. */
  get kept(): ReadonlySet<string> {
    return this.#kept;
  }

  /** Room for all that runs on a machine that will most likely be gone. */
  replace(machine: MachineStatus): void {
    const need = machine.byPriority.reduce((sum, a) => addResources(sum, a), NO_RESOURCES);
    if (need.cpus <= 0 && need.gpus <= 0) return;
    const { isSilent } = this.input;
    const planned = this.#plannedMachines.find(
      (b) => b.spot === machine.spot && !isSilent(b.zone) && fitsIn(need, b.free),
    );
    if (planned === undefined) this.#scaleOutInShares(need, machine.spot);
    else planned.free = subtractResources(planned.free, need);
  }

  /** Of which jobs the tasks are is not known here: a type that holds less than all of them takes a share. */
  #scaleOutInShares(need: Resources, spot: boolean): void {
    let left = need;
    while (left.cpus > 0 || left.gpus > 0) {
      const demands = [unitsOf(left, spot)];
      const planned = this.#scaleOut('suspect machine', demands, (option) => option.spot === spot);
      const share = planned === null ? NO_RESOURCES : least(left, planned.free);
      if (planned === null || (share.cpus <= 0 && share.gpus <= 0)) return;
      planned.free = subtractResources(planned.free, share);
      left = subtractResources(left, share);
    }
  }

  /** Machines for tasks that have no room, the first the most urgent. `spareGpus`: what spare room is short of. */
  serve(unschedulable: readonly UnschedulableDemand[], spareGpus: number): void {
    const spare = spareDemand(spareGpus);
    const demands = unschedulable.map(({ job: { spec }, count }) => demandOf(spec, count));
    unschedulable.forEach((entry, at) => {
      const following = (): ScaleOutDemand[] => [...demands.slice(at + 1), spare];
      for (let left = entry.count; left > 0; left--) {
        if (!this.#serveOne(entry, { ...demands[at]!, count: left }, following)) return;
      }
    });
  }

  /** Finds or rents room for one task; false: none can be had. */
  #serveOne(
    { job: { spec }, zones }: UnschedulableDemand,
    demand: ScaleOutDemand,
    following: () => readonly ScaleOutDemand[],
  ): boolean {
    const onlySpot = this.input.onlySpot(spec);
    const inZones = (zone: string): boolean => zones === null || zones.includes(zone);
    const ready = this.#plannedMachines.find(
      (b) =>
        (b.spot || !onlySpot) &&
        inZones(b.zone) &&
        allowsMachine(spec, b.type.name, b.zone, b.spot) &&
        fitsIn(spec, b.free),
    );
    const allowed = ({ type, zone, spot }: MachineOption): boolean =>
      fitsIn(spec, type) && inZones(zone) && allowsMachine(spec, type.name, zone, spot) && (spot || !onlySpot);
    const planned =
      ready ?? this.#keep(demand, allowed) ?? this.#scaleOut('waiting task', [demand, ...following()], allowed);
    if (planned === null) return false;
    planned.free = subtractResources(planned.free, spec);
    return true;
  }

  /** Ordinary machines until so many GPUs are free on them, beyond those that are free already. */
  keepSpare(freeGpus: number, targetGpus: number): void {
    let free = this.#plannedMachines.reduce((sum, planned) => sum + (planned.spot ? 0 : planned.free.gpus), freeGpus);
    const allowed = (option: MachineOption): boolean => !option.spot;
    while (free < targetGpus) {
      const demand = spareDemand(targetGpus - free);
      const planned = this.#keep(demand, allowed) ?? this.#scaleOut('spare room', [demand], allowed);
      if (planned === null || planned.type.gpus <= 0) return;
      free += planned.type.gpus;
    }
  }

  /** One request for each type, zone and kind; `nameOf` gives each a name of its own. */
  requests(nameOf: () => string): PlannedScaleOut[] {
    const byPlace = new Map<string, PlannedScaleOut>();
    for (const { type, zone, spot, reason } of this.#plannedMachines) {
      if (reason === null) continue;
      const key = machineOptionKey(type.name, zone, spot);
      const count = Math.min(MACHINES_PER_REQUEST, (byPlace.get(key)?.count ?? 0) + 1);
      const first = byPlace.get(key) ?? { request: '', type: type.name, zone, spot, count, reason };
      byPlace.set(key, { ...first, count });
    }
    return [...byPlace.values()].map((scaleOut) => ({ ...scaleOut, request: nameOf() }));
  }

  /** Keeps a machine that was to be given back; null: none is of use. */
  #keep({ need }: ScaleOutDemand, allowed: (option: MachineOption) => boolean): PlannedMachine | null {
    for (const machine of this.#drainingIdleMachines) {
      const type = this.input.types.get(machine.type);
      if (type === undefined || countFitting(need, type) === 0 || !allowed({ ...machine, type })) continue;
      this.#drainingIdleMachines.delete(machine);
      this.#kept.add(machine.name);
      const planned = { type, zone: machine.zone, spot: machine.spot, free: capacityOf(type), reason: null };
      this.#plannedMachines.push(planned);
      return planned;
    }
    return null;
  }

  #scaleOut(
    reason: ScaleOutReason['for'],
    demands: readonly ScaleOutDemand[],
    allowed: (option: MachineOption) => boolean,
  ): PlannedMachine | null {
    const { clusterConfig, types, wasRefused } = this.input;
    const isOfUse = ({ type }: MachineOption): boolean =>
      demands.slice(0, 1).every(({ need }) => countFitting(need, type) > 0);
    const options = this.#options.filter(
      (option) => isOfUse(option) && allowed(option) && this.#isBelowLimit(option.spot),
    );
    const choice = chooseMachineOption({
      clusterConfig,
      types,
      machinesIn: this.#machinesIn,
      demands,
      options,
      wasRefused,
    });
    if (choice === null) return null;
    const { type, zone, spot } = choice.chosen.option;
    this.#countIn(zone, spot);
    const planned = { type, zone, spot, free: capacityOf(type), reason: reasonOf(reason, choice) };
    this.#plannedMachines.push(planned);
    return planned;
  }

  #isBelowLimit(spot: boolean): boolean {
    const { maxOrdinaryMachines, maxSpotMachines } = this.input;
    return spot ? this.#count.spot < maxSpotMachines : this.#count.ordinary < maxOrdinaryMachines;
  }

  #countIn(zone: string, spot: boolean): void {
    this.#machinesIn.set(zone, (this.#machinesIn.get(zone) ?? 0) + 1);
    this.#count[spot ? 'spot' : 'ordinary']++;
  }
}

/** Names a type, zone and kind together. */
export function machineOptionKey(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}

function demandOf(spec: JobSpec, count: number): ScaleOutDemand {
  const { imageGb, types, spot, estimateS } = spec;
  return { need: spec, count, imageGb, types, spot, runMs: estimateS * 1000 };
}

/** Room for services that are to come: it is counted in GPUs. */
function spareDemand(gpus: number): ScaleOutDemand {
  return unitsOf({ ...NO_RESOURCES, gpus: Math.max(0, gpus) }, false);
}

/** Room that may be had in any pieces: one GPU each or, where none is needed, one CPU. */
function unitsOf({ cpus, gpus }: Resources, spot: boolean): ScaleOutDemand {
  const need = gpus > 0 ? { ...NO_RESOURCES, gpus: 1 } : { ...NO_RESOURCES, cpus: 1 };
  return { need, count: Math.ceil(gpus > 0 ? gpus : cpus), imageGb: 0, types: null, spot, runMs: 0 };
}

function least(a: Resources, b: Resources): Resources {
  return {
    cpus: Math.min(a.cpus, b.cpus),
    gpus: Math.min(a.gpus, b.gpus),
    memoryGb: Math.min(a.memoryGb, b.memoryGb),
  };
}

function reasonOf(need: ScaleOutReason['for'], { chosen, nextBest }: ScaleOutChoice): ScaleOutReason {
  const next = nextBest === null ? null : { type: nextBest.option.type.name, spot: nextBest.option.spot };
  return {
    for: need,
    chosen: figuresOf(chosen),
    nextBest: nextBest === null ? null : { ...next!, ...figuresOf(nextBest) },
  };
}

/** Rounded, for a line of the log. */
function figuresOf({ startMs, costRatio, cost }: ScaleOutCost): ScaleOutFigures {
  const round = (n: number): number => Math.round(n * 100) / 100;
  return { startMs: Math.round(startMs), costRatio: round(costRatio), cost: round(cost) };
}
