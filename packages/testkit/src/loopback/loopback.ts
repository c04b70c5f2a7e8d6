// A small deployment on loopback in real time: controllers with their own servers and peer links, stand-in servers of
// state service, cloud and workers, and users who submit and cancel.
import { encodeSubmission, holdRecord, type JobSpec, KEYS, LEADERSHIP, parseTaskName } from '@gingerlock/wire';
import { BorrowingAudit, type BorrowingAuditedWorld } from '../audits/borrowing-audit';
import type { Invariant } from '../audits/invariants';
import { SimCloud } from '../standins/cloud';
import type { RentedMachine } from '../standins/cloud-records';
import { SimStateService } from '../standins/state-service';
import { newObservedStatus, type ObservedStatus } from '../standins/users';
import { SimWorker, type WorkerWorld } from '../standins/worker';
import { type LoopbackControllerOptions, LoopbackControllers } from './loopback-controllers';
import { LoopbackNetwork } from './loopback-network';
import { CANCELLATION_BOUND_S, HEARTBEAT_INTERVAL_S, MACHINE_TYPE, WORKER_LEASE_S, ZONES } from './loopback-settings';
import { RealTime } from './real-time';

/** How often the audit looks. */
const AUDIT_MS = 50;

/** How long a user waits before it asks the next controller. */
const RETRY_MS = 300;

/** How long a user waits for an answer. */
const REQUEST_MS = 5000;

/** How long the fetch of any image takes. */
const FETCH_MS = 2000;

/** What a deployment on loopback is given. */
export interface LoopbackOptions extends LoopbackControllerOptions {
  /** Of the chance of the stand-ins; controllers and real time have their own. */
  readonly seed: number;
  /** Machines that are up at the start; the fleet can't grow. */
  readonly machines: number;
}

/** The deployment: nothing runs before `start`, and all ends with `stop`. */
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
  /** By task: the machine that it is on. */
  readonly running = new Map<string, string>();
  readonly guestTeam = 'none';
  readonly heartbeatIntervalMs = HEARTBEAT_INTERVAL_S * 1000;
  readonly workerLeaseMs = WORKER_LEASE_S * 1000;
  readonly cancellationBoundMs = CANCELLATION_BOUND_S * 1000;
  readonly longestSaveMs = 0;
  readonly borrowing = new BorrowingAudit(this);
  /** How often each thing happened that tests ask for. */
  readonly happened = new Map<string, number>();
  readonly #controllers: LoopbackControllers;
  #isStopped = false;

  constructor(readonly options: LoopbackOptions) {
    this.sim = new RealTime(options.seed);
    this.#controllers = new LoopbackControllers(this.network, options);
    this.state = new SimStateService(this.sim);
    this.state.onStored = () => this.borrowing.audit(Infinity);
    this.cloud = new SimCloud({
      sim: this.sim,
      types: [MACHINE_TYPE],
      neverUp: 0,
      // The fleet can not grow.
      capacity: Math.ceil(options.machines / ZONES.length),
      onUp: (machine) => this.#addWorker(machine),
      onReturned: (name) => {
        this.workers.get(name)?.die();
        this.workers.delete(name);
      },
    });
  }

  #addWorker({ name, type, zone, spot }: RentedMachine): void {
    // Whoever stops the machines would miss one that comes up after that.
    if (this.#isStopped) return;
    const worker = new SimWorker(this, name, type, zone, spot);
    worker.done = (taskName) => this.running.delete(taskName);
    this.workers.set(name, worker);
  }

  /** Each machine has an address of its own on loopback. */
  hostOf(machine: string): string {
    return `127.0.1.${Number(machine.replace(/\D/g, '')) % 250}`;
  }

  addressOf(machine: string): string {
    return `${this.hostOf(machine)}:9000`;
  }

  fetchMs(): number {
    return FETCH_MS;
  }

  /** The names of all controllers, whether they run or not. */
  get controllers(): readonly string[] {
    return this.#controllers.names;
  }

  get guaranteedGpus(): number {
    return this.options.guaranteedGpus;
  }

  /** Starts the stand-in services, all controllers, and then the machines. */
  async start(): Promise<void> {
    await this.network.listen('state:1', (method, path, body, from) => this.state.handle(method, path, body, from));
    await this.network.listen('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    await this.#controllers.startAll();
    for (let i = 0; i < this.options.machines; i++) this.cloud.boot(MACHINE_TYPE, ZONES[i % ZONES.length]!, false, 0);
    this.#auditRepeatedly();
  }

  #auditRepeatedly(): void {
    if (this.#isStopped) return;
    this.borrowing.audit(Infinity);
    this.sim.after(AUDIT_MS, () => this.#auditRepeatedly());
  }

  /** Starts a controller, at the address that it had if it ran before. */
  startController(name: string): Promise<void> {
    return this.#controllers.start(name);
  }

  /** Ends a controller: its connections break, and nothing of it goes on. */
  endController(name: string): Promise<void> {
    return this.#controllers.end(name);
  }

  /** The controller that leads; null: none does. */
  leader(): string | null {
    const hold = this.state.data.get(KEYS.hold(LEADERSHIP));
    return hold === undefined ? null : holdRecord.read(hold.value).node;
  }

  // --- users -------------------------------------------------------------------------------------------------------

  /** Submits a job to one controller after the other until it is accepted. */
  async submit(spec: JobSpec): Promise<void> {
    const observed = newObservedStatus(spec, this.sim.now);
    this.users.observedByJob.set(spec.id, observed);
    await this.#ask('/submissions', encodeSubmission(spec));
    observed.accepted = true;
  }

  /** Asks one controller after the other to cancel the job until one has confirmed it. */
  async cancel(id: string): Promise<void> {
    await this.#ask(`/submissions/${id}/cancel`, null);
    this.users.observedByJob.get(id)!.final = 'cancelled';
  }

  async #ask(path: string, body: Buffer | null): Promise<void> {
    for (let i = 0; !this.#isStopped; i++) {
      const name = this.controllers[i % this.controllers.length]!;
      try {
        const answer = await this.network.http()(name, 'POST', path, body, REQUEST_MS);
        if (answer.status === 200 || answer.status === 201) return;
      } catch {
        // The next one is asked.
      }
      await this.pause(RETRY_MS);
    }
  }

  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.sim.after(ms, resolve);
    });
  }

  /** Waits until it holds; false: it did not within that time. */
  async until(holds: () => boolean, withinMs: number): Promise<boolean> {
    const end = this.sim.now + withinMs;
    while (!holds() && this.sim.now < end) await this.pause(AUDIT_MS);
    return holds();
  }

  /** How many tasks of the team's jobs of that kind run. */
  runningOf(team: string, kind: JobSpec['kind']): number {
    const isIt = (taskName: string): boolean => {
      const spec = this.job(parseTaskName(taskName)!.job);
      return spec?.team === team && spec.kind === kind;
    };
    return [...this.running.keys()].filter(isIt).length;
  }

  // --- what workers do ---------------------------------------------------------------------------------------------

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
    // Every start counts as it runs.
  }

  stoppedTask(): void {
    // What was lost is not measured here.
  }

  recordOccurrence(what: string): void {
    this.happened.set(what, (this.happened.get(what) ?? 0) + 1);
  }

  reportViolation(rule: Invariant, detail: string): void {
    this.violations.push({ rule, detail });
  }

  /** Ends all that runs. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const worker of this.workers.values()) worker.die();
    await this.#controllers.endAll();
    this.network.stop();
    this.sim.stop();
  }
}
