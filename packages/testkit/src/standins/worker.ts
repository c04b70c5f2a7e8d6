// A stand-in for a worker, the agent on a machine: it sends heartbeats, executes commands, and runs tasks in simulated
// or real time.
import type { HttpResponse } from '@gingerlock/clients';
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
import type { WorkerWorld } from './worker-world';

/** One attempt at a task; the worker keeps it until a `forget` command. */
interface RunningTask {
  readonly task: string;
  readonly attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  /** When the attempt began to run; null: it has not begun. */
  runsSince: number | null;
  cancelTimer: () => void;
}

/** How long a worker waits for an answer to a heartbeat; an answer handled later than that is ignored. */
const ANSWER_TIMEOUT_MS = 4000;

/** How soon after a change the next heartbeat is sent. */
const CHANGE_REPORT_DELAY_MS = 500;

/** How long a worker waits before it tries another controller. */
const RETRY_MS = 1000;
/** The longest wait before a worker follows a redirect. */
const MAX_REDIRECT_DELAY_MS = 500;

/** How often a worker checks whether its lease has expired. */
const LEASE_CHECK_MS = 20;

/** The duration of a fetch of an image that the machine has cached. */
const CACHED_FETCH_MS = 10;

/** How long a task of a broken job, or any task on a faulty machine, runs before it ends with an error. */
const FAILURE_DELAY_MS = 300;

