// Plans what to rent in one review of the cluster: replacements of suspect machines, machines for waiting tasks, and
// spare capacity.
import type { JobSpec, MachineType, RentRequest } from '@gingerlock/wire';
import type { ClusterConfig } from '../cluster/cluster-config';
import { allowsMachine } from '../cluster/placement-constraints';
import {
  addResources,
  capacityOf,
  countFitting,
  minResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from '../cluster/resources';
import type { UnschedulableDemand } from '../scheduling/assignment-types';
import { taskShapeOf } from '../scheduling/job-shape';
import type { MachineStatus } from '../scheduling/partition-status';
import { canRunOnOption, type MachineOption, machineOptionKey, rentableOptions } from './machine-option';
import { type PlannedMachine, PlannedMachines, type TaskDemand } from './planned-machines';
import { chooseMachineOption } from './scale-out-choice';
import { demandOf, type ScaleOutDemand, spareDemand, unitDemand } from './scale-out-demand';
import { reasonOf, type ScaleOutReason } from './scale-out-reason';

/** A request for machines of one type, zone and kind, with the reason for the first of them. */
export interface PlannedScaleOut extends RentRequest {
  readonly reason: ScaleOutReason;
}

/** Input of a plan. */
export interface ScaleOutPlanInput {
  readonly clusterConfig: ClusterConfig;
  /** Machine types by name. */
  readonly types: ReadonlyMap<string, MachineType>;
  /** Machines that are booting and not late. */
  readonly booting: readonly { readonly type: string; readonly zone: string; readonly spot: boolean }[];
  /** Machines drained only because they are idle; they need no boot, so they are kept before others are rented. */
  readonly drainingIdleMachines: readonly MachineStatus[];
  /** All rented machines. */
  readonly known: Iterable<{ readonly zone: string; readonly spot: boolean }>;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
  /** Whether machines of the option may be requested: it is not backing off, and its zone is not silent. */
  readonly mayRequest: (option: MachineOption) => boolean;
  /** Whether most machines of the zone are silent. */
  readonly isSilent: (zone: string) => boolean;
  /** Whether the cloud has recently refused the option. */
  readonly wasRefused: (option: MachineOption) => boolean;
  /** Whether only spot machines are rented for the job. */
  readonly isSpotOnly: (spec: JobSpec) => boolean;
}

/** The most demands after the first one that are considered to share a machine with it. */
const MAX_SHARING_DEMANDS = 256;

/** Builds up the machines to rent and to keep; demands have to be added in order of urgency, the most urgent first. */
export class ScaleOutPlan {
  readonly #plannedMachines = new PlannedMachines();
  /** Shapes of tasks for which no further machine is rented by this plan. */
  readonly #exhaustedShapes = new Set<string>();
  readonly #machineCountByZone = new Map<string, number>();
  readonly #count = { ordinary: 0, spot: 0 };
  readonly #options: readonly MachineOption[];
  readonly #drainingIdleMachines: Set<MachineStatus>;
  readonly #kept = new Set<string>();

  constructor(readonly input: ScaleOutPlanInput) {
    for (const { type: name, zone, spot } of input.booting) {
      const type = input.types.get(name);
      if (type !== undefined) this.#plannedMachines.add({ type, zone, spot, free: capacityOf(type), reason: null });
    }
    for (const { zone, spot } of input.known) this.#countMachine(zone, spot);
    this.#drainingIdleMachines = new Set(input.drainingIdleMachines);
    this.#options = rentableOptions(input.types).filter((option) => input.mayRequest(option));
  }

  /** Names of the draining idle machines that are kept because the plan uses them. */
  get keptMachines(): ReadonlySet<string> {
    return this.#kept;
  }

  /** Plans machines for all tasks on a suspect machine. */
  planReplacement(machine: MachineStatus): void {
    const need = machine.byPriority.reduce((sum, resources) => addResources(sum, resources), NO_RESOURCES);
    if (need.cpus <= 0 && need.gpus <= 0) return;
    const { spot } = machine;
    const tasks: TaskDemand = {
      shape: ['suspect machine', spot, need.cpus, need.gpus, need.memoryGb, need.reportBytes].join('/'),
      need,
      isAllowedOn: (planned) => planned.spot === spot && !this.input.isSilent(planned.zone),
    };
    if (this.#plannedMachines.reserve(tasks, 1) === 0) this.#scaleOutInShares(need, spot);
  }

  /** Plans machines that each hold a share of the resources: the jobs of the tasks are unknown here. */
  #scaleOutInShares(need: Resources, spot: boolean): void {
    let remaining = need;
    while (remaining.cpus > 0 || remaining.gpus > 0) {
      const demands = [unitDemand(remaining, spot)];
      const planned = this.#scaleOut('suspect machine', demands, (option) => option.spot === spot);
      const share = planned === null ? NO_RESOURCES : minResources(remaining, planned.free);
      if (planned === null || (share.cpus <= 0 && share.gpus <= 0)) return;
      planned.free = subtractResources(planned.free, share);
      remaining = subtractResources(remaining, share);
    }
  }

  /**
   * Plans machines for tasks that fit on no machine. `spareGpus` is the number of GPUs missing from the headroom, which
   * could share the machines.
   */
  planForTasks(unschedulable: readonly UnschedulableDemand[], spareGpus: number): void {
    const spare = spareDemand(spareGpus);
    const demands = unschedulable.map(({ job, count }) => demandOf(job, count));
    unschedulable.forEach((entry, index) => {
      const sharing = (): ScaleOutDemand[] => [...demands.slice(index + 1, index + 1 + MAX_SHARING_DEMANDS), spare];
      this.#planForJob(entry, demands[index]!, sharing);
    });
  }

  /** Reserves resources for the tasks of one job on planned machines and on new ones, as far as any may be rented. */
  #planForJob(
    { job, count, zones }: UnschedulableDemand,
    demand: ScaleOutDemand,
    sharing: () => readonly ScaleOutDemand[],
  ): void {
    const { spec } = job;
    const isSpotOnly = this.input.isSpotOnly(spec);
    const inZones = (zone: string): boolean => zones === null || zones.includes(zone);
    const tasks: TaskDemand = {
      shape: [taskShapeOf(job), isSpotOnly, zones?.join() ?? 'any zone'].join('/'),
      need: job.need,
      isAllowedOn: ({ type, zone, spot }) =>
        (spot || !isSpotOnly) && inZones(zone) && allowsMachine(spec, type.name, zone, spot),
    };
    const isAllowed = (option: MachineOption): boolean =>
      inZones(option.zone) && canRunOnOption(spec, option) && (option.spot || !isSpotOnly);
    let remaining = count - this.#plannedMachines.reserve(tasks, count);
    while (remaining > 0 && !this.#exhaustedShapes.has(tasks.shape)) {
      const rest = { ...demand, count: remaining };
      const added =
        this.#keepDrainingMachine(rest, isAllowed) ?? this.#scaleOut('waiting task', [rest, ...sharing()], isAllowed);
      if (added === null) this.#exhaustedShapes.add(tasks.shape);
      else remaining -= this.#plannedMachines.reserve(tasks, remaining);
    }
  }

  /** Plans ordinary machines until `targetGpus` GPUs are free, counting `freeGpus` on the machines that are up. */
  planSpareGpus(freeGpus: number, targetGpus: number): void {
    let free = freeGpus;
    for (const planned of this.#plannedMachines) if (!planned.spot) free += planned.free.gpus;
    const isAllowed = (option: MachineOption): boolean => !option.spot;
    while (free < targetGpus) {
      const demand = spareDemand(targetGpus - free);
      const planned = this.#keepDrainingMachine(demand, isAllowed) ?? this.#scaleOut('spare room', [demand], isAllowed);
      if (planned === null || planned.type.gpus <= 0) return;
      free += planned.type.gpus;
    }
  }

  /** Returns one request per type, zone and kind; `nameOf` returns a unique name for each request. */
  requests(nameOf: () => string): PlannedScaleOut[] {
    const requestByOption = new Map<string, PlannedScaleOut>();
    for (const { type, zone, spot, reason } of this.#plannedMachines) {
      if (reason === null) continue;
      const key = machineOptionKey(type.name, zone, spot);
      const count = (requestByOption.get(key)?.count ?? 0) + 1;
      const first = requestByOption.get(key) ?? { request: '', type: type.name, zone, spot, count, reason };
      requestByOption.set(key, { ...first, count });
    }
    return [...requestByOption.values()].map((scaleOut) => ({ ...scaleOut, request: nameOf() }));
  }

  /** Keeps a draining idle machine that fits the demand; null if none does. */
  #keepDrainingMachine({ need }: ScaleOutDemand, isAllowed: (option: MachineOption) => boolean): PlannedMachine | null {
    for (const machine of this.#drainingIdleMachines) {
      const type = this.input.types.get(machine.type);
      if (type === undefined || countFitting(need, capacityOf(type)) === 0 || !isAllowed({ ...machine, type }))
        continue;
      this.#drainingIdleMachines.delete(machine);
      this.#kept.add(machine.name);
      const planned = { type, zone: machine.zone, spot: machine.spot, free: capacityOf(type), reason: null };
      this.#plannedMachines.add(planned);
      return planned;
    }
    return null;
  }

  /**
   * Plans the machine with the lowest cost for the first demand. Null if none may be rented, or if the request for the
   * one with the lowest cost is full: a later plan rents more of them.
   */
  #scaleOut(
    purpose: ScaleOutReason['for'],
    demands: readonly ScaleOutDemand[],
    isAllowed: (option: MachineOption) => boolean,
  ): PlannedMachine | null {
    const { clusterConfig, types, wasRefused } = this.input;
    const fitsFirstDemand = ({ type }: MachineOption): boolean =>
      demands.slice(0, 1).every(({ need }) => countFitting(need, capacityOf(type)) > 0);
    const options = this.#options.filter(
      (option) => fitsFirstDemand(option) && isAllowed(option) && this.#isBelowLimit(option.spot),
    );
    const choice = chooseMachineOption({
      clusterConfig,
      types,
      machineCountByZone: this.#machineCountByZone,
      demands,
      options: this.#withOpenRequests(options),
      wasRefused,
    });
    if (choice === null || this.#plannedMachines.isRequestFull(choice.chosen.option)) return null;
    const { type, zone, spot } = choice.chosen.option;
    this.#countMachine(zone, spot);
    const planned = { type, zone, spot, free: capacityOf(type), reason: reasonOf(purpose, choice) };
    this.#plannedMachines.add(planned);
    return planned;
  }

  /** Without the options whose request is full while that for another zone, of the same type and kind, is not. */
  #withOpenRequests(options: readonly MachineOption[]): MachineOption[] {
    const isFull = (option: MachineOption): boolean => this.#plannedMachines.isRequestFull(option);
    const open = options.filter((option) => !isFull(option));
    const hasOpenZone = ({ type, spot }: MachineOption): boolean =>
      open.some((other) => other.type === type && other.spot === spot);
    return options.filter((option) => !isFull(option) || !hasOpenZone(option));
  }

  #isBelowLimit(spot: boolean): boolean {
    const { maxOrdinaryMachines, maxSpotMachines } = this.input;
    return spot ? this.#count.spot < maxSpotMachines : this.#count.ordinary < maxOrdinaryMachines;
  }

  #countMachine(zone: string, spot: boolean): void {
    this.#machineCountByZone.set(zone, (this.#machineCountByZone.get(zone) ?? 0) + 1);
    this.#count[spot ? 'spot' : 'ordinary']++;
  }
}
