// The leader's autoscaling loop: reads the cloud's lists, and scales the fleet out and in as the autoscaler plans.
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
import type { ControllerContext } from '../controller/controller-context';
import { MachineTypeCatalog } from './machine-type-catalog';

/** The leader's current view of work and machines, which the autoscaling loop plans from. */
export interface SchedulerView {
  /** The recent statuses of the partitions' current owners. */
  statuses(now: number): readonly PartitionStatus[];
  /** Tasks that fit no machine. */
  unschedulable(): readonly UnschedulableDemand[];
  /** Machines that are neither drained for consolidation nor scaled in while idle. */
  pinned(): ReadonlySet<string>;
}

/** What the leader tells owners about machines. It is sent again with every status, because a message may be lost. */
export interface MachineDirectives {
  /** Names of machines that get no more work. */
  readonly drain: readonly string[];
  /** Names of machines that no longer exist, as the cloud has confirmed. */
  readonly gone: readonly string[];
}

/** How many times a scale-out is requested under one name while its outcome is unknown. */
const MAX_SCALE_OUT_TRIES = 4;

/** Runs of the loop per heartbeat interval, if the cloud's request rate allows. */
const RUNS_PER_HEARTBEAT = 3;

/** Cloud requests that one run of the loop is assumed to make. */
const REQUESTS_PER_RUN = 3;

/** Age at which machine types are read again, in lags of the cloud's machine list. */
const TYPES_MAX_AGE_LAGS = 10;

/** Number of times that the cloud's machine list is read within its lag. */
const LISTS_PER_LAG = 2;

/** Number of worker leases during which owners are told that a machine no longer exists. */
const GONE_LEASES = 2;

/** Number of heartbeat intervals within which all running machines have sent a heartbeat. */
const FLEET_KNOWN_INTERVALS = 2;

/** The types as JSON without spot prices, which change often and are used only by this leader. */
function withoutSpotPrices(typesMap: unknown): string {
  return JSON.stringify(typesMap).replace(/"low_price":[0-9.]+/g, '');
}

/** The autoscaling loop of one term of leadership. It runs from its construction until it is stopped. */
export class AutoscalingLoop {
  readonly #autoscaler: Autoscaler;
  readonly #cloud: Cloud;
  readonly #machineTypes: MachineTypeCatalog;
  /** Start of the period in which this process has received owners' statuses without a stall. */
  #listeningSince: number;
  #drain: readonly string[] = [];
  /** By name of a machine that no longer exists: since when this is known. */
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

  /** Ends the loop. A request in progress is not repeated. */
  stop(): void {
    this.#isStopped = true;
  }

  /** After a stall of this process, delays fleet changes until all machines have had time for a heartbeat. */
  resumedAfterStall(now: number): void {
    this.#listeningSince = now;
  }

  /** The directives to send to owners now. */
  directives(): MachineDirectives {
    return { drain: this.#drain, gone: [...this.#goneSince.keys()] };
  }

  /** Time until a machine that is scaled out now could run a task of the job, in milliseconds; Infinity: never. */
  scaleOutMs(job: JobSpec): number {
    return this.#autoscaler.scaleOutMs(job, this.context.clusterState.types);
  }

  /** Whether the cloud has recently refused machines for the job in the zone for lack of capacity. */
  lacksCapacityFor(job: JobSpec, zone: string): boolean {
    return this.#autoscaler.lacksCapacityFor(job, zone, this.#machineTypes.current, this.context.clock.now());
  }

  #isLeading(): boolean {
    return this.ownershipTerm.isCurrent && !this.#isStopped;
  }

