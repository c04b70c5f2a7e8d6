// A whole deployment in simulated time: production controllers, stand-ins for everything else, and audits that check
// the invariants against the tasks that actually run on machines.
import { capacityOf, NO_RESOURCES, type Resources } from '@gingerlock/core';
import type { PartitionOwner } from '@gingerlock/daemon';
import { isGroupSpec, type ReplicaGroupSettings } from '@gingerlock/replica-groups';
import { holdRecord, type JobSpec, KEYS, LEADERSHIP, type MachineType, parseTaskName } from '@gingerlock/wire';
import { BorrowingAudit, RECLAIM_PREFIX } from '../audits/borrowing-audit';
import { GroupAudit } from '../audits/group-audit';
import type { Invariant, Violation } from '../audits/invariants';
import { LivenessAudit } from '../audits/liveness-audit';
import { MessageAudit } from '../audits/message-audit';
import { OperationsAudit } from '../audits/operations-audit';
import { OwnershipAudit } from '../audits/ownership-audit';
import { PlacementAudit } from '../audits/placement-audit';
import { SimCloud } from '../standins/cloud';
import type { RentedMachine } from '../standins/cloud-records';
import { SimStateService } from '../standins/state-service';
import { SimUsers } from '../standins/users';
import { SimWorker } from '../standins/worker';
import type { WorkerWorld } from '../standins/worker-world';
import { controllerSettings } from './controller-settings';
import { type Deployment, ONE_TYPE } from './deployment';
import { groupBoundMs, groupSettingsOf } from './group-bounds';
import { Network } from './network';
import { RandomJobs } from './random-jobs';
import { Sim } from './sim';
import { type ControllersWorld, createNodes, SimControllers, type SimNode } from './sim-controllers';
import { TaskTracker } from './task-tracker';
import { GUEST_TEAM, WORLD_DEFAULTS, type WorldOptions } from './world-options';

/** The duration of an image fetch if the deployment does not define it by machine type. */
const DEFAULT_FETCH_MS = 2000;

/** The longest a save may take per second of the job's `saveS`, including the allowed slack. */
const SAVE_MS_PER_S = 1250;

/** A simulated deployment. Running its `sim` runs the deployment. */
export class World implements WorkerWorld, ControllersWorld {
  readonly sim: Sim;
  readonly network: Network;
  readonly state: SimStateService;
  readonly cloud: SimCloud;
  readonly nodes: SimNode[];
  /** The machines that are up, by name. */
  readonly workers = new Map<string, SimWorker>();
  readonly deployment: Deployment;
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly cancellationBoundMs: number;
  readonly guestTeam = GUEST_TEAM;

  /** Bytes and messages that controllers have sent to each other. */
  peerBytes = 0;
  peerMessages = 0;
  /** The number of attempts that have begun to run. */
  startedAttempts = 0;
  /** The share of jobs that are cancelled when their last task completes. */
  cancelOnCompletionShare = 0;
  /** Controllers that are unreachable and answer no requests. */
  readonly silent = new Set<string>();
  /** Jobs submitted with a mistake, whose tasks always fail, with the number of task starts and the first start. */
  readonly brokenJobs = new Map<string, { starts: number; firstStartAt: number | null }>();
  /** Machines that have been faulty at any time. */
  readonly everUnhealthy = new Set<string>();
  /** The time at which the last fault of the scenario ends. */
  quietAt = Infinity;

  /** Violations of invariants, in the order in which they were found. */
  readonly violations: Violation[] = [];
  /** The number of times each recorded occurrence happened. */
  readonly occurrences = new Map<string, number>();
  readonly tasks = new TaskTracker();
  readonly users = new SimUsers(this);
  readonly placement = new PlacementAudit(this);
  readonly operations = new OperationsAudit(this);
  readonly liveness = new LivenessAudit(this);
  readonly ownership = new OwnershipAudit(this);
  readonly borrowing = new BorrowingAudit(this);
  readonly groups = new GroupAudit(this);
  readonly messages = new MessageAudit(this);

  /** Null: replica groups are off. */
  replicaGroups: ReplicaGroupSettings | null;
  /** The parsed features file for controllers that start from now on. */
  features: unknown;
  readonly #controllers = new SimControllers(this);
  readonly #randomJobs: RandomJobs;

