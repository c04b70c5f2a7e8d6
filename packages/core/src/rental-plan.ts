// What one review of the fleet rents: for what runs on suspect machines, for waiting tasks, and for spare room.
import { isRentable, type JobSpec, type MachineType, type RentRequest } from '@gingerlock/wire';
import type { MachineStatus, UnschedulableDemand } from './assignment';
import {
  type Resources,
  type ClusterConfig,
  fitsIn,
  NO_RESOURCES,
  addResources,
  countFitting,
  allowsMachine,
  subtractResources,
} from './facts';
import {
  capacityOf,
  chooseRental,
  type RentalChoice,
  type RentalCost,
  type RentalDemand,
  type RentalOption,
} from './rental-choice';

/** Why a machine is rented, for the log: the figures of what was chosen and of the next best. */
export interface RentalReason {
  readonly for: 'suspect machine' | 'waiting task' | 'spare room';
  readonly chosen: RentalFigures;
  readonly nextBest: (RentalFigures & { readonly type: string; readonly spot: boolean }) | null;
}

interface RentalFigures {
  readonly startMs: number;
  readonly dearness: number;
  readonly cost: number;
}

export interface PlannedRental extends RentRequest {
  readonly reason: RentalReason;
}

export interface RentalPlanInput {
  readonly clusterConfig: ClusterConfig;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Machines that are on their way. */
  readonly booting: readonly { readonly type: string; readonly zone: string; readonly spot: boolean }[];
  /** Idle machines that were to be given back: their room takes no boot, so they are kept before others are rented. */
  readonly leaving: readonly MachineStatus[];
  /** All machines that are rented. */
  readonly known: Iterable<{ readonly zone: string; readonly spot: boolean }>;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
  /** Whether it is thought that machines can be had there, and reached. */
  readonly isOpen: (option: RentalOption) => boolean;
  readonly isSilent: (zone: string) => boolean;
  /** Whether the cloud had no more of it lately. */
  readonly wasRefused: (option: RentalOption) => boolean;
  /** Whether spot machines alone are rented for the job. */
  readonly onlySpot: (spec: JobSpec) => boolean;
}

/** A machine that is on its way, or to be rented. */
interface Bin {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  free: Resources;
  /** Null: it is rented already. */
  readonly reason: RentalReason | null;
}

/** Most machines that one request may ask for, says the protocol. */
const MACHINES_PER_REQUEST = 50;

export class RentalPlan {
  readonly #bins: Bin[] = [];
  readonly #machinesIn = new Map<string, number>();
  readonly #count = { ordinary: 0, spot: 0 };
  readonly #options: readonly RentalOption[];
  readonly #leaving: Set<MachineStatus>;
  readonly #kept = new Set<string>();

  constructor(readonly input: RentalPlanInput) {
    for (const { type: name, zone, spot } of input.booting) {
      const type = input.types.get(name);
      if (type !== undefined) this.#bins.push({ type, zone, spot, free: capacityOf(type), reason: null });
    }
    for (const { zone, spot } of input.known) this.#countIn(zone, spot);
    this.#leaving = new Set(input.leaving);
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
    const bin = this.#bins.find((b) => b.spot === machine.spot && !isSilent(b.zone) && fitsIn(need, b.free));
    if (bin === undefined) this.#rentShares(need, machine.spot);
    else bin.free = subtractResources(bin.free, need);
  }

