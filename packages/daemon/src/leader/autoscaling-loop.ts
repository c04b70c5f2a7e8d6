// The leader's dealings with the cloud: reads its lists, rents and returns machines as the fleet's plan says.
import { Cloud, type Http, sleep, URGENCY } from '@gingerlock/clients';
import { Autoscaler, type PartitionStatus, type OwnershipTerm, type UnschedulableDemand } from '@gingerlock/core';
import {
  type CloudMachine,
  type JobSpec,
  KEYS,
  machineTypesMap,
  type RentRequest,
  RETURN_MOST,
} from '@gingerlock/wire';
import { MachineTypeCatalog } from './machine-type-catalog';
import type { ControllerContext } from '../controller/controller-context';

/** What the leader knows of the work and of the machines, as of now. */
export interface SchedulerView {
  statuses(now: number): readonly PartitionStatus[];
  /** Tasks that have no room anywhere. */
  unschedulable(): readonly UnschedulableDemand[];
  /** Machines that are neither emptied nor given back while idle. */
  pinned(): ReadonlySet<string>;
}

/** Machines that get no more work, and those that are surely gone: told to the owners again and again. */
export interface MachineDirectives {
  readonly drain: readonly string[];
  readonly gone: readonly string[];
}

/** How often a rental is sent under one name while its outcome is not known. */
const RENT_TRIES = 4;

export class AutoscalingLoop {
  readonly #autoscaler: Autoscaler;
  readonly #cloud: Cloud;
  readonly #machineTypes: MachineTypeCatalog;
  /** Since when it has listened to the owners without standing still. */
  #since: number;
  #drain: readonly string[] = [];
  readonly #gone = new Map<string, number>();
  #stopped = false;
  #listed = false;
  #typesAt = -Infinity;
  #loggedAt = -Infinity;

  constructor(
    readonly context: ControllerContext,
    readonly ownershipTerm: OwnershipTerm,
    http: Http,
    readonly view: SchedulerView,
  ) {
    this.#autoscaler = new Autoscaler(context.clusterConfig, ownershipTerm.term, context.settings.operators);
    this.#cloud = new Cloud(http, context.settings.cloud, context.clusterConfig.heartbeatIntervalMs * 2);
    this.#machineTypes = new MachineTypeCatalog(context.clusterConfig.zones, context.log);
    this.#since = context.clock.now();
    void this.#loop();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** This controller stood still: what is free, up and asked for has to be heard anew before the fleet is changed. */
  resumedAfterStall(now: number): void {
    this.#since = now;
  }

  directives(): MachineDirectives {
    return { drain: this.#drain, gone: [...this.#gone.keys()] };
  }

  /** How long until a machine that is rented now could run a task of the job, in milliseconds; Infinity: none can be had. */
  scaleOutMs(job: JobSpec): number {
    return this.#autoscaler.scaleOutMs(job, this.context.clusterState.types);
  }

  /** Whether the cloud had no room lately for the job in the zone. */
  lacksCapacityFor(job: JobSpec, zone: string): boolean {
    return this.#autoscaler.lacksCapacityFor(job, zone, this.#machineTypes.current, this.context.clock.now());
  }

  #isLeading(): boolean {
    return this.ownershipTerm.isCurrent && !this.#stopped;
  }

  /** Whether the cloud may be asked for changes now: looked at again before each request. */
  #mayManage(): boolean {
    return this.#isLeading() && this.context.leaseValid() && this.context.fresh();
  }

  async #loop(): Promise<void> {
    const { context } = this;
    const { clusterConfig, clock, settings } = context;
    const pace = Math.max(clusterConfig.heartbeatIntervalMs / 3, 3000 / settings.cloudRps);
    let listAt = -Infinity;
    while (!this.#stopped) {
      try {
        const now = clock.now();
        if (now - this.#typesAt > clusterConfig.cloudListLagMs * 10 || context.clusterState.types.size === 0)
          await this.#types();
        if (now - listAt > Math.max(clusterConfig.cloudListLagMs / 2, pace)) {
          listAt = now;
          const { failed } = this.#autoscaler.applyCloudList(
            this.#knownMachines(await this.#cloud.list()),
            clock.now(),
          );
          for (const name of failed) this.#gone.set(name, clock.now());
          this.#listed = true;
        }
        if (this.#mayManage()) await this.#manage();
      } catch (error) {
        context.log.info({ error: String(error) }, 'cloud request failed');
      }
      for (const [name, at] of this.#gone)
        if (clock.now() - at > clusterConfig.workerLeaseMs * 2) this.#gone.delete(name);
      await sleep(clock, pace);
    }
  }

  #knownMachines(listed: readonly CloudMachine[]): CloudMachine[] {
    return this.#machineTypes.knownKinds(listed, (machine) => this.#autoscaler.machines.has(machine));
  }

