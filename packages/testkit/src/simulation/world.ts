// A whole deployment in simulated time: controllers as they run for real, stand-ins for all the rest, and the rules of
// the protocol checked against what really runs where.
import {
  Controller,
  type ControllerLimits,
  type ControllerPorts,
  featuresOf,
  type Log,
  type Reply,
  settingsOf,
  SILENT,
} from '@gingerlock/daemon';
import { type Resources, NO_RESOURCES } from '@gingerlock/core';
import type { PeerMessage } from '@gingerlock/peer';
import {
  decodeHeartbeat,
  type JobSpec,
  holdRecord,
  KEYS,
  LEADERSHIP,
  type MachineType,
  parseTaskName,
} from '@gingerlock/wire';
import {
  holdBoundMs,
  isGroupSpec,
  longestBackoffMs,
  type ReplicaGroupSettings,
  startBoundMs,
} from '@gingerlock/replica-groups';
import { BorrowingAudit, RECLAIM_PREFIX } from '../audits/borrowing-audit';
import { SimCloud } from '../standins/cloud';
import type { RentedMachine } from '../standins/cloud-records';
import { type Deployment, ONE_TYPE } from './deployment';
import { GroupAudit } from '../audits/group-audit';
import { Liveness } from '../audits/liveness';
import { Network } from './network';
import { OperationsAudit } from '../audits/operations-audit';
import { OwnershipAudit } from '../audits/ownership-audit';
import type { Violation, Invariant } from '../audits/invariants';
import { Sim } from './sim';
import { SimLink } from './sim-link';
import { SimStateService, type StateLimits } from '../standins/state-service';
import { SimUsers } from '../standins/users';
import { SimWorker, type WorkerWorld } from '../standins/worker';

export interface WorldOptions {
  readonly seed: number;
  readonly log?: Log;
  /** Zones, machine types and clocks; one type if not given. */
  readonly deployment?: Deployment;
  /** How many controllers there are. */
  readonly controllers?: number;
  /** Machines that are up at the start. */
  readonly machines?: number;
  /** Machines of either kind that each zone has. */
  readonly capacity?: number;
  /** How many times the usual number of jobs arrive. */
  readonly load?: number;
  /** The platform's settings are made from these. */
  readonly heartbeatIntervalS?: number;
  readonly workerLeaseS?: number;
  readonly cancellationBoundS?: number;
  readonly gpusMax?: number;
  /** GPUs that each team but the guests is guaranteed. */
  readonly guaranteedGpus?: number;
  /** The operators' own settings, as their file says them. */
  readonly operators?: unknown;
  /** What is on of the features, as its file says it. */
  readonly features?: unknown;
  /** Limits that the state service may get during the day: `facts.state.next` of the settings. */
  readonly nextLimits?: StateLimits;
  /** What all jobs have in common. */
  readonly jobs?: Partial<JobSpec>;
  /** The largest message between controllers; a small one makes a small fleet tell of itself in pieces. */
  readonly frameBytes?: number;
  /** Bounds of the controllers that only long or large days would reach. */
  readonly limits?: Partial<ControllerLimits>;
  /** Falsifies what controllers tell each other; null: it is lost. */
  readonly falsify?: (message: PeerMessage) => PeerMessage | null;
}

/** How long the fetch of an image takes where the deployment does not say. */
const USUAL_FETCH_MS = 2000;
const TEAMS = ['red', 'blue'];
/** A team without a guarantee. */
const GUESTS = 'green';
interface Node {
  readonly name: string;
  readonly zone: string;
  controller: Controller | null;
  link: SimLink | null;
  drift: number;
  /** How far its time of day is off. */
  wallOffMs: number;
}

/** Null: replica groups are off. */
function groupSettingsOf(features: unknown): ReplicaGroupSettings | null {
  return featuresOf((features ?? {}) as Parameters<typeof featuresOf>[0]).replicaGroups;
}