  /** Boots the initial machines without a boot delay and starts all controllers. */
  constructor(readonly options: WorldOptions) {
    this.features = options.features;
    this.replicaGroups = groupSettingsOf(options.features);
    this.deployment = options.deployment ?? ONE_TYPE;
    this.heartbeatIntervalMs = (options.heartbeatIntervalS ?? WORLD_DEFAULTS.heartbeatIntervalS) * 1000;
    this.workerLeaseMs = (options.workerLeaseS ?? WORLD_DEFAULTS.workerLeaseS) * 1000;
    this.cancellationBoundMs = (options.cancellationBoundS ?? WORLD_DEFAULTS.cancellationBoundS) * 1000;
    this.sim = new Sim(options.seed);
    this.network = new Network(this.sim);
    this.state = this.#createStateService();
    const controllerCount = options.controllers ?? WORLD_DEFAULTS.controllers;
    this.nodes = createNodes(this.sim, controllerCount, this.deployment.controllerZones);
    this.cloud = this.#createCloud();
    this.#randomJobs = new RandomJobs(this.sim, this.deployment, options.jobs ?? {});
    this.#bootMachines(options.machines ?? WORLD_DEFAULTS.machines);
    for (const node of this.nodes) this.startNode(node.name);
  }

  #createStateService(): SimStateService {
    const state = new SimStateService(this.sim);
    state.onStored = (key) => {
      if (this.replicaGroups !== null) this.groups.stored(key);
      if (this.options.features !== undefined && key.startsWith(RECLAIM_PREFIX)) this.borrowing.audit(Infinity);
    };
    state.onInvalid = (why) => this.reportViolation('refused', why);
    this.network.hosts.set('state:1', (method, path, body, from) => state.handle(method, path, body, from));
    return state;
  }

  #createCloud(): SimCloud {
    const cloud = new SimCloud({
      sim: this.sim,
      types: this.deployment.types,
      neverUp: this.deployment.neverUp,
      capacity: this.options.capacity ?? WORLD_DEFAULTS.capacity,
      onUp: (machine) => this.#addWorker(machine),
      onReturned: (name) => this.#returnMachine(name),
    });
    this.network.hosts.set('cloud:1', (method, path, body) => cloud.handle(method, path, body));
    return cloud;
  }

  #bootMachines(count: number): void {
    const { types, zones } = this.deployment;
    for (let i = 0; i < count; i++) this.cloud.boot(types[0]!, zones[i % zones.length]!, false, 0);
  }

  // --- properties of the deployment --------------------------------------------------------------------------------

  /** The guaranteed GPUs of each team except the guest team. */
  get guaranteedGpus(): number {
    return this.options.guaranteedGpus ?? WORLD_DEFAULTS.guaranteedGpus;
  }

  /** The GPU limit of each team. */
  get gpusMax(): number {
    return this.options.gpusMax ?? WORLD_DEFAULTS.gpusMax;
  }

  /** The longest save time of any submitted job's task, including the allowed slack. */
  get longestSaveMs(): number {
    const saveS = Math.max(0, ...[...this.users.observedByJob.values()].map(({ spec }) => spec.saveS));
    return saveS * SAVE_MS_PER_S;
  }

  machineType(name: string): MachineType | undefined {
    return this.deployment.types.find((type) => type.name === name);
  }

  /** Returns the resources of a machine of the type; no resources if the type does not exist. */
  capacityOfType(type: string): Resources {
    const machineType = this.machineType(type);
    return machineType === undefined ? NO_RESOURCES : capacityOf(machineType);
  }

  fetchMs({ imageGb }: JobSpec, type: string): number {
    if (this.deployment.fetch === null) return DEFAULT_FETCH_MS;
    return (imageGb / this.machineType(type)!.fetchGbPerS) * 1000;
  }

  /** The names of all controllers, including those that do not run. */
  get controllers(): string[] {
    return this.nodes.map(({ name }) => name);
  }

  /** Returns the zone of a host on the network; null: the host is regional. */
  zoneOf(host: string): string | null {
    const name = host.replace(/^peer:/, '').replace(/:\d+$/, '');
    return this.workers.get(name)?.zone ?? this.nodes.find((node) => node.name === name)?.zone ?? null;
  }

  // --- controllers -------------------------------------------------------------------------------------------------

  /** Returns the leader according to the state service; null: there is no leader. */
  leader(): string | null {
    const hold = this.state.data.get(KEYS.hold(LEADERSHIP));
    return hold === undefined ? null : holdRecord.read(hold.value).node;
  }

  /** Returns the parsed settings file of a controller. */
  settings(node: string): unknown {
    return controllerSettings(this, node);
  }

  /** Starts a controller's process, unless it already runs. */
  startNode(name: string): void {
    this.#controllers.start(name);
  }

  /** Kills a controller without notice. */
  crash(name: string): void {
    this.#controllers.crash(name);
  }

  /** Makes the wall clock of each controller jump from one end of the allowed skew to the other. */
  jumpClocks(): void {
    this.#controllers.jumpClocks();
  }

  onAnsweredByOwner(node: string, owner: PartitionOwner): void {
    this.ownership.checkAnswer(node, owner);
  }

  /** Changes the features of controllers that start from now on. */
  switchFeatures(features: unknown): void {
    this.features = features;
    this.replicaGroups = groupSettingsOf(features);
  }

  // --- machines ----------------------------------------------------------------------------------------------------

  #addWorker({ name, type, zone, spot }: RentedMachine): void {
    const worker = new SimWorker(this, name, type, zone, spot);
    worker.done = (taskName) => this.#completeTask(taskName);
    this.workers.set(name, worker);
    this.liveness.machineUp(name);
  }

  #completeTask(taskName: string): void {
    const { job } = parseTaskName(taskName)!;
    this.tasks.complete(taskName);
    if (this.tasks.completedOf(job) !== this.job(job)!.tasks) return;
    if (this.sim.random() < this.cancelOnCompletionShare) void this.users.cancel(job);
  }

  #returnMachine(name: string): void {
    const worker = this.workers.get(name);
    if (worker !== undefined) this.liveness.machineReturned(worker);
    this.kill(name, 'gone');
  }

  /** Ends a machine with all its tasks, and lists it as failed or no longer lists it. */
  kill(name: string, listedAs: 'failed' | 'gone'): void {
    this.workers.get(name)?.die();
    this.workers.delete(name);
    this.cloud.end(name, listedAs);
  }

  // --- tasks -------------------------------------------------------------------------------------------------------

  onMessage(machine: string, body: Uint8Array): void {
    this.messages.check(machine, body);
  }

  onCommanded(taskName: string, attempt: number, machine: string): void {
    this.groups.onStartCommand(taskName, attempt, machine);
    this.placement.checkCommand(taskName);
  }

  onTask(taskName: string, machine: string): void {
    this.startedAttempts++;
    const spec = this.#specOf(taskName);
    this.liveness.taskStarted(spec.id, machine);
    this.operations.started(spec.id);
    this.placement.checkRunsOnce(taskName, machine);
    this.tasks.place(taskName, machine, spec);
    this.placement.checkStart(taskName, machine, spec);
  }

  offTask(taskName: string, machine: string): void {
    this.tasks.leave(taskName, machine, this.#specOf(taskName));
  }

  stoppedTask(taskName: string, runMs: number, isSaved: boolean): void {
    this.tasks.stop(taskName, runMs, isSaved, this.#specOf(taskName));
  }

  #specOf(taskName: string): JobSpec {
    return this.job(parseTaskName(taskName)!.job)!;
  }

  get savedMs(): ReadonlyMap<string, number> {
    return this.tasks.savedMs;
  }

  /** GPU seconds of work lost because a task was stopped without saving. */
  get lostGpuSeconds(): number {
    return this.tasks.lostGpuSeconds;
  }

  /** The longest time that a task kept running after its user was told that the job is cancelled. */
  get longestCancelledMs(): number {
    return this.placement.longestCancelledMs;
  }

  /** The highest number of GPUs that any team has used at a time. */
  get peakGpus(): number {
    return this.placement.peakGpus;
  }

  runningTasks(): ReadonlyMap<string, string> {
    return this.tasks.machineByTask;
  }

  /** Returns the number of running tasks of the job. */
  tasksOn(job: string): number {
    return this.tasks.runningOf(job).size;
  }

  isDone(taskName: string): boolean {
    return this.tasks.isCompleted(taskName);
  }

  doneOf(id: string): number {
    return this.tasks.completedOf(id);
  }

  // --- jobs --------------------------------------------------------------------------------------------------------

  job(id: string): JobSpec | undefined {
    return this.users.observedByJob.get(id)?.spec;
  }

  /** Draws the next random job without submitting it. */
  randomJob(): JobSpec {
    return this.#randomJobs.next();
  }

  isBroken(id: string): boolean {
    return this.brokenJobs.has(id);
  }

  /** Whether the tasks of the job are the members of a replica group. */
  isGroup(job: string): boolean {
    const spec = this.job(job);
    return spec !== undefined && isGroupSpec(this.replicaGroups, spec);
  }

  /** How long a group may take from one state to the next, including its longest backoff; 0 if groups are off. */
  get groupBoundMs(): number {
    if (this.replicaGroups === null) return 0;
    return groupBoundMs({
      settings: this.replicaGroups,
      controllerSettings: this.settings(this.nodes[0]!.name),
      jobs: [...this.users.observedByJob.values()].map(({ spec }) => spec),
      types: this.deployment.types,
      longestSaveMs: this.longestSaveMs,
    });
  }

  // --- audits ------------------------------------------------------------------------------------------------------

  recordOccurrence(what: string, times = 1): void {
    this.occurrences.set(what, (this.occurrences.get(what) ?? 0) + times);
  }

  reportViolation(rule: Invariant, detail: string): void {
    this.violations.push({ rule, at: this.sim.now, detail });
  }

  /** Checks the invariants that depend on elapsed time; must be called periodically. */
  audit(): void {
    this.placement.audit();
    this.ownership.audit();
    this.liveness.audit(this.quietAt);
    this.operations.audit(this.quietAt);
    if (this.options.features !== undefined) this.borrowing.audit(this.quietAt);
    if (this.replicaGroups !== null) this.groups.audit(this.quietAt);
  }
}
