// What the leader rents, drains and returns. It only plans; the leader's autoscaling loop talks to the cloud and to the
// owners.
import { type CloudMachine, type JobSpec, type MachineType, type RentRequest } from '@gingerlock/wire';
import { type ClusterConfig, SUSPECT_INTERVALS, workerLeaseBoundMs } from '../cluster/cluster-config';
import { bootMsOf } from '../cluster/machine-boot-time';
import { hasNoGuarantee } from '../cluster/quota';
import type { MachineStatus, PartitionStatus } from '../scheduling/partition-status';
import type { AutoscalerInput, AutoscalerLimits, AutoscalerPlan } from './autoscaler-types';
import { CapacityBackoff } from './capacity-backoff';
import { clusterFigures, type ClusterFigures } from './cluster-figures';
import { Consolidator } from './consolidation';
import { type IdleScaleIn, planIdleScaleIn } from './idle-scale-in';
import { type KnownMachine, MachineInventory } from './machine-inventory';
import { canRunOnOption, rentableOptions } from './machine-option';
import { isSuspect, OwnerHistory } from './machine-silence';
import { machineUse } from './machine-use';
import { type PlannedScaleOut, ScaleOutPlan } from './scale-out-plan';
import { freeServiceGpus, headroomGpus } from './service-capacity';
import { type ZoneMachine, ZoneSilence } from './zone-silence';

/** A machine that takes longer than this many usual boot times counts as late: another is rented in its place. */
const LATE_BOOTS = 2;

/** One that takes longer than this many is returned. */
const FAILED_BOOTS = 4;

/** A running machine that has been silent for longer than so many worker leases is returned. */
const SILENT_LEASES = 2;

/**
 * A suspect machine is replaced until it has been silent for so many worker leases: then its tasks wait as others do.
 */
const REPLACED_LEASES = 2;

/** One review of the cluster: its input, and what has been derived from that. */
interface Review {
  readonly input: AutoscalerInput;
  readonly statusByName: ReadonlyMap<string, MachineStatus>;
  readonly headroomGpus: number;
  /** Machines that are on their way and not late. */
  readonly booting: KnownMachine[];
  readonly scaleIn: string[];
  readonly drain: Set<string>;
}

/** Plans how many machines the cluster has; one for each term of the leader. */
export class Autoscaler {
  readonly #inventory: MachineInventory;
  readonly #owners = new OwnerHistory();
  readonly #backoff: CapacityBackoff;
  readonly #zones = new ZoneSilence();
  readonly #consolidator: Consolidator;
  /** Names of the machines that the last plan drained. */
  #draining = new Set<string>();
  #requestCount = 0;

  constructor(
    readonly clusterConfig: ClusterConfig,
    readonly term: number,
    readonly limits: AutoscalerLimits,
  ) {
    this.#inventory = new MachineInventory(clusterConfig);
    this.#backoff = new CapacityBackoff(clusterConfig);
    this.#consolidator = new Consolidator(clusterConfig);
  }

  /** The cloud has rented these machines, maybe fewer than were asked for. */
  recordScaleOut(names: readonly string[], request: RentRequest, now: number): void {
    this.#backoff.clear(request);
    this.#inventory.recordScaleOut(names, request, now);
    if (names.length < request.count) this.recordCapacityRefusal(request, now);
  }

  /** The cloud has rented none of what was asked for, or not all. */
  recordCapacityRefusal(request: RentRequest, now: number): void {
    this.#backoff.recordRefusal(request, now);
  }