export class World implements WorkerWorld {
  readonly sim: Sim;
  readonly network: Network;
  readonly state: SimStateService;
  readonly cloud: SimCloud;
  readonly nodes: Node[];
  readonly workers = new Map<string, SimWorker>();
  readonly violations: Violation[] = [];
  readonly deployment: Deployment;
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly cancellationBoundMs: number;
  /** What the controllers have told each other. */
  peerBytes = 0;
  peerMessages = 0;
  startsSeen = 0;
  /** Share of the jobs that end now which are called off at that very moment. */
  cancelAtEnd = 0;
  /** Controllers that say nothing to anybody. */
  readonly silent = new Set<string>();
  readonly guestTeam = GUESTS;
  /** Jobs that were submitted with a mistake, and how often tasks of them were started. */
  readonly brokenJobs = new Map<string, { starts: number; firstStartAt: number | null }>();
  /** Machines that were at fault at any time. */
  readonly everUnhealthy = new Set<string>();
  readonly operations = new OperationsAudit(this);
  readonly users = new SimUsers(this);
  readonly liveness = new Liveness(this);
  readonly ownership = new OwnershipAudit(this);
  readonly borrowing = new BorrowingAudit(this);
  readonly groups = new GroupAudit(this);
  /** Null: replica groups are off. */
  replicaGroups: ReplicaGroupSettings | null;
  /** What is on of the features, for controllers that start from now on. */
  #features: unknown;
  /** By task: for how long it had run when it was last saved. */
  readonly savedMs = new Map<string, number>();
  /** Run time of tasks that were stopped, in seconds of GPUs, that was not saved. */
  lostGpuSeconds = 0;
  /** How long after its user was told that it is cancelled any job had a task on a machine. */
  longestCancelledMs = 0;
  /** The most that a team has ever used. */
  peakGpus = 0;
  readonly happened = new Map<string, number>();
  /** When the last trouble of the day is over. */
  quietAt = Infinity;
  /** By task: the machine that it is on. */
  readonly #on = new Map<string, string>();
  /** The tasks that are on machines, by job. */
  readonly #onByJob = new Map<string, Set<string>>();
  /** GPUs in use, by team and by machine. */
  readonly #gpusOf = new Map<string, number>();
  readonly #gpusOn = new Map<string, number>();
  readonly #done = new Map<string, Set<string>>();
  #jobCounter = 0;

