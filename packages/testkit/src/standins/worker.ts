// A stand-in of a worker, the agent on a machine: it sends heartbeats, executes commands, and runs tasks in simulated
// or real time.
import type { Http, HttpResponse } from '@gingerlock/clients';
import {
  decodeCommands,
  decodeRedirect,
  encodeHeartbeat,
  type ExitCause,
  type JobSpec,
  parseTaskName,
  type TaskState,
  type WorkerCommand,
} from '@gingerlock/wire';
import type { Handler, HostEventKind } from '../simulation/network';
import type { Scheduler } from '../simulation/sim';

/** One attempt at a task, as the worker has it until it is asked to forget it. */
interface RunningTask {
  readonly task: string;
  readonly attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  /** When it began to run; null: it has not. */
  runsSince: number | null;
  cancelTimer: () => void;
}

/** How long a worker waits for an answer, and how long after it was asked for it still counts. */
const ANSWER_TIMEOUT_MS = 4000;

/** How soon after a change the next heartbeat is sent. */
const CHANGE_REPORT_MS = 500;

/** How long a worker waits before it tries another controller, and the most where it is redirected to one. */
const RETRY_MS = 1000;
const REDIRECT_WITHIN_MS = 500;

/** How often a worker looks whether its lease has expired. */
const LEASE_CHECK_MS = 20;

/** How long the fetch of an image takes that the machine has. */
const CACHED_FETCH_MS = 10;

/** How soon a task ends with an error that fails wherever it runs, or any task on a machine at fault. */
const FAILS_AFTER_MS = 300;

/** What a worker needs of the network that it is on. */
export interface WorkerNetwork {
  readonly hosts: { set(address: string, handler: Handler): unknown; delete(address: string): unknown };
  http(from: string, alive: () => boolean): Http;
  /** Runs what happens on a host: at once, or when it no longer hangs. */
  on(host: string, run: () => void, eventKind?: HostEventKind): void;
}

/** What a worker needs of the deployment that it is in. */
export interface WorkerWorld {
  readonly sim: Scheduler;
  readonly network: WorkerNetwork;
  /** The names of all controllers. */
  readonly controllers: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  /** The job of this id, if any user has submitted it. */
  job(id: string): JobSpec | undefined;
  /** Where the worker of a machine listens for commands, if not at its name. */
  addressOf?(machine: string): string;
  /** How long a machine of the type takes to fetch the image of a job. */
  fetchMs(job: JobSpec, type: string): number;
  /** Whether the job was submitted with a mistake: its tasks end with an error wherever they run. */
  isBroken(id: string): boolean;
  /** A task now is on this machine, or no longer is. */
  onTask(taskName: string, machine: string, attempt: number): void;
  offTask(taskName: string, machine: string): void;
  /** By task: for how long it had run when it was last saved. */
  readonly savedMs: ReadonlyMap<string, number>;
  /** A task that had run for so long was stopped, with what it did saved or lost. */
  stoppedTask(taskName: string, runMs: number, isSaved: boolean): void;
  /** A start command that was not known yet has come. */
  onCommanded(taskName: string, attempt: number, machine: string): void;
}

/**
 * A worker as the protocol describes it. Its public fields are what its heartbeats contain, and its faults.
 */
export class SimWorker {
  agentEpoch = 1;
  sequenceNumber = 0;
  fencingToken = 0;
  noticeS: number | null = null;
  alive = true;
  /** Where it listens for commands. */
  readonly addr: string;
  /** The machine is at fault: tasks end with an error shortly after their start. */
  isQuarantined = false;
  /** Tasks take so many times as long. */
  slowness = 1;
  /** By task and attempt, with a space between. */
  readonly tasks = new Map<string, RunningTask>();
  readonly #images = new Set<string>();
  /** When the last heartbeat that was answered was sent, or the agent epoch began. */
  #leaseFrom: number;
  /** The index of the controller that gets the next heartbeat. */
  #target = 0;
  /** Cancels the timer of the next heartbeat. */
  #cancelNext: () => void = () => undefined;
  /** One heartbeat is in flight at a time. */
  #inFlight = false;
  /** Something has changed since the heartbeat that is in flight. */
  #isChangePending = false;

  constructor(
    readonly world: WorkerWorld,
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.#leaseFrom = world.sim.now;
    this.addr = world.addressOf?.(name) ?? `${name}:9000`;
    this.#target = Math.floor(world.sim.random() * world.controllers.length);
    this.#after(world.sim.random() * world.heartbeatIntervalMs, () => void this.#sendHeartbeat());
    this.#watchLease();
    world.network.hosts.set(
      this.addr,
      (_method, path, body) =>
        new Promise((resolve) => {
          // A machine that no longer hangs executes what has come meanwhile.
          world.network.on(name, () => resolve(path === '/inspect' ? this.inspect() : this.command(body)));
        }),
    );
  }