  /** Of which jobs the tasks are is not known here: a type that holds less than all of them takes a share. */
  #rentShares(need: Resources, spot: boolean): void {
    let left = need;
    while (left.cpus > 0 || left.gpus > 0) {
      const demands = [unitsOf(left, spot)];
      const bin = this.#rent('suspect machine', demands, (option) => option.spot === spot);
      const share = bin === null ? NO_RESOURCES : least(left, bin.free);
      if (bin === null || (share.cpus <= 0 && share.gpus <= 0)) return;
      bin.free = subtractResources(bin.free, share);
      left = subtractResources(left, share);
    }
  }

  /** Machines for tasks that have no room, the first the most urgent. `spareGpus`: what spare room is short of. */
  serve(unschedulable: readonly UnschedulableDemand[], spareGpus: number): void {
    const spare = spareDemand(spareGpus);
    const demands = unschedulable.map(({ job: { spec }, count }) => demandOf(spec, count));
    unschedulable.forEach((entry, at) => {
      const following = (): RentalDemand[] => [...demands.slice(at + 1), spare];
      for (let left = entry.count; left > 0; left--) {
        if (!this.#serveOne(entry, { ...demands[at]!, count: left }, following)) return;
      }
    });
  }

  /** Finds or rents room for one task; false: none can be had. */
  #serveOne(
    { job: { spec }, zones }: UnschedulableDemand,
    demand: RentalDemand,
    following: () => readonly RentalDemand[],
  ): boolean {
    const onlySpot = this.input.onlySpot(spec);
    const inZones = (zone: string): boolean => zones === null || zones.includes(zone);
    const ready = this.#bins.find(
      (b) =>
        (b.spot || !onlySpot) &&
        inZones(b.zone) &&
        allowsMachine(spec, b.type.name, b.zone, b.spot) &&
        fitsIn(spec, b.free),
    );
    const allowed = ({ type, zone, spot }: RentalOption): boolean =>
      fitsIn(spec, type) && inZones(zone) && allowsMachine(spec, type.name, zone, spot) && (spot || !onlySpot);
    const bin = ready ?? this.#keep(demand, allowed) ?? this.#rent('waiting task', [demand, ...following()], allowed);
    if (bin === null) return false;
    bin.free = subtractResources(bin.free, spec);
    return true;
  }

  /** Ordinary machines until so many GPUs are free on them, beyond those that are free already. */
  keepSpare(freeGpus: number, targetGpus: number): void {
    let free = this.#bins.reduce((sum, bin) => sum + (bin.spot ? 0 : bin.free.gpus), freeGpus);
    const allowed = (option: RentalOption): boolean => !option.spot;
    while (free < targetGpus) {
      const demand = spareDemand(targetGpus - free);
      const bin = this.#keep(demand, allowed) ?? this.#rent('spare room', [demand], allowed);
      if (bin === null || bin.type.gpus <= 0) return;
      free += bin.type.gpus;
    }
  }

  /** One request for each type, zone and kind; `nameOf` gives each a name of its own. */
  requests(nameOf: () => string): PlannedRental[] {
    const byPlace = new Map<string, PlannedRental>();
    for (const { type, zone, spot, reason } of this.#bins) {
      if (reason === null) continue;
      const key = placeOf(type.name, zone, spot);
      const count = Math.min(MACHINES_PER_REQUEST, (byPlace.get(key)?.count ?? 0) + 1);
      const first = byPlace.get(key) ?? { request: '', type: type.name, zone, spot, count, reason };
      byPlace.set(key, { ...first, count });
    }
    return [...byPlace.values()].map((rental) => ({ ...rental, request: nameOf() }));
  }

  /** Keeps a machine that was to be given back; null: none is of use. */
  #keep({ need }: RentalDemand, allowed: (option: RentalOption) => boolean): Bin | null {
    for (const machine of this.#leaving) {
      const type = this.input.types.get(machine.type);
      if (type === undefined || countFitting(need, type) === 0 || !allowed({ ...machine, type })) continue;
      this.#leaving.delete(machine);
      this.#kept.add(machine.name);
      const bin = { type, zone: machine.zone, spot: machine.spot, free: capacityOf(type), reason: null };
      this.#bins.push(bin);
      return bin;
    }
    return null;
  }

  #rent(
    reason: RentalReason['for'],
    demands: readonly RentalDemand[],
    allowed: (option: RentalOption) => boolean,
  ): Bin | null {
    const { clusterConfig, types, wasRefused } = this.input;
    const isOfUse = ({ type }: RentalOption): boolean =>
      demands.slice(0, 1).every(({ need }) => countFitting(need, type) > 0);
    const options = this.#options.filter(
      (option) => isOfUse(option) && allowed(option) && this.#isBelowLimit(option.spot),
    );
    const choice = chooseRental({ clusterConfig, types, machinesIn: this.#machinesIn, demands, options, wasRefused });
    if (choice === null) return null;
    const { type, zone, spot } = choice.chosen.option;
    this.#countIn(zone, spot);
    const bin = { type, zone, spot, free: capacityOf(type), reason: reasonOf(reason, choice) };
    this.#bins.push(bin);
    return bin;
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
export function placeOf(type: string, zone: string, spot: boolean): string {
  return `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
}

function demandOf(spec: JobSpec, count: number): RentalDemand {
  const { imageGb, types, spot, estimateS } = spec;
  return { need: spec, count, imageGb, types, spot, runMs: estimateS * 1000 };
}

/** Room for services that are to come: it is counted in GPUs. */
function spareDemand(gpus: number): RentalDemand {
  return unitsOf({ ...NO_RESOURCES, gpus: Math.max(0, gpus) }, false);
}

/** Room that may be had in any pieces: one GPU each or, where none is needed, one CPU. */
function unitsOf({ cpus, gpus }: Resources, spot: boolean): RentalDemand {
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

function reasonOf(need: RentalReason['for'], { chosen, nextBest }: RentalChoice): RentalReason {
  const next = nextBest === null ? null : { type: nextBest.option.type.name, spot: nextBest.option.spot };
  return {
    for: need,
    chosen: figuresOf(chosen),
    nextBest: nextBest === null ? null : { ...next!, ...figuresOf(nextBest) },
  };
}

/** Rounded, for a line of the log. */
function figuresOf({ startMs, dearness, cost }: RentalCost): RentalFigures {
  const round = (n: number): number => Math.round(n * 100) / 100;
  return { startMs: Math.round(startMs), dearness: round(dearness), cost: round(cost) };
}