  constructor(readonly options: WorldOptions) {
    this.#features = options.features;
    this.replicaGroups = groupSettingsOf(options.features);
    this.deployment = options.deployment ?? ONE_TYPE;
    const { zones, controllerZones, types } = this.deployment;
    this.sim = new Sim(options.seed);
    this.network = new Network(this.sim);
    this.state = new SimStateService(this.sim);
    this.state.onStored = (key) => {
      if (this.replicaGroups !== null) this.groups.stored(key);
      if (this.options.features !== undefined && key.startsWith(RECLAIM_PREFIX)) this.borrowing.audit(Infinity);
    };
    this.state.onInvalid = (why) => this.reportViolation('refused', why);
    this.heartbeatIntervalMs = (options.heartbeatIntervalS ?? 1) * 1000;
    this.workerLeaseMs = (options.workerLeaseS ?? 6) * 1000;
    this.cancellationBoundMs = (options.cancellationBoundS ?? 20) * 1000;
    this.nodes = Array.from({ length: options.controllers ?? 3 }, (_, i) => ({
      name: `node-${i}`,
      zone: controllerZones[i % controllerZones.length]!,
      controller: null,
      link: null,
      drift: (this.sim.random() - 0.5) * 0.001,
      wallOffMs: 0,
    }));
    this.network.hosts.set('state:1', (method, path, body, from) => this.state.handle(method, path, body, from));
    this.cloud = new SimCloud({
      sim: this.sim,
      types,
      neverUp: this.deployment.neverUp,
      capacity: options.capacity ?? 4,
      onUp: (machine) => this.#up(machine),
      onReturned: (name) => this.#returned(name),
    });
    this.network.hosts.set('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    for (let i = 0; i < (options.machines ?? 6); i++) this.cloud.boot(types[0]!, zones[i % zones.length]!, false, 0);
    for (const node of this.nodes) this.startNode(node.name);
  }

  get guaranteedGpus(): number {
    return this.options.guaranteedGpus ?? 4;
  }

  /** The longest that any job's task may take to save, with the slack that it gets. */
  get longestSaveMs(): number {
    return Math.max(0, ...[...this.users.observedByJob.values()].map(({ spec }) => spec.saveS)) * 1250;
  }

  get gpusMax(): number {
    return this.options.gpusMax ?? 10;
  }

  machineType(name: string): MachineType | undefined {
    return this.deployment.types.find((type) => type.name === name);
  }

  fetchMs({ imageGb }: JobSpec, type: string): number {
    if (this.deployment.fetch === null) return USUAL_FETCH_MS;
    return (imageGb / this.machineType(type)!.fetchGbPerS) * 1000;
  }

  capacityOfType(type: string): Resources {
    return this.machineType(type) ?? NO_RESOURCES;
  }

  get controllers(): string[] {
    return this.nodes.map((n) => n.name);
  }

  /** The zone of a host on the network; null: it is regional. */
  zoneOf(host: string): string | null {
    const name = host.replace(/^peer:/, '').replace(/:\d+$/, '');
    return this.workers.get(name)?.zone ?? this.nodes.find((n) => n.name === name)?.zone ?? null;
  }

  job(id: string): JobSpec | undefined {
    return this.users.observedByJob.get(id)?.spec;
  }

  /** The controller that has the lead, as the state service says. */
  leader(): string | null {
    const hold = this.state.data.get(KEYS.hold(LEADERSHIP));
    return hold === undefined ? null : holdRecord.read(hold.value).node;
  }

  // --- controllers -------------------------------------------------------------------------------------------------

  settings(node: string): unknown {
    const peers = this.nodes
      .filter((n) => n.name !== node)
      .map((n) => ({ node: n.name, area: n.zone, address: `${n.name}:8081` }));
    return {
      node,
      area: this.nodes.find((n) => n.name === node)!.zone,
      client_listen: `${node}:8080`,
      cluster_listen: `${node}:8081`,
      peers,
      services: { cloud: 'cloud:1', state: 'state:1' },
      facts: {
        count: this.nodes.length,
        zones: this.deployment.zones,
        teams: [
          ...TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: this.guaranteedGpus, gpus_max: this.gpusMax })),
          { name: GUESTS, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: this.gpusMax },
        ],
        workers: {
          report_s: this.heartbeatIntervalMs / 1000,
          lease_s: this.workerLeaseMs / 1000,
          cancel_s: this.cancellationBoundMs / 1000,
        },
        state: { rps: 200, write_rps: 100, value_kb: 8, txn_ops: 12, ...this.#nextLimits() },
        cloud: { rps: 8, list_lag_s: 2 },
        machine_limits: { sockets: 600 },
        skew_ms: this.deployment.maxClockSkewMs,
      },
    };
  }

  #nextLimits(): { next?: unknown } {
    const { nextLimits: next } = this.options;
    if (next === undefined) return {};
    return { next: { write_rps: next.writesPerS, value_kb: next.valueKb, txn_ops: next.txnOps } };
  }

  startNode(name: string): void {
    const node = this.nodes.find((n) => n.name === name)!;
    if (node.controller !== null) return;
    const link = new SimLink(this, name);
    const alive = (): boolean => node.link === link;
    node.link = link;
    this.network.thaw(name);
    node.wallOffMs = (this.sim.random() * 2 - 1) * this.deployment.maxClockSkewMs;
    const ports: ControllerPorts = {
      settings: settingsOf(this.settings(name), this.options.operators ?? {}, this.#features),
      clock: this.sim.clock(
        node.drift,
        () => node.wallOffMs,
        alive,
        (run) => this.network.on(name, run, 'timer'),
      ),
      http: this.network.http(name, alive),
      link,
      log: this.options.log ?? SILENT,
      ...(this.options.limits === undefined ? {} : { limits: this.options.limits }),
    };
    const controller = new Controller(ports);
    node.controller = controller;
    // Workers know a controller by its name.
    this.network.hosts.set(name, async (_method, path, body) => {
      const reply = path === '/checkin' ? await this.#checkin(controller, name, body) : { status: 404, body: null };
      return { status: reply.status, body: reply.body ?? Buffer.alloc(0) };
    });
    controller.start();
  }

  /** A worker's report to a controller; what that answers as the owner is checked. */
  async #checkin(controller: Controller, node: string, body: Buffer): Promise<Reply> {
    const reply = await controller.checkin(body);
    const { machine, zone } = decodeHeartbeat(body);
    const partitionId = controller.clusterState.partitioner?.partitionOf(machine, zone);
    const owner = controller.owned().find((o) => o.partitionId === partitionId);
    if (reply.status === 200 && owner !== undefined) this.ownership.answered(node, owner);
    return reply;
  }

  /** The time of day of each controller jumps from one end of what is allowed to the other. */
  jumpClocks(): void {
    const { maxClockSkewMs } = this.deployment;
    for (const node of this.nodes) node.wallOffMs = node.wallOffMs > 0 ? -maxClockSkewMs : maxClockSkewMs;
  }

  /** Kills a controller with no notice. */
  crash(name: string): void {
    const node = this.nodes.find((n) => n.name === name)!;
    node.controller?.stop();
    node.controller = null;
    node.link = null;
    this.network.hosts.delete(name);
  }

  // --- cloud -------------------------------------------------------------------------------------------------------

  #up({ name, type, zone, spot }: RentedMachine): void {
    const worker = new SimWorker(this, name, type, zone, spot);
    worker.done = (taskName) => {
      const { job } = parseTaskName(taskName)!;
      const done = this.#done.get(job) ?? new Set();
      this.#done.set(job, done.add(taskName));
      if (done.size === this.job(job)!.tasks && this.sim.random() < this.cancelAtEnd) void this.users.cancel(job);
    };
    this.workers.set(name, worker);
    this.liveness.machineUp(name);
  }

  #returned(name: string): void {
    const worker = this.workers.get(name);
    if (worker !== undefined) this.liveness.machineReturned(worker);
    this.kill(name, 'gone');
  }

  /** The machine is gone with all that is on it. */
  kill(name: string, listedAs: 'failed' | 'gone'): void {
    this.workers.get(name)?.die();
    this.workers.delete(name);
    this.cloud.end(name, listedAs);
  }

  // --- the rules ---------------------------------------------------------------------------------------------------

  /** Notes that something came about, so that a test can show that it brought about what it is for. */
  recordOccurrence(what: string, times = 1): void {
    this.happened.set(what, (this.happened.get(what) ?? 0) + times);
  }

  reportViolation(rule: Invariant, detail: string): void {
    this.violations.push({ rule, at: this.sim.now, detail });
  }

  onTask(taskName: string, machine: string): void {
    this.startsSeen++;
    const { job } = parseTaskName(taskName)!;
    const spec = this.job(job)!;
    const worker = this.workers.get(machine)!;
    this.liveness.taskStarted(job, machine);
    this.operations.started(job);
    const other = this.#on.get(taskName);
    if (other !== undefined && other !== machine)
      this.reportViolation('ran_twice', `${taskName} on ${machine} and ${other}`);
    this.#put(taskName, machine, spec);
    if (spec.zone !== null && spec.zone !== worker.zone)
      this.reportViolation('wrong_place', `${taskName} in zone ${worker.zone}`);
    if (worker.spot && !spec.spot) this.reportViolation('wrong_place', `${taskName} on spot`);
    if (spec.types?.includes(worker.type) === false)
      this.reportViolation('wrong_place', `${taskName} on type ${worker.type}`);
    const zones = [...this.#onByJob.get(job)!].map((t) => this.workers.get(this.#on.get(t)!)?.zone);
    if (spec.oneZone && new Set(zones).size > 1) this.reportViolation('wrong_place', `${job} in ${zones.join()}`);
    if (spec.spread && zones.filter((z) => z === worker.zone).length > Math.ceil(spec.tasks / 2)) {
      this.reportViolation('wrong_place', `${job} not spread: ${zones.join()}`);
    }
    const gpus = this.#gpusOf.get(spec.team)!;
    this.peakGpus = Math.max(this.peakGpus, gpus);
    if (gpus > this.gpusMax + 1e-9) this.reportViolation('quota', `team ${spec.team} uses ${gpus}`);
    const used = this.#gpusOn.get(machine)!;
    if (used > this.capacityOfType(worker.type).gpus + 1e-9)
      this.reportViolation('overcommitted', `${machine}: ${used} GPUs`);
    const observed = this.users.observedByJob.get(job)!;
    if (!this.users.isReady(observed))
      this.reportViolation('too_early', `${taskName} before one of ${spec.awaits.join()}`);
    this.#checkCancelled(taskName);
  }

  offTask(taskName: string, machine: string): void {
    if (this.#on.get(taskName) === machine) this.#remove(taskName, machine);
  }

  #put(taskName: string, machine: string, spec: JobSpec): void {
    const other = this.#on.get(taskName);
    if (other !== undefined) this.#remove(taskName, other);
    this.#on.set(taskName, machine);
    const ofJob = this.#onByJob.get(spec.id) ?? new Set();
    this.#onByJob.set(spec.id, ofJob.add(taskName));
    this.#gpusOf.set(spec.team, (this.#gpusOf.get(spec.team) ?? 0) + spec.gpus);
    this.#gpusOn.set(machine, (this.#gpusOn.get(machine) ?? 0) + spec.gpus);
  }

  #remove(taskName: string, machine: string): void {
    const { id, team, gpus } = this.job(parseTaskName(taskName)!.job)!;
    this.#on.delete(taskName);
    this.#onByJob.get(id)!.delete(taskName);
    this.#gpusOf.set(team, this.#gpusOf.get(team)! - gpus);
    this.#gpusOn.set(machine, this.#gpusOn.get(machine)! - gpus);
  }

  #checkCancelled(taskName: string): void {
    const { cancelledAt } = this.users.observedByJob.get(parseTaskName(taskName)!.job)!;
    if (cancelledAt === null) return;
    const since = this.sim.now - cancelledAt;
    this.longestCancelledMs = Math.max(this.longestCancelledMs, since);
    if (since <= this.cancellationBoundMs) return;
    const machine = this.#on.get(taskName)!;
    this.reportViolation(
      'ran_cancelled',
      `${taskName} on ${machine}${this.network.standsStill(machine) ? ', which hangs' : ''}`,
    );
  }

  stoppedTask(taskName: string, runMs: number, isSaved: boolean): void {
    if (isSaved) this.savedMs.set(taskName, (this.savedMs.get(taskName) ?? 0) + runMs);
    else this.lostGpuSeconds += (runMs / 1000) * this.job(parseTaskName(taskName)!.job)!.gpus;
  }

  /** A start command has come to a worker. */
  onCommanded(taskName: string, attempt: number, machine: string): void {
    this.groups.started(taskName, attempt, machine);
    const { cancelledAt } = this.users.observedByJob.get(parseTaskName(taskName)?.job ?? '') ?? { cancelledAt: null };
    if (cancelledAt === null) return;
    this.recordOccurrence('started though cancelled');
    // An owner starts tasks for a tenth of `cancel_s` after its last look at the jobs; its answer counts for 4 s.
    if (this.sim.now - cancelledAt > this.cancellationBoundMs / 10 + 4000)
      this.reportViolation('start_cancelled', taskName);
  }

  /** Checks what only time can show. */
  audit(): void {
    for (const taskName of this.#on.keys()) this.#checkCancelled(taskName);
    this.ownership.audit();
    this.liveness.audit(this.quietAt);
    this.operations.audit(this.quietAt);
    if (this.options.features !== undefined) this.borrowing.audit(this.quietAt);
    if (this.replicaGroups !== null) this.groups.audit(this.quietAt);
  }

  // --- users -------------------------------------------------------------------------------------------------------

  #pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.sim.random() * values.length)]!;
  }

  /** A machine type, or any, and a zone that has it, or any. */
  #randomPlace(spread: boolean): Pick<JobSpec, 'types' | 'zone'> {
    const type = this.#pick([null, ...this.deployment.types]);
    const zones = type?.zones ?? this.deployment.zones;
    return {
      types: type === null ? null : [type.name],
      zone: !spread && this.sim.random() < 0.2 ? this.#pick(zones) : null,
    };
  }

  randomJob(): JobSpec {
    const pick = <T>(values: readonly T[]): T => this.#pick(values);
    const kind = pick(['array', 'array', 'service'] as const);
    const spread = this.sim.random() < 0.4;
    const oneZone = !spread && this.sim.random() < 0.3;
    return {
      id: `j-${String(++this.#jobCounter).padStart(6, '0')}`,
      jobClass: kind,
      team: pick(TEAMS),
      kind,
      priority: kind === 'service' ? pick(['production', 'high'] as const) : pick(['normal', 'low'] as const),
      tasks: 1 + Math.floor(this.sim.random() * 5),
      cpus: 2,
      gpus: pick([1, 1, 2]),
      memoryGb: 8,
      image: pick(['img-1', 'img-2', 'img-3']),
      imageGb: 30,
      ...this.#randomPlace(spread),
      oneZone,
      spread,
      spot: kind === 'array',
      estimateS: kind === 'array' ? 1 + this.sim.random() * 6 : 0,
      checkpointS: 0,
      saveS: 0,
      deadlineS: null,
      awaits: [],
      ...this.options.jobs,
    };
  }

  isBroken(id: string): boolean {
    return this.brokenJobs.has(id);
  }

  isDone(taskName: string): boolean {
    return this.#done.get(parseTaskName(taskName)!.job)?.has(taskName) ?? false;
  }

  doneOf(id: string): number {
    return this.#done.get(id)?.size ?? 0;
  }

  /** Controllers that start from now on have other features. */
  switchFeatures(features: unknown): void {
    this.#features = features;
    this.replicaGroups = groupSettingsOf(features);
  }

  /** Whether the tasks of the job are the members of a replica group. */
  isGroup(job: string): boolean {
    const spec = this.job(job);
    return spec !== undefined && isGroupSpec(this.replicaGroups, spec);
  }

  /** How long a group may be on its way from one state to the next, with its longest pause. */
  get groupBoundMs(): number {
    const settings = this.replicaGroups;
    if (settings === null) return 0;
    const { types } = this.deployment;
    const clusterConfig = settingsOf(this.settings(this.nodes[0]!.name), {}).clusterConfig;
    const largest = { ...this.#largestImage(), kind: 'service' as const };
    const starts = startBoundMs(settings, clusterConfig, largest, new Map(types.map((type) => [type.name, type])));
    return (
      starts +
      holdBoundMs(settings, clusterConfig, this.longestSaveMs / 1000) +
      longestBackoffMs(settings, clusterConfig)
    );
  }

  #largestImage(): JobSpec {
    const specs = [...this.users.observedByJob.values()].map(({ spec }) => spec);
    return specs.reduce((a, b) => (a.imageGb > b.imageGb ? a : b));
  }

  /** How many tasks of the job are on machines. */
  tasksOn(job: string): number {
    return this.#onByJob.get(job)?.size ?? 0;
  }

  runningTasks(): ReadonlyMap<string, string> {
    return this.#on;
  }
}
