// A small deployment on loopback in real time: controllers with their own servers and peer links, stand-in servers for
// the state service, cloud and workers, and users who submit and cancel jobs.
import type { HttpResponse } from '@gingerlock/clients';
import { encodeSubmission, holdRecord, type JobSpec, KEYS, LEADERSHIP, parseTaskName } from '@gingerlock/wire';
import { BorrowingAudit, type BorrowingAuditedWorld } from '../audits/borrowing-audit';
import type { Invariant } from '../audits/invariants';
import { BOX_TYPE, ZONES } from '../simulation/deployment';
import { SimCloud } from '../standins/cloud';
import type { RentedMachine } from '../standins/cloud-records';
import { SimStateService } from '../standins/state-service';
import { newObservedStatus, type ObservedStatus } from '../standins/users';
import { SimWorker } from '../standins/worker';
import type { WorkerWorld } from '../standins/worker-world';
import { type ControllerRunner, type LoopbackControllerOptions, LoopbackControllers } from './loopback-controllers';
import { LoopbackNetwork } from './loopback-network';
import { CANCELLATION_BOUND_S, HEARTBEAT_INTERVAL_S, WORKER_LEASE_S } from './loopback-settings';
import { RealTime } from './real-time';

/** How often the audit runs, and how often conditions are polled. */
const AUDIT_INTERVAL_MS = 50;

/** How long a user waits before it tries the next controller. */
const RETRY_MS = 300;

/** How long a user waits for an answer. */
const REQUEST_TIMEOUT_MS = 5000;

/** The duration of every image fetch. */
const FETCH_MS = 2000;

/** Options of a loopback deployment. */
export interface LoopbackOptions extends LoopbackControllerOptions {
  /** The seed of the stand-ins' random numbers; controllers draw unseeded ones. */
  readonly seed: number;
  /** The number of machines up at the start, which also sets the cloud's capacity. */
  readonly machines: number;
}

/** A loopback deployment. `start` starts all its parts, and `stop` ends them. */
export class LoopbackDeployment implements WorkerWorld, BorrowingAuditedWorld {
  readonly sim: RealTime;
  readonly network = new LoopbackNetwork();
  readonly state: SimStateService;
  readonly cloud: SimCloud;
  /** The machines that are up, by name. */
  readonly workers = new Map<string, SimWorker>();
  /** Violations of invariants, in the order in which they were found. */
  readonly violations: { readonly rule: Invariant; readonly detail: string }[] = [];
  readonly users = {
    observedByJob: new Map<string, ObservedStatus>(),
    isCancelled: (observed: ObservedStatus): boolean => observed.final === 'cancelled',
  };
  readonly savedMs = new Map<string, number>();
  /** By task: the machine that runs it. */
  readonly running = new Map<string, string>();
  readonly guestTeam = 'none';
  readonly heartbeatIntervalMs = HEARTBEAT_INTERVAL_S * 1000;
  readonly workerLeaseMs = WORKER_LEASE_S * 1000;
  readonly cancellationBoundMs = CANCELLATION_BOUND_S * 1000;
  readonly longestSaveMs = 0;
  readonly borrowing = new BorrowingAudit(this);
  /** The number of times each recorded occurrence happened. */
  readonly occurrences = new Map<string, number>();
  readonly #controllers: ControllerRunner;
  #isStopped = false;

  /** @param runner creates what runs the controllers; default: they run in this process */
  constructor(
    readonly options: LoopbackOptions,
    runner: (network: LoopbackNetwork) => ControllerRunner = (network) => new LoopbackControllers(network, options),
  ) {
    this.sim = new RealTime(options.seed);
    this.#controllers = runner(this.network);
    this.state = new SimStateService(this.sim);
    this.state.onStored = () => this.borrowing.audit(Infinity);
    this.cloud = new SimCloud({
      sim: this.sim,
      types: [BOX_TYPE],
      neverUp: 0,
      // Enough ordinary machines per zone for the start, with none to spare if they divide evenly over the zones.
      capacity: Math.ceil(options.machines / ZONES.length),
      onUp: (machine) => this.#addWorker(machine),
      onReturned: (name) => {
        this.workers.get(name)?.die();
        this.workers.delete(name);
      },
    });
  }

  #addWorker({ name, type, zone, spot }: RentedMachine): void {
    // `stop` would not end a machine that comes up after it.
    if (this.#isStopped) return;
    const worker = new SimWorker(this, name, type, zone, spot);
    worker.done = (taskName) => this.running.delete(taskName);
    this.workers.set(name, worker);
  }

  /** Returns the machine's own loopback address. */
  hostOf(machine: string): string {
    return `127.0.1.${Number(machine.replace(/\D/g, '')) % 250}`;
  }

  addressOf(machine: string): string {
    return `${this.hostOf(machine)}:9000`;
  }

  fetchMs(): number {
    return FETCH_MS;
  }

