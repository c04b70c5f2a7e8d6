// What the leader rents, drains and returns. It only plans; the controller talks to the cloud and to the owners.
import { type CloudMachine, isRentable, type JobSpec, type MachineType, type RentRequest } from '@gingerlock/wire';
import type { UnschedulableDemand } from '../scheduling/assignment-types';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';
import { MachineInventory, type KnownMachine } from './machine-inventory';
import { machineUse } from './machine-use';
import { BATCH_PRIORITY, isSuspect, ConsolidationPlan } from './consolidation';
import { type MachineOption, unitPrice } from './scale-out-choice';
import { type PlannedScaleOut, machineOptionKey, ScaleOutPlan } from './scale-out-plan';
import { bootMsOf } from '../cluster/machine-boot-time';
import { type ClusterConfig, SUSPECT_INTERVALS, workerLeaseBoundMs } from '../cluster/cluster-config';
import { fitsIn } from '../cluster/resources';
import { hasNoGuarantee } from '../cluster/quota';
import { type Partitioner } from '../cluster/partitioner';
import { allowsMachine } from '../cluster/placement-constraints';

/** What the operators have set. */
export interface AutoscalerLimits {
  /** Free room kept on ordinary machines, as a share of what is in use. */
  readonly headroom: number;
  readonly maxOrdinaryMachines: number;
  readonly maxSpotMachines: number;
}

export interface AutoscalerInput {
  readonly now: number;
  readonly types: ReadonlyMap<string, MachineType>;
  readonly statuses: readonly PartitionStatus[];
  readonly unschedulable: readonly UnschedulableDemand[];
  readonly partitioner: Partitioner;
  /** Machines that are neither emptied nor given back while idle. */
  readonly pinned?: ReadonlySet<string>;
}

export interface AutoscalerPlan {
  readonly scaleOut: PlannedScaleOut[];
  readonly scaleIn: string[];
  /** Machines that are to get no more work. */
  readonly drain: string[];
}

interface CapacityBackoff {
  until: number;
  backoff: number;
}

/** A machine that takes longer than this many usual boot times counts as late; its room is rented once more. */
const LATE_BOOTS = 2;
/** One that takes longer than this many is returned. */
const STUCK_BOOTS = 4;

/** What was refused is not asked for again for so many report intervals at the most, and after others for as many more. */
const CAPACITY_BACKOFF_INTERVALS = 16;

