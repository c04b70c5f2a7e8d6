// Plans which machines the leader rents, drains and returns. The leader's autoscaling loop sends the plan to the cloud
// and to the owners.
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

/** A machine that boots for longer than this many usual boot times is late: another one is rented in its place. */
const LATE_BOOTS = 2;

/** A machine that boots for longer than this many usual boot times is returned. */
const FAILED_BOOTS = 4;

/** A running machine that has sent no heartbeat for longer than this many worker leases is returned. */
const SILENT_LEASES = 2;

/**
 * Capacity is planned for the tasks of a suspect machine until it has been silent for this many worker leases. After
 * that, its tasks are waiting tasks.
 */
const REPLACED_LEASES = 2;

/** One review of the cluster: its input, and the state derived from the input. */
interface Review {
  readonly input: AutoscalerInput;
  readonly statusByName: ReadonlyMap<string, MachineStatus>;
  readonly headroomGpus: number;
  /** Machines that are booting and not late. */
  readonly booting: KnownMachine[];
  readonly scaleIn: string[];
  readonly drain: Set<string>;
}

/** Plans the size of the cluster. Each term of the leader has its own autoscaler. */
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

  /** Records machines that the cloud has rented for a request; they may be fewer than requested. */
  recordScaleOut(names: readonly string[], request: RentRequest, now: number): void {
    this.#backoff.clear(request);
    this.#inventory.recordScaleOut(names, request, now);
    if (names.length < request.count) this.recordCapacityRefusal(request, now);
  }

  /** Records that the cloud has rented fewer machines than requested, or none. */
  recordCapacityRefusal(request: RentRequest, now: number): void {
    this.#backoff.recordRefusal(request, now);
  }

  /** Whether the cloud has recently refused every type and kind of machine that the job may run on in the zone. */
  lacksCapacityFor(spec: JobSpec, zone: string, types: ReadonlyMap<string, MachineType>, now: number): boolean {
    return rentableOptions(types)
      .filter((option) => option.zone === zone && canRunOnOption(spec, option))
      .every((option) => this.#backoff.wasRefused(option, now));
  }

  /** Records machines that have been returned to the cloud. */
  recordScaleIn(names: readonly string[], now: number): void {
    this.#inventory.recordScaleIn(names, now);
    for (const name of names) this.#draining.delete(name);
  }

  /** Applies the cloud's complete list of machines. Returns the names of the machines that have certainly failed. */
  applyCloudList(machines: readonly CloudMachine[], now: number): { failed: string[] } {
    return this.#inventory.applyCloudList(machines, now);
  }

  /** Whether the cloud lists at least one running machine and the owners' statuses contain all running ones. */
  hasStatusOfAll(statuses: readonly PartitionStatus[]): boolean {
    return this.#inventory.hasStatusOfAll(statuses);
  }

  /** Whether a known machine is of the type. */
  hasMachineOfType(type: string): boolean {
    return [...this.machines.values()].some((machine) => machine.type === type);
  }

  /** The known machines, by name. */
  get machines(): ReadonlyMap<string, KnownMachine> {
    return this.#inventory.machines;
  }

  /** Counts of machines and GPUs of the cluster, for the log. */
  figures(statuses: readonly PartitionStatus[], types: ReadonlyMap<string, MachineType>): ClusterFigures {
    const machines = statuses.flatMap((status) => status.machines);
    return clusterFigures(this.machines.values(), machines, types);
  }

  /**
   * How long an ordinary machine that can run a task of the job takes to boot if it is rented now, in milliseconds.
   * Infinity if no machine type can run it.
   */
  scaleOutMs(spec: JobSpec, types: ReadonlyMap<string, MachineType>): number {
    const options = rentableOptions(types).filter((option) => !option.spot && canRunOnOption(spec, option));
    return Math.min(Infinity, ...options.map(({ type }) => bootMsOf(type)));
  }

  /** Plans which machines to rent, return and drain now, and remembers which ones it drains. */
  plan(input: AutoscalerInput): AutoscalerPlan {
    const review = this.#newReview(input);
    this.#inventory.observe(review.statusByName.values(), input.now);
    this.#owners.observe(input.statuses, input.now);
    this.#observeZones(review);
    for (const machine of this.machines.values()) this.#reviewMachine(machine, review);
    const plan = this.#planScaleOut(review);
    // Request names are unique across leaders because they contain the leader's term.
    const scaleOut = plan.requests(() => `r-${this.term}-${++this.#requestCount}`);
    this.#planScaleIn(review, scaleOut, plan.keptMachines);
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

  /** Records the zones in which most running machines send no heartbeats. */
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

  /** Decides from a machine's own state whether it is returned or drained, or counts as booting. */
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
      // The machine is up and has been silent for longer than any worker lease. The cloud's answer to the return proves
      // that it is gone, which is sooner than the end of its partition's fencing period.
      scaleIn.push(name);
    } else if (status?.isQuarantined === true) drain.add(name);
  }

  #planScaleOut(review: Review): ScaleOutPlan {
    const { input, statusByName } = review;
    const plan = this.#newScaleOutPlan(review);
    for (const machine of this.#machinesToReplace(statusByName)) plan.planReplacement(machine);
    // Spare capacity for new services, and for services whose heartbeats new owners still wait for, is rented in
    // advance: a boot takes longer than most objectives allow.
    const freeGpus = freeServiceGpus(statusByName.values());
    plan.planForTasks(input.unschedulable, review.headroomGpus - freeGpus);
    plan.planSpareGpus(freeGpus, review.headroomGpus);
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
      mayRequest: (option) => !isSilent(option.zone) && !this.#backoff.isBackingOff(option, now),
      wasRefused: (option) => this.#backoff.wasRefused(option, now),
      isSilent,
      isSpotOnly: (spec) => this.#isSpotOnly(spec),
    });
  }

  /**
   * The suspect machines, for which replacements are booted before their worker leases expire. Empty if half of all
   * machines or more are suspect: then the fault is probably not in the machines.
   */
  #machinesToReplace(statusByName: ReadonlyMap<string, MachineStatus>): readonly MachineStatus[] {
    const suspects = [...statusByName.values()].filter(
      (machine) =>
        isSuspect(machine, this.clusterConfig) && machine.silentMs < this.clusterConfig.workerLeaseMs * REPLACED_LEASES,
    );
    return suspects.length * 2 < statusByName.size ? suspects : [];
  }

  /** Whether the machine is being drained only because it is idle. */
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

  /** Adds to the review the idle machines that can be spared, and the nearly empty ones to consolidate. */
  #planScaleIn(review: Review, scaleOut: readonly PlannedScaleOut[], keptMachines: ReadonlySet<string>): void {
    const { input, statusByName, drain, scaleIn } = review;
    const isScalingOut = scaleOut.length > 0;
    const idle = this.#idleScaleIn(review, isScalingOut, keptMachines);
    for (const name of idle.drain) drain.add(name);
    scaleIn.push(...idle.scaleIn);
    const hasUnmetDemand = input.unschedulable.some(({ job }) => !this.#isSpotOnly(job.spec));
    if (isScalingOut || hasUnmetDemand) return;
    const consolidated = this.#consolidator.plan({
      now: input.now,
      types: input.types,
      partitioner: input.partitioner,
      pinned: input.pinned,
      machines: statusByName.values(),
      draining: this.#draining,
      spareOrdinaryGpus: idle.spareGpus,
    });
    for (const name of consolidated) drain.add(name);
  }

  #idleScaleIn(review: Review, isScalingOut: boolean, keptMachines: ReadonlySet<string>): IdleScaleIn {
    const { input, statusByName, drain, booting } = review;
    const scaleIn = new Set(review.scaleIn);
    return planIdleScaleIn({
      clusterConfig: this.clusterConfig,
      types: input.types,
      machines: statusByName.values(),
      isReturned: (name) => this.#inventory.isReturned(name),
      isExempt: (name) => scaleIn.has(name) || keptMachines.has(name) || input.pinned?.has(name) === true,
      isDraining: (name) => drain.has(name) || this.#draining.has(name),
      mayDrainMore: !isScalingOut || booting.length > 0,
      headroomGpus: review.headroomGpus,
    });
  }

  /**
   * Whether only spot machines are rented for the job: its team has no guarantee, and it may run on spot machines.
   * It uses free resources of ordinary machines, but none are rented or kept for it: long jobs of such teams would
   * make the whole cluster more expensive.
   */
  #isSpotOnly({ team: name, spot }: JobSpec): boolean {
    const team = this.clusterConfig.teams.get(name);
    return spot && team !== undefined && hasNoGuarantee(team);
  }
}