  /** The names of all controllers, including those that do not run. */
  get controllers(): readonly string[] {
    return this.#controllers.names;
  }

  get guaranteedGpus(): number {
    return this.options.guaranteedGpus;
  }

  /** Starts the stand-in services, all controllers, and then the machines. */
  async start(): Promise<void> {
    await this.network.listen('state:1', async (method, path, body, from) =>
      this.answerOf('state', await this.state.handle(method, path, body, from)),
    );
    await this.network.listen('cloud:1', (method, path, body) =>
      this.answerOf('cloud', this.cloud.handle(method, path, body)),
    );
    await this.#controllers.startAll();
    for (let i = 0; i < this.options.machines; i++) this.cloud.boot(BOX_TYPE, ZONES[i % ZONES.length]!, false, 0);
    this.#auditRepeatedly();
  }

  #auditRepeatedly(): void {
    if (this.#isStopped) return;
    this.borrowing.audit(Infinity);
    this.sim.after(AUDIT_INTERVAL_MS, () => this.#auditRepeatedly());
  }

  /** Starts a controller; a restarted controller listens at its previous address. */
  startController(name: string): Promise<void> {
    return this.#controllers.start(name);
  }

  /** Ends a controller, and breaks its connections. */
  endController(name: string): Promise<void> {
    return this.#controllers.end(name);
  }

  /** Returns the leader; null: there is no leader. */
  leader(): string | null {
    const hold = this.state.data.get(KEYS.hold(LEADERSHIP));
    return hold === undefined ? null : holdRecord.read(hold.value).node;
  }

  // --- users -------------------------------------------------------------------------------------------------------

  /** Submits a job to the controllers in turn until one accepts it. */
  async submit(spec: JobSpec): Promise<void> {
    const observed = newObservedStatus(spec, this.sim.now);
    this.users.observedByJob.set(spec.id, observed);
    await this.#postUntilAccepted('/submissions', encodeSubmission(spec));
    observed.accepted = true;
  }

  /** Sends a cancellation to the controllers in turn until one confirms it. */
  async cancel(id: string): Promise<void> {
    await this.#postUntilAccepted(`/submissions/${id}/cancel`, null);
    this.users.observedByJob.get(id)!.final = 'cancelled';
  }

  async #postUntilAccepted(path: string, body: Buffer | null): Promise<void> {
    for (let i = 0; !this.#isStopped; i++) {
      const name = this.controllers[i % this.controllers.length]!;
      try {
        const answer = await this.network.http()(name, 'POST', path, body, REQUEST_TIMEOUT_MS);
        if (answer.status === 200 || answer.status === 201) return;
      } catch {
        // Try the next controller.
      }
      await this.pause(RETRY_MS);
    }
  }

  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.sim.after(ms, resolve);
    });
  }

  /** Waits until the condition holds; returns false if it does not hold within `withinMs`. */
  async until(holds: () => boolean, withinMs: number): Promise<boolean> {
    const deadline = this.sim.now + withinMs;
    while (!holds() && this.sim.now < deadline) await this.pause(AUDIT_INTERVAL_MS);
    return holds();
  }

  /** Returns the number of running tasks of the team's jobs of that kind. */
  runningOf(team: string, kind: JobSpec['kind']): number {
    const isCounted = (taskName: string): boolean => {
      const spec = this.job(parseTaskName(taskName)!.job);
      return spec?.team === team && spec.kind === kind;
    };
    return [...this.running.keys()].filter(isCounted).length;
  }

  // --- callbacks of workers ----------------------------------------------------------------------------------------

  job(id: string): JobSpec | undefined {
    return this.users.observedByJob.get(id)?.spec;
  }

  isBroken(): boolean {
    return false;
  }

  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  onTask(taskName: string, machine: string, _attempt: number): void {
    const other = this.running.get(taskName);
    if (other !== undefined && other !== machine)
      this.reportViolation('ran_twice', `${taskName} on ${machine} and ${other}`);
    this.running.set(taskName, machine);
  }

  offTask(taskName: string, machine: string): void {
    if (this.running.get(taskName) === machine) this.running.delete(taskName);
  }

  onCommanded(): void {
    // Starts are checked in `onTask`, when the task begins to run.
  }

  stoppedTask(): void {
    // Lost work is not measured here.
  }

  recordOccurrence(what: string): void {
    this.occurrences.set(what, (this.occurrences.get(what) ?? 0) + 1);
  }

  reportViolation(rule: Invariant, detail: string): void {
    this.violations.push({ rule, detail });
  }

  /** Returns what a service sends in place of its answer; tests change it to garble answers. */
  answerOf: (service: 'state' | 'cloud', answer: HttpResponse) => HttpResponse = (_service, answer) => answer;

  /** Ends all parts of the deployment. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const worker of this.workers.values()) worker.die();
    await this.#controllers.endAll();
    this.network.stop();
    this.sim.stop();
  }
}