/** A worker that follows the protocol. Its public fields are the contents of its heartbeats, and its faults. */
export class SimWorker {
  agentEpoch = 1;
  sequenceNumber = 0;
  fencingToken = 0;
  noticeS: number | null = null;
  alive = true;
  /** The address at which the worker listens for commands. */
  readonly addr: string;
  /** The machine is faulty: its tasks end with an error shortly after their start. */
  isQuarantined = false;
  /** Multiplies the run time of tasks. */
  slowdown = 1;
  /** The attempts, by task name and attempt number separated by a space. */
  readonly tasks = new Map<string, RunningTask>();
  readonly #images = new Set<string>();
  /** When the worker lease was last renewed: the send time of the last answered heartbeat, or the epoch's start. */
  #leaseFrom: number;
  /** The index of the controller that gets the next heartbeat. */
  #targetIndex = 0;
  /** Cancels the timer of the next heartbeat. */
  #cancelNextHeartbeat: () => void = () => undefined;
  /** Whether a heartbeat is in flight; there is at most one at a time. */
  #inFlight = false;
  /** When the last heartbeat was sent. */
  #sentAt = 0;
  /** Whether something has changed since the last heartbeat was sent. */
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
    this.#targetIndex = Math.floor(world.sim.random() * world.controllers.length);
    this.#after(world.sim.random() * world.heartbeatIntervalMs, () => void this.#sendHeartbeat());
    this.#watchLease();
    world.network.hosts.set(
      this.addr,
      (_method, path, body) =>
        new Promise((resolve) => {
          // Requests that arrive while the machine hangs are handled when it no longer hangs.
          world.network.on(name, () => resolve(path === '/inspect' ? this.inspect() : this.command(body)));
        }),
    );
  }

  /** Starts a timer of this machine; it fires late if the machine hangs when it is due. */
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

  /** Stops all tasks and begins a new agent epoch when the worker lease has expired. */
  #watchLease(): void {
    const { sim, workerLeaseMs } = this.world;
    if (!this.alive) return;
    if (sim.now - this.#leaseFrom > workerLeaseMs) {
      for (const task of [...this.tasks.values()]) this.#endRun(task);
      this.tasks.clear();
      this.agentEpoch++;
      this.#leaseFrom = sim.now;
    }
    // This timer fires even if the machine hangs, because tasks must not run after the lease has expired.
    sim.after(LEASE_CHECK_MS, () => this.#watchLease());
  }

  /** Milliseconds since the last answered heartbeat was sent, or since the agent epoch began if that is later. */
  get leaseAgeMs(): number {
    return this.world.sim.now - this.#leaseFrom;
  }

  /** Answers an `/inspect` request. */
  inspect(): HttpResponse {
    return { status: 200, body: this.#encodeHeartbeat() };
  }

  /** Handles a direct `/commands` request, which may be a late duplicate. */
  command(body: Buffer): HttpResponse {
    this.world.onMessage?.(this.name, body);
    const { fencingToken, agentEpoch, commands } = decodeCommands(body);
    const isStale = fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch;
    if (!isStale) {
      const isNewToken = fencingToken > this.fencingToken;
      this.fencingToken = fencingToken;
      for (const command of commands) this.#execute(command);
      if (isNewToken) this.#reportChangeSoon();
    }
    return { status: isStale ? 409 : 200, body: this.#encodeHeartbeat() };
  }

  /** Ends the machine with all its tasks. */
  die(): void {
    if (!this.alive) return;
    this.world.network.hosts.delete(this.addr);
    this.alive = false;
    for (const task of this.tasks.values()) this.#endRun(task);
    this.tasks.clear();
  }

  /** Gives an eviction notice: the cloud takes the machine back after `seconds`. */
  notice(seconds: number): void {
    this.noticeS = seconds;
    this.#reportChangeSoon();
  }

  /** Encodes the next heartbeat, with a new sequence number. */
  #encodeHeartbeat(): Buffer {
    const body = encodeHeartbeat({
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
    this.world.onMessage?.(this.name, body);
    return body;
  }

  /** Cancels the attempt's timer, and reports that the task no longer runs if it was running or saving. */
  #endRun({ cancelTimer, state, task }: RunningTask): void {
    cancelTimer();
    if (state === 'running' || state === 'saving') this.world.offTask(task, this.name);
  }

  /** Sends one heartbeat to the current target controller, and schedules the next. */
  async #sendHeartbeat(): Promise<void> {
    const { heartbeatIntervalMs, sim } = this.world;
    if (!this.alive) return;
    this.#inFlight = true;
    this.#sentAt = sim.now;
    this.#isChangePending = false;
    const usualMs = heartbeatIntervalMs * (0.75 + sim.random() / 2);
    let waitMs = await this.#exchangeHeartbeat(usualMs);
    this.#inFlight = false;
    if (!this.alive) return;
    if (this.#isChangePending) waitMs = Math.min(waitMs, CHANGE_REPORT_DELAY_MS);
    this.#cancelNextHeartbeat = this.#after(waitMs, () => void this.#sendHeartbeat());
  }

  /** Sends a heartbeat and handles the answer; returns how long to wait for the next. */
  async #exchangeHeartbeat(usualMs: number): Promise<number> {
    const { sim, network, controllers } = this.world;
    const sentAt = sim.now;
    const { agentEpoch } = this;
    const body = this.#encodeHeartbeat();
    const target = controllers[this.#targetIndex]!;
    const http = network.http(this.name, () => this.alive);
    try {
      const answer = await http(target, 'POST', '/checkin', body, ANSWER_TIMEOUT_MS);
      if (answer.status === 200)
        return this.#handleAnswer(answer, agentEpoch, sentAt) ? CHANGE_REPORT_DELAY_MS : usualMs;
      if (answer.status === 421) return this.#followRedirect(answer);
    } catch {
      // No answer or an unreadable one: try another controller, as after any other status.
    }
    this.#tryNextController();
    return RETRY_MS;
  }

  /** Targets the owner named in a redirect, or else the next controller; returns the wait before the next heartbeat. */
  #followRedirect({ body }: HttpResponse): number {
    const { controllers, sim } = this.world;
    const owner = decodeRedirect(body);
    const index = owner === null ? -1 : controllers.indexOf(owner);
    if (index >= 0 && index !== this.#targetIndex) {
      this.#targetIndex = index;
      return sim.random() * MAX_REDIRECT_DELAY_MS;
    }
    this.#tryNextController();
    return RETRY_MS;
  }

  #tryNextController(): void {
    this.#targetIndex = (this.#targetIndex + 1) % this.world.controllers.length;
  }

  /** Handles an owner's answer; true: it contained commands or a higher fencing token. */
  #handleAnswer(answer: HttpResponse, agentEpoch: number, sentAt: number): boolean {
    this.world.onMessage?.(this.name, answer.body);
    const { fencingToken, commands } = decodeCommands(answer.body);
    if (!this.alive || agentEpoch !== this.agentEpoch || fencingToken < this.fencingToken) return false;
    // The answer is too late, because the machine hung meanwhile.
    if (this.world.sim.now - sentAt > ANSWER_TIMEOUT_MS) return false;
    const isNewToken = fencingToken > this.fencingToken;
    this.fencingToken = fencingToken;
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const command of commands) this.#execute(command);
    return commands.length > 0 || isNewToken;
  }

  #execute(command: WorkerCommand): void {
    const key = `${command.task} ${command.attempt}`;
    const existing = this.tasks.get(key);
    switch (command.op) {
      case 'start':
        if (existing !== undefined) return;
        this.world.onCommanded(command.task, command.attempt, this.name);
        this.#start(command.task, command.attempt);
        return;
      case 'stop':
        if (existing !== undefined && existing.state !== 'exited') this.#stop(existing, command.graceS);
        return;
      case 'forget':
        if (existing?.state === 'exited') this.tasks.delete(key);
        return;
    }
  }

  /**
   * Stops an attempt. A running task saves first if its job has checkpoints and the grace period covers a save. A task
   * that is already saving continues to save if the grace period is not 0. All others end at once.
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
    this.#reportChangeSoon();
    running.cancelTimer = this.#after(job.saveS * 1000, () => {
      this.world.stoppedTask(running.task, runMs, true);
      running.saved = true;
      this.#exit(running, 'stopped');
    });
  }

  /** Starts an attempt: fetches the image, then runs it. Exits if the job is unknown or another attempt is active. */
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
    const hasActiveAttempt = [...this.tasks.values()].some(
      ({ task, state }) => task === taskName && state !== 'exited',
    );
    this.tasks.set(`${taskName} ${attempt}`, running);
    if (job === undefined || hasActiveAttempt) {
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
    this.#reportChangeSoon();
    if (this.isQuarantined || world.isBroken(job.id)) {
      running.cancelTimer = this.#after(FAILURE_DELAY_MS, () => this.#exit(running, 'error'));
    } else if (job.kind === 'array') {
      const savedMs = world.savedMs.get(running.task) ?? 0;
      const remainingMs = job.estimateS * 1000 * (0.5 + world.sim.random()) - savedMs;
      running.cancelTimer = this.#after(Math.max(0, remainingMs) * this.slowdown, () => this.#exit(running, 'done'));
    }
  }

  #exit(running: RunningTask, cause: ExitCause): void {
    this.#endRun(running);
    running.state = 'exited';
    running.cause = cause;
    if (cause === 'done') this.done(running.task);
    this.#reportChangeSoon();
  }

  /** Ends a running attempt with an error. */
  fail(taskName: string, attempt: number): void {
    const running = this.tasks.get(`${taskName} ${attempt}`);
    if (running?.state === 'running') this.#exit(running, 'error');
  }

  /** Called with every completed task. */
  done: (taskName: string) => void = () => undefined;

  /** Brings the next heartbeat forward to report a change soon, together with others that follow it closely. */
  #reportChangeSoon(): void {
    this.#isChangePending = true;
    if (this.#inFlight) return;
    const { sim, workerLeaseMs } = this.world;
    const latestMs = Math.max(0, this.#sentAt + workerLeaseMs / 2 - sim.now);
    this.#cancelNextHeartbeat();
    const delayMs = Math.min(CHANGE_REPORT_DELAY_MS, latestMs);
    this.#cancelNextHeartbeat = this.#after(delayMs, () => void this.#sendHeartbeat());
  }
}