  /** Whether fleet changes may be requested from the cloud now; checked again before each request. */
  #mayChangeFleet(): boolean {
    return this.#isLeading() && this.context.isLeaseValid() && this.context.isFresh();
  }

  async #loop(): Promise<void> {
    const { clusterConfig, clock, log, settings } = this.context;
    const intervalMs = Math.max(
      clusterConfig.heartbeatIntervalMs / RUNS_PER_HEARTBEAT,
      (REQUESTS_PER_RUN * 1000) / settings.cloudRps,
    );
    while (!this.#isStopped) {
      try {
        await this.#runOnce(clock.now(), intervalMs);
      } catch (error) {
        log.info({ error: String(error) }, 'cloud request failed');
      }
      this.#forgetGone();
      await sleep(clock, intervalMs);
    }
  }

  async #runOnce(now: number, intervalMs: number): Promise<void> {
    const { clusterConfig, clusterState } = this.context;
    const { cloudListLagMs } = clusterConfig;
    const areTypesOld = now - this.#typesReadAt > cloudListLagMs * TYPES_MAX_AGE_LAGS;
    if (areTypesOld || clusterState.types.size === 0) await this.#readTypes();
    if (now - this.#listedAt > Math.max(cloudListLagMs / LISTS_PER_LAG, intervalMs)) {
      this.#listedAt = now;
      await this.#readMachines();
    }
    if (this.#mayChangeFleet()) await this.#changeFleet();
  }

  // --- the cloud's lists -------------------------------------------------------------------------------------------

  async #readMachines(): Promise<void> {
    const { clock } = this.context;
    const listed = this.#acceptedMachines(await this.#cloud.list());
    const { failed } = this.#autoscaler.applyCloudList(listed, clock.now());
    for (const name of failed) this.#goneSince.set(name, clock.now());
    this.#hasListed = true;
  }

  #acceptedMachines(listed: readonly CloudMachine[]): CloudMachine[] {
    return this.#machineTypes.acceptedMachines(listed, (machine) => this.#autoscaler.machines.has(machine));
  }

  async #readTypes(): Promise<void> {
    const { clock, clusterState } = this.context;
    const list = await this.#cloud.types();
    this.#typesReadAt = clock.now();
    // Until the machines have been listed, any type may be in use.
    const isUsed = (type: string): boolean => !this.#hasListed || this.#autoscaler.hasMachineOfType(type);
    await this.#storeTypes(this.#machineTypes.read(list, clusterState.types.values(), isUsed));
  }

  /** Stores the types for all controllers, unless only spot prices have changed. */
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

  async #changeFleet(): Promise<void> {
    const { clock, clusterState, workTimer } = this.context;
    const now = clock.now();
    const statuses = this.view.statuses(now);
    if (!this.#mayPlan(statuses, now)) return;
    const input = {
      now,
      types: this.#machineTypes.current,
      statuses,
      unschedulable: this.view.unschedulable(),
      partitioner: clusterState.partitioner!,
      pinned: this.view.pinned(),
    };
    const plan = workTimer.run('fleet plan', () => this.#autoscaler.plan(input));
    this.#drain = plan.drain;
    this.#logFigures(statuses, now);
    if (plan.scaleIn.length > 0) await this.#scaleIn(plan.scaleIn.slice(0, MAX_MACHINES_PER_RETURN));
    for (const request of plan.scaleOut) {
      // During the previous requests, leadership may have been lost or this process may have stalled. The next leader
      // would then scale out for the same demand.
      if (this.#mayChangeFleet()) await this.#scaleOut(request);
    }
  }

  /**
   * Whether all partitions, machines and types are known. Otherwise, the autoscaler would scale out although
   * resources are free.
   */
  #mayPlan(statuses: readonly PartitionStatus[], now: number): boolean {
    const { clusterConfig, clusterState } = this.context;
    const isEveryPartitionKnown = statuses.length === (clusterState.meta?.partitionCount ?? Infinity);
    const hadTimeForHeartbeats =
      now - this.#listeningSince >= clusterConfig.heartbeatIntervalMs * FLEET_KNOWN_INTERVALS;
    const isFleetKnown = hadTimeForHeartbeats || this.#autoscaler.hasStatusOfAll(statuses);
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

  /** Repeats a request whose outcome is unknown under the same name, so that the cloud rents no machine twice. */
  async #scaleOut(request: RentRequest): Promise<void> {
    const { clock, log, clusterConfig } = this.context;
    for (let tries = 0; tries < MAX_SCALE_OUT_TRIES && this.#mayChangeFleet(); tries++) {
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
      log.info({ ...request, why: result.why }, 'scale-out outcome unknown');
      await sleep(clock, clusterConfig.heartbeatIntervalMs / 2);
    }
    this.#autoscaler.recordCapacityRefusal(request, clock.now());
  }
}