  /** A timer of this machine: while it hangs nothing happens on it. */
  #after(ms: number, run: () => void): () => void {
    let isCancelled = false;
    const cancel = this.world.sim.after(ms, () =>
      this.world.network.on(this.name, () => {
        if (!isCancelled) run();
      }),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Once the lease has expired, the worker stops all tasks and begins a new agent epoch. */
  #watchLease(): void {
    const { sim, workerLeaseMs } = this.world;
    if (!this.alive) return;
    if (sim.now - this.#leaseFrom > workerLeaseMs) {
      for (const task of [...this.tasks.values()]) this.#leave(task);
      this.tasks.clear();
      this.agentEpoch++;
      this.#leaseFrom = sim.now;
    }
    // The lease expires on a machine that hangs, too: tasks may run within the lease and not after it.
    sim.after(LEASE_CHECK_MS, () => this.#watchLease());
  }

  /** How long ago the last heartbeat that was answered was sent, or the agent epoch began. */
  get unansweredMs(): number {
    return this.world.sim.now - this.#leaseFrom;
  }

  /** A `/inspect` request. */
  inspect(): HttpResponse {
    return { status: 200, body: this.#body() };
  }

  /** A direct `/commands` request, however late it comes. */
  command(body: Buffer): HttpResponse {
    const { fencingToken, agentEpoch, commands } = decodeCommands(body);
    const isStale = fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch;
    if (!isStale) {
      const isNewToken = fencingToken > this.fencingToken;
      this.fencingToken = fencingToken;
      for (const command of commands) this.#execute(command);
      if (isNewToken) this.#changed();
    }
    return { status: isStale ? 409 : 200, body: this.#body() };
  }

  /** The machine is gone with all that is on it. */
  die(): void {
    if (!this.alive) return;
    this.world.network.hosts.delete(this.addr);
    this.alive = false;
    for (const task of this.tasks.values()) this.#leave(task);
    this.tasks.clear();
  }

  /** The cloud will take the machine back after so many seconds. */
  notice(seconds: number): void {
    this.noticeS = seconds;
    this.#changed();
  }

  /** The next heartbeat; each has a sequence number of its own. */
  #body(): Buffer {
    return encodeHeartbeat({
      machine: this.name,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      sequenceNumber: ++this.sequenceNumber,
      fencingToken: this.fencingToken,
      noticeS: this.noticeS,
      tasks: [...this.tasks.values()].map(({ task, attempt, state, cause, saved }) => ({
        task,
        attempt,
        state,
        cause,
        saved,
      })),
    });
  }

  /** The task no longer runs, whatever it did. */
  #leave({ cancelTimer, state, task }: RunningTask): void {
    cancelTimer();
    if (state === 'running' || state === 'saving') this.world.offTask(task, this.name);
  }

  /** Sends one heartbeat to the controller whose turn it is, and schedules the next. */
  async #sendHeartbeat(): Promise<void> {
    const { heartbeatIntervalMs, sim } = this.world;
    if (!this.alive) return;
    this.#inFlight = true;
    this.#isChangePending = false;
    const usualMs = heartbeatIntervalMs * (0.75 + sim.random() / 2);
    let waitMs = await this.#exchangeHeartbeat(usualMs);
    this.#inFlight = false;
    if (!this.alive) return;
    if (this.#isChangePending) waitMs = Math.min(waitMs, CHANGE_REPORT_MS);
    this.#cancelNext = this.#after(waitMs, () => void this.#sendHeartbeat());
  }

  /** Sends a heartbeat and handles the answer; returns how long to wait for the next. */
  async #exchangeHeartbeat(usualMs: number): Promise<number> {
    const { sim, network, controllers } = this.world;
    const sentAt = sim.now;
    const { agentEpoch } = this;
    const body = this.#body();
    const target = controllers[this.#target]!;
    const http = network.http(this.name, () => this.alive);
    try {
      const answer = await http(target, 'POST', '/checkin', body, ANSWER_TIMEOUT_MS);
      if (answer.status === 200) return this.#handleAnswer(answer, agentEpoch, sentAt) ? CHANGE_REPORT_MS : usualMs;
      if (answer.status === 421) return this.#followRedirect(answer);
    } catch {
      // No answer, or one that can't be read: another controller is tried, as after any other status.
    }
    this.#tryNextController();
    return RETRY_MS;
  }

  /**
   * The controller names another one that owns the machine's partition; returns how long to wait before that is tried.
   */
  #followRedirect({ body }: HttpResponse): number {
    const { controllers, sim } = this.world;
    const owner = decodeRedirect(body);
    const index = owner === null ? -1 : controllers.indexOf(owner);
    if (index >= 0 && index !== this.#target) {
      this.#target = index;
      return sim.random() * REDIRECT_WITHIN_MS;
    }
    this.#tryNextController();
    return RETRY_MS;
  }

