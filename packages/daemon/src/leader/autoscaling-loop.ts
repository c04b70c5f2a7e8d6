// The leader's requests to the cloud: reads its lists, and scales the fleet out and in as the autoscaler plans it.
import { Cloud, type Http, sleep, URGENCY } from '@gingerlock/clients';
import { Autoscaler, type OwnershipTerm, type PartitionStatus, type UnschedulableDemand } from '@gingerlock/core';
import {
  type CloudMachine,
  type JobSpec,
  KEYS,
  type MachineType,
  machineTypesMap,
  type RentRequest,
  MAX_MACHINES_PER_RETURN,
} from '@gingerlock/wire';
import { MachineTypeCatalog } from './machine-type-catalog';
import type { ControllerContext } from '../controller/controller-context';

/** What the autoscaling goes by: the leader's view of the work and of the machines, as of now. */
export interface SchedulerView {
  /** The statuses that the partitions' current owners sent lately. */
  statuses(now: number): readonly PartitionStatus[];
  /** Tasks that fit no machine. */
  unschedulable(): readonly UnschedulableDemand[];
  /** Machines that are neither drained for consolidation nor scaled in while idle. */
  pinned(): ReadonlySet<string>;
}

/** What owners have to know of machines; sent to them with every status, since a message may be lost. */
export interface MachineDirectives {
  /** Machines that get no more work. */
  readonly drain: readonly string[];
  /** Machines that are gone for certain. */
  readonly gone: readonly string[];
}

/** How often a scale-out is requested under one name while its outcome is not known. */
const RENT_TRIES = 4;

/** The loop runs so many times in a heartbeat interval, as far as the cloud's request rate allows. */
const RUNS_PER_HEARTBEAT = 3;

/** Requests to the cloud that one run of the loop is counted as. */
const REQUESTS_PER_RUN = 3;

/** Machine types are read again after so many times the lag of the cloud's list. */
const TYPES_AGE_LAGS = 10;

/** The cloud's list is read so many times within its lag. */
const LISTS_PER_LAG = 2;

/** For how many worker leases owners are sent the name of a machine that is gone. */
const GONE_LEASES = 2;

/** All machines that are up have sent a heartbeat within so many intervals. */
const FLEET_KNOWN_INTERVALS = 2;

/** Types without their prices, as text: those of spot machines change all the time, and only this leader uses them. */
function withoutSpotPrices(typesMap: unknown): string {
  return JSON.stringify(typesMap).replace(/"low_price":[0-9.]+/g, '');
}

