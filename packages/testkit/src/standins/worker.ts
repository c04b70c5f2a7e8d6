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

/** What a worker needs of the network that it is on. */
export interface WorkerNetwork {
  readonly hosts: { set(address: string, handler: Handler): unknown; delete(address: string): unknown };
  http(from: string, alive: () => boolean): Http;
  /** Runs what happens on a host: at once, or when it goes on. */
  on(host: string, run: () => void, eventKind?: HostEventKind): void;
}

export interface WorkerWorld {
  readonly sim: Scheduler;
  readonly network: WorkerNetwork;
  readonly controllers: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly workerLeaseMs: number;
  job(id: string): JobSpec | undefined;
  /** Where the worker of a machine takes commands, if not at its name. */
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

/** A stand-in of one worker, by the protocol's page. */
export class SimWorker {
  agentEpoch = 1;
  sequenceNumber = 0;
  fencingToken = 0;
  noticeS: number | null = null;
  alive = true;
  /** Where it takes commands. */
  readonly addr: string;
  /** Tasks end with an error shortly after their start. */
  isQuarantined = false;
  /** Tasks take so many times as long. */
  slowness = 1;
  readonly tasks = new Map<string, RunningTask>();
  readonly #images = new Set<string>();
  /** When the last answered report was sent, or the session began. */
  #leaseFrom: number;
  #target = 0;
  #nextTimer: () => void = () => undefined;
  /** One report is in flight at a time. */
  #inFlight = false;
  #soon = false;

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
          // A hanging machine that goes on executes what has come meanwhile.
          world.network.on(name, () => resolve(path === '/inspect' ? this.inspect() : this.command(body)));
        }),
    );
  }

  /** A timer of this machine: while it hangs nothing happens on it. */
  #after(ms: number, run: () => void): () => void {
    let over = false;
    const cancel = this.world.sim.after(ms, () =>
      this.world.network.on(this.name, () => {
        if (!over) run();
      }),
    );
    return () => {
      over = true;
      cancel();
    };
  }

  #watchLease(): void {
    const { sim, workerLeaseMs } = this.world;
    if (!this.alive) return;
    if (sim.now - this.#leaseFrom > workerLeaseMs) {
      for (const t of [...this.tasks.values()]) this.#leave(t);
      this.tasks.clear();
      this.agentEpoch++;
      this.#leaseFrom = sim.now;
    }
    // The lease ends on a machine that hangs, too: it may go on within its lease, says the protocol, and not after it.
    sim.after(20, () => this.#watchLease());
  }

  /** A `/inspect` request. */
  inspect(): HttpResponse {
    return { status: 200, body: this.#body() };
  }

  /** A direct `/commands` request, however late it comes. */
  command(body: Buffer): HttpResponse {
    const { fencingToken, agentEpoch, commands } = decodeCommands(body);
    const stale = fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch;
    if (!stale) {
      const higher = fencingToken > this.fencingToken;
      this.fencingToken = fencingToken;
      for (const c of commands) this.#execute(c);
      if (higher) this.#changed();
    }
    return { status: stale ? 409 : 200, body: this.#body() };
  }

  die(): void {
    if (!this.alive) return;
    this.world.network.hosts.delete(this.addr);
    this.alive = false;
    for (const t of this.tasks.values()) this.#leave(t);
    this.tasks.clear();
  }

  /** The cloud will take the machine. */
  notice(seconds: number): void {
    this.noticeS = seconds;
    this.#changed();
  }

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
      tasks: [...this.tasks.values()].map((t) => ({
        task: t.task,
        attempt: t.attempt,
        state: t.state,
        cause: t.cause,
        saved: t.saved,
      })),
    });
  }

  #leave(t: RunningTask): void {
    t.cancelTimer();
    if (t.state === 'running' || t.state === 'saving') this.world.offTask(t.task, this.name);
  }

  async #sendHeartbeat(): Promise<void> {
    const { sim, network, controllers, heartbeatIntervalMs } = this.world;
    if (!this.alive) return;
    this.#inFlight = true;
    this.#soon = false;
    const sentAt = sim.now;
    const agentEpoch = this.agentEpoch;
    const body = this.#body();
    const target = controllers[this.#target]!;
    let wait = heartbeatIntervalMs * (0.75 + sim.random() / 2);
    const http = network.http(this.name, () => this.alive);
    try {
      const answer = await http(target, 'POST', '/checkin', body, 4000);
      if (answer.status === 200) {
        if (this.#take(answer, agentEpoch, sentAt)) wait = 500;
      } else if (answer.status === 421) {
        const to = decodeRedirect(answer.body);
        const index = to === null ? -1 : controllers.indexOf(to);
        if (index >= 0 && index !== this.#target) {
          this.#target = index;
          wait = sim.random() * 500;
        } else {
          this.#target = (this.#target + 1) % controllers.length;
          wait = 1000;
        }
      } else throw new Error('refused');
    } catch {
      this.#target = (this.#target + 1) % controllers.length;
      wait = 1000;
    }
    this.#inFlight = false;
    if (!this.alive) return;
    if (this.#soon) wait = Math.min(wait, 500);
    this.#nextTimer = this.#after(wait, () => void this.#sendHeartbeat());
  }

  /** Takes an answer; true if something changed. */
  #take(answer: HttpResponse, agentEpoch: number, sentAt: number): boolean {
    const { fencingToken, commands } = decodeCommands(answer.body);
    if (!this.alive || agentEpoch !== this.agentEpoch || fencingToken < this.fencingToken) return false;
    // Late: it hung meanwhile.
    if (this.world.sim.now - sentAt > 4000) return false;
    const higher = fencingToken > this.fencingToken;
    this.fencingToken = fencingToken;
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const c of commands) this.#execute(c);
    return commands.length > 0 || higher;
  }

  #execute(c: WorkerCommand): void {
    const key = `${c.task} ${c.attempt}`;
    const known = this.tasks.get(key);
    switch (c.op) {
      case 'start':
        if (known === undefined) {
          this.world.onCommanded(c.task, c.attempt, this.name);
          this.#start(c.task, c.attempt);
        }
        return;
      case 'stop':
        if (known !== undefined && known.state !== 'exited') this.#stop(known, c.graceS);
        return;
      case 'forget':
        if (known?.state === 'exited') this.tasks.delete(key);
        return;
    }
  }

  /**
   * A running task saves if it has checkpoints and the time for one; any other ends at once, and so does one that is
   * told a second time.
   */
  #stop(t: RunningTask, graceS: number): void {
    const job = this.world.job(parseTaskName(t.task)!.job)!;
    const runMs = t.runsSince === null ? 0 : this.world.sim.now - t.runsSince;
    if (t.state === 'saving' && graceS > 0) return;
    if (t.state !== 'running' || job.checkpointS <= 0 || graceS < job.saveS) {
      if (job.kind === 'array' && t.state === 'running') this.world.stoppedTask(t.task, runMs, false);
      this.#exit(t, 'stopped');
      return;
    }
    t.cancelTimer();
    t.state = 'saving';
    this.#changed();
    t.cancelTimer = this.#after(job.saveS * 1000, () => {
      this.world.stoppedTask(t.task, runMs, true);
      t.saved = true;
      this.#exit(t, 'stopped');
    });
  }

  #start(taskName: string, attempt: number): void {
    const { world } = this;
    const { sim } = world;
    const parsed = parseTaskName(taskName);
    const job = parsed === null ? undefined : world.job(parsed.job);
    const t: RunningTask = {
      task: taskName,
      attempt,
      state: 'fetching',
      cause: null,
      saved: false,
      runsSince: null,
      cancelTimer: () => undefined,
    };
    const busy = [...this.tasks.values()].some((o) => o.task === taskName && o.state !== 'exited');
    this.tasks.set(`${taskName} ${attempt}`, t);
    if (job === undefined || busy) {
      t.state = 'exited';
      t.cause = job === undefined ? 'unknown' : 'busy';
      return;
    }
    t.cancelTimer = this.#after(this.#images.has(job.image) ? 10 : world.fetchMs(job, this.type), () => {
      this.#images.add(job.image);
      t.state = 'running';
      t.runsSince = sim.now;
      world.onTask(taskName, this.name, attempt);
      this.#changed();
      if (this.isQuarantined || world.isBroken(job.id)) t.cancelTimer = this.#after(300, () => this.#exit(t, 'error'));
      else if (job.kind === 'array') {
        const leftMs = job.estimateS * 1000 * (0.5 + sim.random()) - (world.savedMs.get(taskName) ?? 0);
        t.cancelTimer = this.#after(Math.max(0, leftMs) * this.slowness, () => this.#exit(t, 'done'));
      }
    });
  }

  #exit(t: RunningTask, cause: ExitCause): void {
    this.#leave(t);
    t.state = 'exited';
    t.cause = cause;
    if (cause === 'done') this.done(t.task);
    this.#changed();
  }

  /** A task has ended by itself, with an error. */
  fail(taskName: string, attempt: number): void {
    const running = this.tasks.get(`${taskName} ${attempt}`);
    if (running?.state === 'running') this.#exit(running, 'error');
  }

  /** Told of every completed task. */
  done: (taskName: string) => void = () => undefined;

  /** A change is reported soon: the pending timer is brought forward. */
  #changed(): void {
    this.#soon = true;
    if (this.#inFlight) return;
    this.#nextTimer();
    this.#nextTimer = this.#after(500, () => void this.#sendHeartbeat());
  }
}