export class Autoscaler {
  readonly #inventory: MachineInventory;
  /** By part: its owner's term, and since when that owner has told of it. */
  readonly #ownerSinceByPartition = new Map<number, { term: number; since: number }>();
  readonly #capacityRefused = new Map<string, CapacityBackoff>();
  /** Zones in which most machines have fallen silent, and until when nothing is rented there for that. */
  readonly #silentZones = new Map<string, number>();
  #draining = new Set<string>();
  readonly #consolidation: ConsolidationPlan;
  #counter = 0;

  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly term: number,
    readonly limits: AutoscalerLimits,
  ) {
    this.#inventory = new MachineInventory(clusterConfig);
    this.#consolidation = new ConsolidationPlan(clusterConfig);
  }

  recordScaleOut(names: readonly string[], r: RentRequest, now: number): void {
    this.#capacityRefused.delete(machineOptionKey(r.type, r.zone, r.spot));
    this.#inventory.recordScaleOut(names, r, now);
    if (names.length < r.count) this.capacityRefused(r, now);
  }

  capacityRefused(r: RentRequest, now: number): void {
    const key = machineOptionKey(r.type, r.zone, r.spot);
    const last = this.#capacityRefused.get(key);
    const backoff = Math.min(
      (last?.backoff ?? this.clusterConfig.heartbeatIntervalMs) * 2,
      this.clusterConfig.heartbeatIntervalMs * CAPACITY_BACKOFF_INTERVALS,
    );
    this.#capacityRefused.set(key, { until: now + backoff, backoff });
  }

  #capacityBackoffOf({ type, zone, spot }: MachineOption): CapacityBackoff | undefined {
    return this.#capacityRefused.get(machineOptionKey(type.name, zone, spot));
  }

  /** Whether the cloud had no more lately of any type and kind that the job may run on in the zone. */
  lacksCapacityFor(spec: JobSpec, zone: string, types: ReadonlyMap<string, MachineType>, now: number): boolean {
    const options = [...types.values()]
      .filter((type) => isRentable(type) && type.zones.includes(zone) && fitsIn(spec, type))
      .flatMap((type) => [false, true].map((spot) => ({ type, zone, spot })))
      .filter(({ type, spot }) => allowsMachine(spec, type.name, zone, spot));
    return options.every((option) => this.#wasRefused(option, now));
  }

  #wasRefused(option: MachineOption, now: number): boolean {
    const refusal = this.#capacityBackoffOf(option);
    return (
      refusal !== undefined && now - refusal.until < this.clusterConfig.heartbeatIntervalMs * CAPACITY_BACKOFF_INTERVALS
    );
  }

  recordScaleIn(names: readonly string[], now: number): void {
    this.#inventory.recordScaleIn(names, now);
    for (const name of names) this.#draining.delete(name);
  }

  /** Takes a whole list of machines. Returns those that are surely gone. */
  applyCloudList(machines: readonly CloudMachine[], now: number): { failed: string[] } {
    return this.#inventory.applyCloudList(machines, now);
  }

  /** Whether the owners have heard every machine that is listed as up. */
  hasHeardAll(statuses: readonly PartitionStatus[]): boolean {
    return this.#inventory.hasHeardAll(statuses);
  }

  /** Whether there is a machine of that type. */
  has(type: string): boolean {
    return [...this.machines.values()].some((machine) => machine.type === type);
  }

  /** By name. */
  get machines(): ReadonlyMap<string, KnownMachine> {
    return this.#inventory.machines;
  }

  /** How the fleet stands, for the log. */
  figures(statuses: readonly PartitionStatus[], types: ReadonlyMap<string, MachineType>): Record<string, number> {
    const f = { ordinary: 0, spot: 0, unheardMachines: 0, idle: 0, used: 0, batch: 0, free: 0 };
    for (const k of this.machines.values()) f[k.spot ? 'spot' : 'ordinary']++;
    const machines = statuses.flatMap((s) => s.machines);
    f.unheardMachines = f.ordinary + f.spot - machines.length;
    for (const m of machines) {
      if (machineUse(m) === 'idle') f.idle++;
      if (m.spot) continue;
      const batch = m.byPriority.reduce((sum, a, priority) => sum + (priority >= BATCH_PRIORITY ? a.gpus : 0), 0);
      f.batch += batch;
      f.free += m.free.gpus;
      f.used += (types.get(m.type)?.gpus ?? 0) - m.free.gpus - batch;
    }
    return f;
  }

  /** How long until a machine that is rented now could run a task of the job, in milliseconds; Infinity: none can be had. */
  scaleOutMs(spec: JobSpec, types: ReadonlyMap<string, MachineType>): number {
    let least = Infinity;
    for (const type of types.values()) {
      if (
        !isRentable(type) ||
        !fitsIn(spec, type) ||
        !type.zones.some((zone) => allowsMachine(spec, type.name, zone, false))
      )
        continue;
      least = Math.min(least, bootMsOf(type));
    }
    return least;
  }

  plan(input: AutoscalerInput): AutoscalerPlan {
    const { now, types } = input;
    const machinesByName = new Map<string, MachineStatus>();
    for (const s of input.statuses) for (const m of s.machines) machinesByName.set(m.name, m);
    this.#inventory.observe(machinesByName.values(), now);

    for (const s of input.statuses) {
      if (this.#ownerSinceByPartition.get(s.partitionId)?.term !== s.term)
        this.#ownerSinceByPartition.set(s.partitionId, { term: s.term, since: now });
    }
    const heard = new Set(input.statuses.map((s) => s.partitionId));
    for (const partitionId of this.#ownerSinceByPartition.keys())
      if (!heard.has(partitionId)) this.#ownerSinceByPartition.delete(partitionId);

    this.#observeZones(input, machinesByName);
    const scaleIn: string[] = [];
    const drain = new Set<string>();
    const booting: KnownMachine[] = [];
    for (const k of this.machines.values()) {
      const bootMs = bootMsOf(types.get(k.type));
      const machine = machinesByName.get(k.name);
      if (k.state === 'failed' || k.state === 'vanished') scaleIn.push(k.name);
      else if (k.state === 'booting' && machine === undefined) {
        if (now - k.createdAt > bootMs * STUCK_BOOTS) scaleIn.push(k.name);
        else if (now - k.createdAt < bootMs * LATE_BOOTS) booting.push(k);
      } else if (now - this.#quietSince(k, input) > 2 * workerLeaseBoundMs(this.clusterConfig)) {
        // Up, and silent for longer than any lease. The answer proves it gone, sooner than the time that clears its part.
        scaleIn.push(k.name);
      } else if (machine?.isQuarantined === true) drain.add(k.name);
    }
    const { scaleOut, kept } = this.#scaleOut(input, booting, machinesByName);
    this.#planScaleIn(input, machinesByName, booting, drain, scaleIn, scaleOut.length > 0, kept);
    this.#draining = drain;
    return { scaleOut, scaleIn, drain: [...drain] };
  }

  /**
   * Since when a machine could have been heard and was not. A new owner of its part, or a new leader, has to be given
   * the time to hear it first: silence from before proves nothing, and healthy machines were once returned for it.
   */
  #quietSince(k: KnownMachine, input: AutoscalerInput): number {
    const partitionId = input.partitioner.partitionOf(k.name, k.zone);
    const owner = this.#ownerSinceByPartition.get(partitionId);
    if (owner === undefined) return Infinity;
    return Math.max(k.lastHeartbeatAt ?? -Infinity, k.upSince ?? -Infinity, owner.since);
  }

  /**
   * Notes zones in which most machines that are up have fallen silent: what is rented there could not be reached either.
   * Their silent machines are returned in time, so the note stands until one of the zone is heard, or a new one should
   * have been.
   */
  #observeZones(input: AutoscalerInput, machinesByName: ReadonlyMap<string, MachineStatus>): void {
    const { now } = input;
    const zones = new Map<string, { heard: number; silent: number }>();
    for (const k of this.machines.values()) {
      if (k.state !== 'running') continue;
      const machine = machinesByName.get(k.name);
      const heard = machine !== undefined && !isSuspect(machine, this.clusterConfig);
      const silent =
        !heard && now - this.#quietSince(k, input) > this.clusterConfig.heartbeatIntervalMs * SUSPECT_INTERVALS;
      const zone = zones.get(k.zone) ?? { heard: 0, silent: 0 };
      if (heard) zone.heard++;
      if (silent) zone.silent++;
      zones.set(k.zone, zone);
    }
    // A new leader has heard nothing of a zone that was cut off before its time.
    const silent = [...zones].filter(([, z]) => z.silent > z.heard || z.heard === 0).map(([name]) => name);
    // Silence from everywhere is trouble of our own.
    if (silent.length === zones.size) return;
    const bootMs = Math.max(0, ...[...input.types.values()].map(bootMsOf));
    for (const [name, z] of zones) if (z.heard > 0) this.#silentZones.delete(name);
    for (const name of silent)
      this.#silentZones.set(name, now + bootMs * LATE_BOOTS + this.clusterConfig.cloudListLagMs);
  }

  /** Idle machines that get no more work, and are to be given back for that alone. */
  #drainingIdleMachines(machinesByName: ReadonlyMap<string, MachineStatus>): MachineStatus[] {
    return [...machinesByName.values()].filter(
      (m) =>
        this.#draining.has(m.name) &&
        machineUse(m) === 'idle' &&
        !m.isQuarantined &&
        !m.evictionNotice &&
        !isSuspect(m, this.clusterConfig) &&
        !this.#inventory.isReturned(m.name),
    );
  }

  #scaleOut(
    input: AutoscalerInput,
    booting: readonly KnownMachine[],
    machinesByName: ReadonlyMap<string, MachineStatus>,
  ): { scaleOut: PlannedScaleOut[]; kept: ReadonlySet<string> } {
    const { now, types } = input;
    const isSilent = (zone: string): boolean => (this.#silentZones.get(zone) ?? 0) > now;
    const plan = new ScaleOutPlan({
      clusterConfig: this.clusterConfig,
      types,
      booting,
      drainingIdleMachines: this.#drainingIdleMachines(machinesByName),
      known: this.machines.values(),
      maxOrdinaryMachines: this.limits.maxOrdinaryMachines,
      maxSpotMachines: this.limits.maxSpotMachines,
      isOpen: (option) => !isSilent(option.zone) && (this.#capacityBackoffOf(option)?.until ?? 0) <= now,
      wasRefused: (option) => this.#wasRefused(option, now),
      isSilent,
      onlySpot: (spec) => this.#waitsForSpot(spec),
    });
    // What runs on a machine that has fallen silent will most likely be wanted elsewhere once its lease is over: a boot
    // begins now. More than half of them silent is no trouble of theirs.
    const suspects = [...machinesByName.values()].filter(
      (m) => isSuspect(m, this.clusterConfig) && m.silentMs < this.clusterConfig.workerLeaseMs * 2,
    );
    if (suspects.length * 2 < machinesByName.size) for (const m of suspects) plan.replace(m);
    // Room for what comes next, on top of what is asked for now, and for what new owners are still waiting to hear of: a
    // boot takes longer than most aims allow.
    let free = 0;
    for (const m of machinesByName.values()) if (!m.spot && m.takesWork) free += gpusForServices(m);
    const headroom = this.#headroom(input, machinesByName);
    plan.serve(input.unschedulable, headroom - free);
    plan.keepSpare(free, headroom);
    // Names are never reused: they carry the leader's term.
    return { scaleOut: plan.requests(() => `r-${this.term}-${++this.#counter}`), kept: plan.kept };
  }

  /**
   * How much room, in accelerators, ordinary machines should have: for new services, and for those that new owners are
   * still waiting to hear of.
   */
  #headroom(input: AutoscalerInput, machinesByName: ReadonlyMap<string, MachineStatus>): number {
    let used = 0;
    for (const m of machinesByName.values()) {
      const type = input.types.get(m.type);
      if (type !== undefined && !m.spot) used += type.gpus - gpusForServices(m);
    }
    const missing = input.statuses.reduce((sum, s) => sum + s.missing.gpus, 0);
    return used * this.limits.headroom + missing;
  }

  /** Machines that have been empty for about a boot time go, the dearest first, if enough room is left without them. */
  #planScaleIn(
    input: AutoscalerInput,
    machinesByName: ReadonlyMap<string, MachineStatus>,
    booting: readonly KnownMachine[],
    drain: Set<string>,
    scaleIn: string[],
    renting: boolean,
    kept: ReadonlySet<string>,
  ): void {
    let ordinary = 0;
    const empties: MachineStatus[] = [];
    for (const m of machinesByName.values()) {
      const type = input.types.get(m.type);
      if (type === undefined || m.evictionNotice || this.#inventory.isReturned(m.name)) continue;
      if (!m.spot && m.takesWork) ordinary += gpusForServices(m);
      if (machineUse(m) === 'idle') empties.push(m);
    }
    const headroom = this.#headroom(input, machinesByName);
    const priceOf = (m: MachineStatus): number => unitPrice(input.types.get(m.type)!, m.spot);
    for (const m of empties.sort((a, b) => priceOf(b) - priceOf(a) || b.emptyMs - a.emptyMs)) {
      if (scaleIn.includes(m.name) || kept.has(m.name) || input.pinned?.has(m.name) === true) continue;
      const type = input.types.get(m.type)!;
      const idle = m.emptyMs > Math.max(bootMsOf(type) * IDLE_BOOTS, this.clusterConfig.heartbeatIntervalMs * 5);
      const spare = m.spot || ordinary - type.gpus >= headroom;
      const leave =
        drain.has(m.name) || this.#draining.has(m.name) || (idle && spare && !(renting && booting.length === 0));
      if (!leave) continue;
      if (!m.spot && m.takesWork) ordinary -= type.gpus;
      drain.add(m.name);
      // The owner says that it binds nothing there any more and that nothing is there.
      if (m.draining) scaleIn.push(m.name);
    }
    const isShort = input.unschedulable.some(({ job }) => !this.#waitsForSpot(job.spec));
    if (!renting && !isShort)
      this.#consolidation.add(input, machinesByName, drain, this.#draining, ordinary - headroom);
  }

  /**
   * Work of a team without a guarantee that may run on spot machines has none rented at the ordinary price, and keeps none: it takes
   * what is free there, and what is rented for it is spot. Elsewhere long idle work made the whole fleet dearer.
   */
  #waitsForSpot({ team: name, spot }: JobSpec): boolean {
    const team = this.clusterConfig.teams.get(name);
    return spot && team !== undefined && hasNoGuarantee(team);
  }
}

/**
 * An empty machine is kept for this many boot times, and always for a few reports: where machines boot at once, one was
 * returned before its first task could be assigned to it, and rented again.
 */
const IDLE_BOOTS = 0.5;

/** What a machine has for new services: batch work makes way for them. */
function gpusForServices(m: MachineStatus): number {
  return m.byPriority.reduce((sum, a, priority) => sum + (priority >= BATCH_PRIORITY ? a.gpus : 0), m.free.gpus);
}