/** Runs for one term of leadership, from its construction until it is stopped. */
export class AutoscalingLoop {
  readonly #autoscaler: Autoscaler;
  readonly #cloud: Cloud;
  readonly #machineTypes: MachineTypeCatalog;
  /** Since when owners' statuses have come without a stall of this process. */
  #listeningSince: number;
  #drain: readonly string[] = [];
  /** By machine that is gone for certain: since when this is known. */
  readonly #goneSince = new Map<string, number>();
  #isStopped = false;
  #hasListed = false;
  #listedAt = -Infinity;
  #typesReadAt = -Infinity;
  #figuresLoggedAt = -Infinity;

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    http: Http,
    readonly view: SchedulerView,
  ) {
    this.#autoscaler = new Autoscaler(context.clusterConfig, ownershipTerm.term, context.settings.operators);
    this.#cloud = new Cloud(http, context.settings.cloud, context.clusterConfig.heartbeatIntervalMs * 2);
    this.#machineTypes = new MachineTypeCatalog(context.clusterConfig.zones, context.log);
    this.#listeningSince = context.clock.now();
    void this.#loop();
  }

  /** Ends the loop; a request that is under way is not repeated. */
  stop(): void {
    this.#isStopped = true;
  }

  /** This process has stalled: the fleet is not changed before all machines have had time for a heartbeat again. */
  resumedAfterStall(now: number): void {
    this.#listeningSince = now;
  }

  /** What owners are to be sent now. */
  directives(): MachineDirectives {
    return { drain: this.#drain, gone: [...this.#goneSince.keys()] };
  }

  /** How long until a machine that is scaled out now could run a task of the job, in milliseconds; Infinity: never. */
  scaleOutMs(job: JobSpec): number {
    return this.#autoscaler.scaleOutMs(job, this.context.clusterState.types);
  }

  /** Whether the cloud has lately refused machines for the job in the zone, for lack of capacity. */
  lacksCapacityFor(job: JobSpec, zone: string): boolean {
    return this.#autoscaler.lacksCapacityFor(job, zone, this.#machineTypes.current, this.context.clock.now());
  }

  #isLeading(): boolean {
    return this.ownershipTerm.isCurrent && !this.#isStopped;
  }

  /** Whether the cloud may be asked for changes now: checked again before each request. */
  #mayManage(): boolean {
    return this.#isLeading() && this.context.leaseValid() && this.context.fresh();
  }

  async #loop(): Promise<void> {
    const { clusterConfig, clock, log, settings } = this.context;
    const paceMs = Math.max(
      clusterConfig.heartbeatIntervalMs / RUNS_PER_HEARTBEAT,
      (REQUESTS_PER_RUN * 1000) / settings.cloudRps,
    );
    while (!this.#isStopped) {
      try {
        await this.#runOnce(clock.now(), paceMs);
      } catch (error) {
        log.info({ error: String(error) }, 'cloud request failed');
      }
      this.#forgetGone();
      await sleep(clock, paceMs);
    }
  }

  async #runOnce(now: number, paceMs: number): Promise<void> {
    const { clusterConfig, clusterState } = this.context;
    const { cloudListLagMs } = clusterConfig;
    const areTypesOld = now - this.#typesReadAt > cloudListLagMs * TYPES_AGE_LAGS;
    if (areTypesOld || clusterState.types.size === 0) await this.#readTypes();
    if (now - this.#listedAt > Math.max(cloudListLagMs / LISTS_PER_LAG, paceMs)) {
      this.#listedAt = now;
      await this.#readMachines();
    }
    if (this.#mayManage()) await this.#manage();
  }

  // --- what the cloud says -----------------------------------------------------------------------------------------

  async #readMachines(): Promise<void> {
    const { clock } = this.context;
    const listed = this.#knownMachines(await this.#cloud.list());
    const { failed } = this.#autoscaler.applyCloudList(listed, clock.now());
    for (const name of failed) this.#goneSince.set(name, clock.now());
    this.#hasListed = true;
  }

  #knownMachines(listed: readonly CloudMachine[]): CloudMachine[] {
    return this.#machineTypes.knownKinds(listed, (machine) => this.#autoscaler.machines.has(machine));
  }

  async #readTypes(): Promise<void> {
    const { clock, clusterState } = this.context;
    const list = await this.#cloud.types();
    this.#typesReadAt = clock.now();
    // Before the machines have been listed it is not known which types are used.
    const isUsed = (type: string): boolean => !this.#hasListed || this.#autoscaler.hasMachineOfType(type);
    await this.#storeTypes(this.#machineTypes.read(list, clusterState.types.values(), isUsed));
  }

  /** Stores the types for all controllers, unless only prices of spot machines have changed. */
  async #storeTypes(types: readonly MachineType[]): Promise<void> {
    const { context } = this;
    const value = machineTypesMap(types);
    const stored = machineTypesMap([...context.clusterState.types.values()]);
    if (withoutSpotPrices(value) === withoutSpotPrices(stored)) return;
    await context.commitWithRetry(URGENCY.accept, [this.ownershipTerm.condition], [{ put: KEYS.types, value }], () =>
      this.#isLeading(),
    );
  }

  #forgetGone(): void {
    const { clusterConfig, clock } = this.context;
    for (const [name, since] of this.#goneSince)
      if (clock.now() - since > clusterConfig.workerLeaseMs * GONE_LEASES) this.#goneSince.delete(name);
  }

  // --- changes of the fleet ----------------------------------------------------------------------------------------

  async #manage(): Promise<void> {
    const { clock, clusterState } = this.context;
    const now = clock.now();
    const statuses = this.view.statuses(now);
    if (!this.#mayPlan(statuses, now)) return;
    const plan = this.#autoscaler.plan({
      now,
      types: this.#machineTypes.current,
      statuses,
      unschedulable: this.view.unschedulable(),
      partitioner: clusterState.partitioner!,
      pinned: this.view.pinned(),
    });
    this.#drain = plan.drain;
    this.#logFigures(statuses, now);
    if (plan.scaleIn.length > 0) await this.#scaleIn(plan.scaleIn.slice(0, MAX_MACHINES_PER_RETURN));
    for (const request of plan.scaleOut) {
      // While the cloud was asked, the leadership may have been lost or this process have stalled: the next leader
      // scales out too.
      if (this.#mayManage()) await this.#scaleOut(request);
    }
  }

  /**
   * Whether all partitions, machines and types are known: otherwise machines would be scaled out for resources that are
   * free.
   */
  #mayPlan(statuses: readonly PartitionStatus[], now: number): boolean {
    const { clusterConfig, clusterState } = this.context;
    const isEveryPartitionKnown = statuses.length === (clusterState.meta?.partitionCount ?? Infinity);
    const hadTimeToHear = now - this.#listeningSince >= clusterConfig.heartbeatIntervalMs * FLEET_KNOWN_INTERVALS;
    const isFleetKnown = hadTimeToHear || this.#autoscaler.hasStatusOfAll(statuses);
    return this.#hasListed && isEveryPartitionKnown && isFleetKnown && this.#machineTypes.current.size > 0;
  }

  #logFigures(statuses: readonly PartitionStatus[], now: number): void {
    const { clusterConfig, clusterState, log } = this.context;
    if (now - this.#figuresLoggedAt <= clusterConfig.cloudListLagMs) return;
    this.#figuresLoggedAt = now;
    log.debug(this.#autoscaler.figures(statuses, clusterState.types), 'fleet figures');
  }

  async #scaleIn(names: readonly string[]): Promise<void> {
    const { clock, log } = this.context;
    if (!(await this.#cloud.scaleIn(names))) return;
    this.#autoscaler.recordScaleIn(names, clock.now());
    for (const name of names) this.#goneSince.set(name, clock.now());
    log.info({ machines: names }, 'machines scaled in');
  }

  /** A request whose outcome is unknown is repeated under the same name: the cloud rents nothing twice for it. */
  async #scaleOut(request: RentRequest): Promise<void> {
    const { clock, log, clusterConfig } = this.context;
    for (let tries = 0; tries < RENT_TRIES && this.#mayManage(); tries++) {
      const result = await this.#cloud.rent(request);
      if (result.kind === 'rented') {
        this.#autoscaler.recordScaleOut(result.names, request, clock.now());
        log.info({ ...request, machines: result.names }, 'machines scaled out');
        return;
      }
      if (result.kind === 'no capacity') {
        this.#autoscaler.recordCapacityRefusal(request, clock.now());
        log.info({ ...request }, 'scale-out refused: no capacity');
        return;
      }
      log.info({ ...request, why: result.why }, 'scale-out unanswered');
      await sleep(clock, clusterConfig.heartbeatIntervalMs / 2);
    }
    this.#autoscaler.recordCapacityRefusal(request, clock.now());
  }
}