  #tryNextController(): void {
    this.#target = (this.#target + 1) % this.world.controllers.length;
  }

  /** Handles the answer of an owner; true if something changed. */
  #handleAnswer(answer: HttpResponse, agentEpoch: number, sentAt: number): boolean {
    const { fencingToken, commands } = decodeCommands(answer.body);
    if (!this.alive || agentEpoch !== this.agentEpoch || fencingToken < this.fencingToken) return false;
    // Too late: the machine hung meanwhile.
    if (this.world.sim.now - sentAt > ANSWER_TIMEOUT_MS) return false;
    const isNewToken = fencingToken > this.fencingToken;
    this.fencingToken = fencingToken;
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const command of commands) this.#execute(command);
    return commands.length > 0 || isNewToken;
  }

  #execute(command: WorkerCommand): void {
    const key = `${command.task} ${command.attempt}`;
    const known = this.tasks.get(key);
    switch (command.op) {
      case 'start':
        if (known !== undefined) return;
        this.world.onCommanded(command.task, command.attempt, this.name);
        this.#start(command.task, command.attempt);
        return;
      case 'stop':
        if (known !== undefined && known.state !== 'exited') this.#stop(known, command.graceS);
        return;
      case 'forget':
        if (known?.state === 'exited') this.tasks.delete(key);
        return;
    }
  }

  /**
   * A running task saves if it has checkpoints and the time for one; any other ends at once, and so does a saving one
   * without grace.
   */
  #stop(running: RunningTask, graceS: number): void {
    const job = this.world.job(parseTaskName(running.task)!.job)!;
    const runMs = running.runsSince === null ? 0 : this.world.sim.now - running.runsSince;
    if (running.state === 'saving' && graceS > 0) return;
    if (running.state !== 'running' || job.checkpointS <= 0 || graceS < job.saveS) {
      if (job.kind === 'array' && running.state === 'running') this.world.stoppedTask(running.task, runMs, false);
      this.#exit(running, 'stopped');
      return;
    }
    running.cancelTimer();
    running.state = 'saving';
    this.#changed();
    running.cancelTimer = this.#after(job.saveS * 1000, () => {
      this.world.stoppedTask(running.task, runMs, true);
      running.saved = true;
      this.#exit(running, 'stopped');
    });
  }

  /** The task fetches its image and then runs, unless it is unknown or another attempt at it is still here. */
  #start(taskName: string, attempt: number): void {
    const { world } = this;
    const parsed = parseTaskName(taskName);
    const job = parsed === null ? undefined : world.job(parsed.job);
    const running: RunningTask = {
      task: taskName,
      attempt,
      state: 'fetching',
      cause: null,
      saved: false,
      runsSince: null,
      cancelTimer: () => undefined,
    };
    const isBusy = [...this.tasks.values()].some(({ task, state }) => task === taskName && state !== 'exited');
    this.tasks.set(`${taskName} ${attempt}`, running);
    if (job === undefined || isBusy) {
      running.state = 'exited';
      running.cause = job === undefined ? 'unknown' : 'busy';
      return;
    }
    const fetchMs = this.#images.has(job.image) ? CACHED_FETCH_MS : world.fetchMs(job, this.type);
    running.cancelTimer = this.#after(fetchMs, () => this.#run(running, job));
  }

  #run(running: RunningTask, job: JobSpec): void {
    const { world } = this;
    this.#images.add(job.image);
    running.state = 'running';
    running.runsSince = world.sim.now;
    world.onTask(running.task, this.name, running.attempt);
    this.#changed();
    if (this.isQuarantined || world.isBroken(job.id)) {
      running.cancelTimer = this.#after(FAILS_AFTER_MS, () => this.#exit(running, 'error'));
    } else if (job.kind === 'array') {
      const savedMs = world.savedMs.get(running.task) ?? 0;
      const leftMs = job.estimateS * 1000 * (0.5 + world.sim.random()) - savedMs;
      running.cancelTimer = this.#after(Math.max(0, leftMs) * this.slowness, () => this.#exit(running, 'done'));
    }
  }

  #exit(running: RunningTask, cause: ExitCause): void {
    this.#leave(running);
    running.state = 'exited';
    running.cause = cause;
    if (cause === 'done') this.done(running.task);
    this.#changed();
  }

  /** A task has ended by itself, with an error. */
  fail(taskName: string, attempt: number): void {
    const running = this.tasks.get(`${taskName} ${attempt}`);
    if (running?.state === 'running') this.#exit(running, 'error');
  }

  /** Called with every completed task. */
  done: (taskName: string) => void = () => undefined;

  /** The next heartbeat, with the change, is brought forward. */
  #changed(): void {
    this.#isChangePending = true;
    if (this.#inFlight) return;
    this.#cancelNext();
    this.#cancelNext = this.#after(CHANGE_REPORT_MS, () => void this.#sendHeartbeat());
  }
}