  async #types(): Promise<void> {
    const { context } = this;
    const { clusterState } = context;
    const list = await this.#cloud.types();
    this.#typesAt = context.clock.now();
    // Before the machines have been listed it is not known which types are used.
    const types = this.#machineTypes.read(
      list,
      clusterState.types.values(),
      (type) => !this.#listed || this.#autoscaler.has(type),
    );
    const value = machineTypesMap(types);
    const before = machineTypesMap([...clusterState.types.values()]);
    // Prices of spot machines move all the time; what matters to all is what the machines are.
    const still = (v: unknown): string => JSON.stringify(v).replace(/"low_price":[0-9.]+/g, '');
    if (still(value) === still(before)) return;
    await context.commitWithRetry(URGENCY.accept, [this.ownershipTerm.condition], [{ put: KEYS.types, value }], () =>
      this.#isLeading(),
    );
  }

  async #manage(): Promise<void> {
    const { context } = this;
    const { clusterConfig, clock, clusterState, log } = context;
    const now = clock.now();
    const current = this.view.statuses(now);
    const isEveryPartitionKnown = current.length === (clusterState.meta?.partitionCount ?? Infinity);
    // Until all that is up has been heard, or has had the time to be, what is free is not known.
    const isFleetKnown =
      now - this.#since >= clusterConfig.heartbeatIntervalMs * 2 || this.#autoscaler.hasHeardAll(current);
    if (!this.#listed || !isEveryPartitionKnown || !isFleetKnown || this.#machineTypes.current.size === 0) return;
    const plan = this.#autoscaler.plan({
      now,
      types: this.#machineTypes.current,
      statuses: current,
      unschedulable: this.view.unschedulable(),
      partitioner: clusterState.partitioner!,
      pinned: this.view.pinned(),
    });
    this.#drain = plan.drain;
    if (now - this.#loggedAt > clusterConfig.cloudListLagMs) {
      this.#loggedAt = now;
      log.debug(this.#autoscaler.figures(current, clusterState.types), 'fleet figures');
    }
    if (plan.scaleIn.length > 0) await this.#scaleIn(plan.scaleIn.slice(0, RETURN_MOST));
    // The lead may have been lost, or this controller have stood still, while the cloud was asked: the next leader rents too.
    for (const r of plan.scaleOut) if (this.#mayManage()) await this.#scaleOut(r);
  }

  async #scaleIn(names: readonly string[]): Promise<void> {
    const { clock, log } = this.context;
    if (!(await this.#cloud.scaleIn(names))) return;
    this.#autoscaler.recordScaleIn(names, clock.now());
    for (const name of names) this.#gone.set(name, clock.now());
    log.info({ machines: names }, 'machines scaled in');
  }

  async #scaleOut(r: RentRequest): Promise<void> {
    const { clock, log, clusterConfig } = this.context;
    // An unknown outcome is asked again under the same name: that rents nothing twice.
    for (let tries = 0; tries < RENT_TRIES && this.#mayManage(); tries++) {
      const result = await this.#cloud.rent(r);
      if (result.kind === 'rented') {
        this.#autoscaler.recordScaleOut(result.names, r, clock.now());
        log.info({ ...r, machines: result.names }, 'machines scaled out');
        return;
      }
      if (result.kind === 'no capacity') {
        this.#autoscaler.capacityRefused(r, clock.now());
        log.info({ ...r }, 'scale-out refused: no capacity');
        return;
      }
      log.info({ ...r, why: result.why }, 'scale-out unanswered');
      await sleep(clock, clusterConfig.heartbeatIntervalMs / 2);
    }
    this.#autoscaler.capacityRefused(r, clock.now());
  }
}