  /** Whether the cloud lately had no more of any type and kind that the job may run on in the zone. */
  lacksCapacityFor(spec: JobSpec, zone: string, types: ReadonlyMap<string, MachineType>, now: number): boolean {
    return rentableOptions(types)
      .filter((option) => option.zone === zone && canRunOnOption(spec, option))
      .every((option) => this.#backoff.wasRefused(option, now));
  }

  /** The cloud has taken these machines back. */
  recordScaleIn(names: readonly string[], now: number): void {
    this.#inventory.recordScaleIn(names, now);
    for (const name of names) this.#draining.delete(name);
  }

  /** Takes a whole list of the cloud's machines. Returns the names of those that have certainly failed. */
  applyCloudList(machines: readonly CloudMachine[], now: number): { failed: string[] } {
    return this.#inventory.applyCloudList(machines, now);
  }

  /** Whether the owners' statuses show every machine that is listed as up, of which there is one at least. */
  hasStatusOfAll(statuses: readonly PartitionStatus[]): boolean {
    return this.#inventory.hasStatusOfAll(statuses);
  }

  /** Whether there is a machine of that type. */
  hasMachineOfType(type: string): boolean {
    return [...this.machines.values()].some((machine) => machine.type === type);
  }

  /** The known machines, by name. */
  get machines(): ReadonlyMap<string, KnownMachine> {
    return this.#inventory.machines;
  }

  /** The figures of all machines, for the log. */
  figures(statuses: readonly PartitionStatus[], types: ReadonlyMap<string, MachineType>): ClusterFigures {
    const machines = statuses.flatMap((status) => status.machines);
    return clusterFigures(this.machines.values(), machines, types);
  }

  /**
   * How long until an ordinary machine that is rented now could run a task of the job, in milliseconds; Infinity:
   * none can.
   */
  scaleOutMs(spec: JobSpec, types: ReadonlyMap<string, MachineType>): number {
    const options = rentableOptions(types).filter((option) => !option.spot && canRunOnOption(spec, option));
    return Math.min(Infinity, ...options.map(({ type }) => bootMsOf(type)));
  }

  /** Plans what is to be rented, returned and drained now, and remembers what it drains. */
  plan(input: AutoscalerInput): AutoscalerPlan {
    const review = this.#newReview(input);
    this.#inventory.observe(review.statusByName.values(), input.now);
    this.#owners.observe(input.statuses, input.now);
    this.#observeZones(review);
    for (const machine of this.machines.values()) this.#reviewMachine(machine, review);
    const plan = this.#planScaleOut(review);
    // Names are never reused: they carry the leader's term.
    const scaleOut = plan.requests(() => `r-${this.term}-${++this.#requestCount}`);
    this.#planScaleIn(review, scaleOut, plan.kept);
    this.#draining = review.drain;
    return { scaleOut, scaleIn: review.scaleIn, drain: [...review.drain] };
  }

  #newReview(input: AutoscalerInput): Review {
    const { statuses, types } = input;
    const statusByName = new Map<string, MachineStatus>();
    for (const { machines } of statuses) for (const machine of machines) statusByName.set(machine.name, machine);
    return {
      input,
      statusByName,
      headroomGpus: headroomGpus(this.limits.headroom, statusByName.values(), statuses, types),
      booting: [],
      scaleIn: [],
      drain: new Set(),
    };
  }

  /** Notes the zones of which most running machines have fallen silent. */
  #observeZones({ input, statusByName }: Review): void {
    const { now, types, partitioner } = input;
    const { heartbeatIntervalMs, cloudListLagMs } = this.clusterConfig;
    const running = [...this.machines.values()].filter(({ state }) => state === 'running');
    const machines = running.map((machine): ZoneMachine => {
      const { zone } = machine;
      const status = statusByName.get(machine.name);
      if (status !== undefined && !isSuspect(status, this.clusterConfig)) return { zone, state: 'responsive' };
      const silentMs = now - this.#owners.silentSince(machine, partitioner);
      return { zone, state: silentMs > heartbeatIntervalMs * SUSPECT_INTERVALS ? 'silent' : 'unknown' };
    });
    const longestBootMs = Math.max(0, ...[...types.values()].map(bootMsOf));
    this.#zones.observe(machines, now + longestBootMs * LATE_BOOTS + cloudListLagMs);
  }

  /** Finds out whether one machine is to be returned or drained whatever the rest does, or is on its way. */
  #reviewMachine(machine: KnownMachine, { input, statusByName, booting, scaleIn, drain }: Review): void {
    const { now, types, partitioner } = input;
    const { name, state, createdAt } = machine;
    const status = statusByName.get(name);
    if (state === 'failed' || state === 'vanished') scaleIn.push(name);
    else if (state === 'booting' && status === undefined) {
      const bootMs = bootMsOf(types.get(machine.type));
      if (now - createdAt > bootMs * FAILED_BOOTS) scaleIn.push(name);
      else if (now - createdAt < bootMs * LATE_BOOTS) booting.push(machine);
    } else if (
      now - this.#owners.silentSince(machine, partitioner) >
      SILENT_LEASES * workerLeaseBoundMs(this.clusterConfig)
    ) {
      // Up, and silent for longer than any lease. The cloud's answer proves it gone, before its partition's fencing
      // period would end.
      scaleIn.push(name);
    } else if (status?.isQuarantined === true) drain.add(name);
  }

  #planScaleOut(review: Review): ScaleOutPlan {
    const { input, statusByName } = review;
    const plan = this.#newScaleOutPlan(review);
    for (const machine of this.#machinesToReplace(statusByName)) plan.replace(machine);
    // Capacity for what comes next, on top of what is asked for now, and for what new owners still await the heartbeats
    // of: a boot takes longer than most objectives allow.
    const freeGpus = freeServiceGpus(statusByName.values());
    plan.serve(input.unschedulable, review.headroomGpus - freeGpus);
    plan.keepSpare(freeGpus, review.headroomGpus);
    return plan;
  }

  #newScaleOutPlan({ input, booting, statusByName }: Review): ScaleOutPlan {
    const { now, types } = input;
    const isSilent = (zone: string): boolean => this.#zones.isSilent(zone, now);
    return new ScaleOutPlan({
      clusterConfig: this.clusterConfig,
      types,
      booting,
      drainingIdleMachines: [...statusByName.values()].filter((machine) => this.#isDrainingForIdleness(machine)),
      known: this.machines.values(),
      maxOrdinaryMachines: this.limits.maxOrdinaryMachines,
      maxSpotMachines: this.limits.maxSpotMachines,
      isOpen: (option) => !isSilent(option.zone) && !this.#backoff.isBackingOff(option, now),
      wasRefused: (option) => this.#backoff.wasRefused(option, now),
      isSilent,
      onlySpot: (spec) => this.#waitsForSpot(spec),
    });
  }

  /**
   * The machines that have fallen silent: what runs there will most likely be wanted elsewhere once their leases are
   * over, so a boot begins now. None if they are half of all or more: then the fault is not theirs.
   */
  #machinesToReplace(statusByName: ReadonlyMap<string, MachineStatus>): readonly MachineStatus[] {
    const suspects = [...statusByName.values()].filter(
      (machine) =>
        isSuspect(machine, this.clusterConfig) && machine.silentMs < this.clusterConfig.workerLeaseMs * REPLACED_LEASES,
    );
    return suspects.length * 2 < statusByName.size ? suspects : [];
  }

  /** Whether the machine gets no more work, and is to be returned, for being idle alone. */
  #isDrainingForIdleness(machine: MachineStatus): boolean {
    return (
      this.#draining.has(machine.name) &&
      machineUse(machine) === 'idle' &&
      !machine.isQuarantined &&
      !machine.evictionNotice &&
      !isSuspect(machine, this.clusterConfig) &&
      !this.#inventory.isReturned(machine.name)
    );
  }

  /** Adds the idle machines that can be spared to the review, and those that are to be emptied. */
  #planScaleIn(review: Review, scaleOut: readonly PlannedScaleOut[], kept: ReadonlySet<string>): void {
    const { input, statusByName, drain, scaleIn } = review;
    const isScalingOut = scaleOut.length > 0;
    const idle = this.#idleScaleIn(review, isScalingOut, kept);
    for (const name of idle.drain) drain.add(name);
    scaleIn.push(...idle.scaleIn);
    const isShort = input.unschedulable.some(({ job }) => !this.#waitsForSpot(job.spec));
    if (isScalingOut || isShort) return;
    const emptied = this.#consolidator.plan({
      now: input.now,
      types: input.types,
      partitioner: input.partitioner,
      pinned: input.pinned,
      machines: statusByName.values(),
      draining: this.#draining,
      spareOrdinaryGpus: idle.spareGpus,
    });
    for (const name of emptied) drain.add(name);
  }

  #idleScaleIn(review: Review, isScalingOut: boolean, kept: ReadonlySet<string>): IdleScaleIn {
    const { input, statusByName, drain, scaleIn, booting } = review;
    return planIdleScaleIn({
      clusterConfig: this.clusterConfig,
      types: input.types,
      machines: statusByName.values(),
      isReturned: (name) => this.#inventory.isReturned(name),
      isExempt: (name) => scaleIn.includes(name) || kept.has(name) || input.pinned?.has(name) === true,
      isDraining: (name) => drain.has(name) || this.#draining.has(name),
      mayDrainMore: !isScalingOut || booting.length > 0,
      headroomGpus: review.headroomGpus,
    });
  }

  /**
   * Whether spot machines alone are rented for the job: that is work of a team without a guarantee which may run on
   * them. It takes what is free on ordinary machines, and none are rented or kept for it: long idle work would make
   * the whole cluster more expensive.
   */
  #waitsForSpot({ team: name, spot }: JobSpec): boolean {
    const team = this.clusterConfig.teams.get(name);
    return spot && team !== undefined && hasNoGuarantee(team);
  }
}
