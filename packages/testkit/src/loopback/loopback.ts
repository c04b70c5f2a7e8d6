// A small deployment on loopback in real time: controllers with their own servers and peer links, stand-in servers of
// state service, cloud and workers. Names of hosts stand for addresses on 127.0.0.1.
import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { type Clock, type Http, nodeHttp } from '@gingerlock/clients';
import { Controller, openServer, type Log, settingsOf, SILENT } from '@gingerlock/daemon';
import { TcpLink } from '@gingerlock/peer';
import { encodeSubmission, type JobSpec, type MachineType } from '@gingerlock/wire';
import { BorrowingAudit } from '../audits/borrowing-audit';
import { SimCloud } from '../standins/cloud';
import type { Handler } from '../simulation/network';
import type { Invariant } from '../audits/invariants';
import { type Scheduler, seeded } from '../simulation/sim';
import { SimStateService } from '../standins/state-service';
import type { ObservedStatus } from '../standins/users';
import { SimWorker, type WorkerNetwork, type WorkerWorld } from '../standins/worker';

/** How often the audit looks. */
const AUDIT_MS = 50;

const RETRY_MS = 300;

class RealTime implements Scheduler {
  readonly random: () => number;
  readonly #startedAt = performance.now();
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(seed: number) {
    this.random = seeded(seed);
  }

  get now(): number {
    return performance.now() - this.#startedAt;
  }

  after(ms: number, run: () => void): () => void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      run();
    }, ms);
    this.#timers.add(timer);
    return () => {
      clearTimeout(timer);
      this.#timers.delete(timer);
    };
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }
}

/** Hosts by name, each with a server of its own. */
class LoopbackNetwork implements WorkerNetwork {
  readonly hosts = {
    set: (name: string, handler: Handler): void => void this.listen(name, handler),
    delete: (name: string): void => this.close(name),
  };
  readonly #servers = new Map<string, Server>();
  readonly #addresses = new Map<string, string>();
  readonly #http = nodeHttp();
  /** Hosts that stand still, and what waits there until they go on. */
  readonly #hung = new Map<string, (() => void)[]>();

  /** Serves the host at a free port. */
  async listen(name: string, handler: Handler): Promise<void> {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const answer = handler(request.method ?? 'GET', request.url ?? '/', Buffer.concat(chunks), 'loopback');
        void Promise.resolve(answer).then(({ status, body }) => response.writeHead(status).end(body));
      });
    });
    this.#servers.set(name, server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.#addresses.set(name, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  }

  /** Notes where a host listens that has a server of its own. */
  register(name: string, address: string): void {
    this.#addresses.set(name, address);
  }

  close(name: string): void {
    this.#servers.get(name)?.close();
    this.#servers.get(name)?.closeAllConnections();
    this.#servers.delete(name);
  }

  addressOf(name: string): string {
    // A port on which nothing listens: a host that is not there refuses.
    return this.#addresses.get(name) ?? '127.0.0.1:1';
  }

  http(): Http {
    return (name, method, path, body, timeoutMs) => this.#http(this.addressOf(name), method, path, body, timeoutMs);
  }

  /** Runs what happens on a host: at once, or once it goes on. */
  on(host: string, run: () => void): void {
    const held = this.#hung.get(host);
    if (held === undefined) run();
    else held.push(run);
  }

  hang(host: string): void {
    this.#hung.set(host, []);
  }

  hangs(host: string): boolean {
    return this.#hung.has(host);
  }

  resume(host: string): void {
    const held = this.#hung.get(host) ?? [];
    this.#hung.delete(host);
    for (const run of held) run();
  }

  stop(): void {
    for (const name of [...this.#servers.keys()]) this.close(name);
  }
}

interface RunningController {
  readonly controller: Controller;
  readonly link: TcpLink;
  readonly server: ReturnType<typeof openServer>;
}

export interface LoopbackOptions {
  readonly seed: number;
  readonly controllers: number;
  readonly machines: number;
  readonly guaranteedGpus: number;
  readonly gpusMax: number;
  readonly features: unknown;
  readonly log?: Log;
}

const ZONES = ['north', 'south', 'east'];
const TEAMS = ['red', 'blue'];
const REPORT_S = 0.4;
const LEASE_S = 3;
const CANCEL_S = 8;

/** How long the fetch of any image takes. */
const FETCH_MS = 2000;
const TYPE: MachineType = {
  name: 'box',
  cpus: 16,
  gpus: 4,
  memoryGb: 64,
  cacheGb: 100,
  fetchGbPerS: 10,
  price: 4,
  spotPrice: 1,
  bootS: 5,
  zones: ZONES,
};

export class LoopbackDeployment implements WorkerWorld {
  readonly sim: RealTime;
  readonly network = new LoopbackNetwork();
  readonly state: SimStateService;
  readonly cloud: SimCloud;
  readonly workers = new Map<string, SimWorker>();
  readonly violations: { readonly rule: Invariant; readonly detail: string }[] = [];
  readonly users = {
    observedByJob: new Map<string, ObservedStatus>(),
    isCancelled: (observedByJob: ObservedStatus): boolean => observedByJob.final === 'cancelled',
  };
  readonly savedMs = new Map<string, number>();
  readonly running = new Map<string, string>();
  readonly guestTeam = 'none';
  readonly heartbeatIntervalMs = REPORT_S * 1000;
  readonly workerLeaseMs = LEASE_S * 1000;
  readonly cancellationBoundMs = CANCEL_S * 1000;
  readonly longestSaveMs = 0;
  readonly borrowing = new BorrowingAudit(this);
  readonly happened = new Map<string, number>();
  readonly #controllers = new Map<string, RunningController>();
  /** Controllers that have run before. */
  readonly #started = new Set<string>();
  #stopped = false;

  constructor(readonly options: LoopbackOptions) {
    this.sim = new RealTime(options.seed);
    this.state = new SimStateService(this.sim);
    this.state.onStored = () => this.borrowing.audit(Infinity);
    this.cloud = new SimCloud({
      sim: this.sim,
      types: [TYPE],
      neverUp: 0,
      // The fleet can not grow.
      capacity: Math.ceil(options.machines / ZONES.length),
      onUp: ({ name, type, zone, spot }) => {
        const worker = new SimWorker(this, name, type, zone, spot);
        worker.done = (taskName) => this.running.delete(taskName);
        this.workers.set(name, worker);
      },
      onReturned: (name) => {
        this.workers.get(name)?.die();
        this.workers.delete(name);
      },
    });
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

  get controllers(): readonly string[] {
    return Array.from({ length: this.options.controllers }, (_, i) => `node-${i}`);
  }

  get guaranteedGpus(): number {
    return this.options.guaranteedGpus;
  }

  async start(): Promise<void> {
    await this.network.listen('state:1', (method, path, body, from) => this.state.handle(method, path, body, from));
    await this.network.listen('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    for (const name of this.controllers) this.network.register(`peer:${name}`, `127.0.0.1:${await freePort()}`);
    for (const name of this.controllers) await this.startController(name);
    for (let i = 0; i < this.options.machines; i++) this.cloud.boot(TYPE, ZONES[i % ZONES.length]!, false, 0);
    this.#auditLater();
  }

  #auditLater(): void {
    if (this.#stopped) return;
    this.borrowing.audit(Infinity);
    this.sim.after(AUDIT_MS, () => this.#auditLater());
  }

  async startController(name: string): Promise<void> {
    const settings = settingsOf(this.#settings(name), {}, this.options.features);
    const log = this.options.log ?? SILENT;
    const link = new TcpLink({
      node: name,
      listen: settings.peerListen,
      peers: settings.peers,
      silenceMs: settings.clusterConfig.heartbeatIntervalMs * 2,
      log: () => undefined,
    });
    const controller = new Controller({ settings, clock: realClock, http: this.network.http(), link, log });
    const server = openServer(controller, log, settings.sockets);
    await link.start();
    controller.start();
    // Back at the address that it had: members know no other.
    const port = Number(this.network.addressOf(name).split(':')[1]);
    await server.listen({ host: '127.0.0.1', port: this.#started.has(name) ? port : 0 });
    this.#started.add(name);
    this.network.register(name, `127.0.0.1:${(server.server.address() as AddressInfo).port}`);
    this.#controllers.set(name, { controller, link, server });
  }

  /** Ends a controller: its connections break, and nothing of it goes on. */
  async endController(name: string): Promise<void> {
    const running = this.#controllers.get(name);
    this.#controllers.delete(name);
    if (running === undefined) return;
    running.controller.stop();
    running.link.stop();
    running.server.server.closeAllConnections();
    await running.server.close();
  }

  /** The controller that leads; null: none does. */
  leader(): string | null {
    const hold = this.state.data.get('g/hold/lead');
    return hold === undefined ? null : (hold.value as { n: string }).n;
  }

  #settings(node: string): unknown {
    const zoneOf = (name: string): string => ZONES[this.controllers.indexOf(name) % ZONES.length]!;
    const peers = this.controllers
      .filter((name) => name !== node)
      .map((name) => ({ node: name, area: zoneOf(name), address: this.network.addressOf(`peer:${name}`) }));
    const { gpusMax, guaranteedGpus } = this.options;
    return {
      node,
      area: zoneOf(node),
      client_listen: '127.0.0.1:0',
      cluster_listen: this.network.addressOf(`peer:${node}`),
      peers,
      services: { cloud: 'cloud:1', state: 'state:1' },
      facts: {
        count: this.options.controllers,
        zones: ZONES,
        teams: TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: guaranteedGpus, gpus_max: gpusMax })),
        workers: { report_s: REPORT_S, lease_s: LEASE_S, cancel_s: CANCEL_S },
        state: { rps: 400, write_rps: 200, value_kb: 8, txn_ops: 12 },
        cloud: { rps: 8, list_lag_s: 1 },
        machine_limits: { sockets: 600 },
        skew_ms: 100,
      },
    };
  }

  // --- users -------------------------------------------------------------------------------------------------------

  /** Submits a job to one controller after the other until it is accepted. */
  async submit(spec: JobSpec): Promise<void> {
    const observedByJob: ObservedStatus = {
      spec,
      since: this.sim.now,
      accepted: false,
      final: null,
      cancelledAt: null,
      cancelAt: Infinity,
      cancelAsked: false,
      answeredAt: this.sim.now,
    };
    this.users.observedByJob.set(spec.id, observedByJob);
    await this.#ask('/submissions', encodeSubmission(spec));
    observedByJob.accepted = true;
  }

  async cancel(id: string): Promise<void> {
    await this.#ask(`/submissions/${id}/cancel`, null);
    this.users.observedByJob.get(id)!.final = 'cancelled';
  }

  async #ask(path: string, body: Buffer | null): Promise<void> {
    for (let i = 0; !this.#stopped; i++) {
      const name = this.controllers[i % this.controllers.length]!;
      try {
        const answer = await this.network.http()(name, 'POST', path, body, 5000);
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
      const spec = this.job(taskName.split('/')[0]!);
      return spec?.team === team && spec.kind === kind;
    };
    return [...this.running.keys()].filter(isIt).length;
  }

  // --- what workers tell -------------------------------------------------------------------------------------------

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

  async stop(): Promise<void> {
    this.#stopped = true;
    for (const worker of this.workers.values()) worker.die();
    for (const name of [...this.#controllers.keys()]) await this.endController(name);
    this.network.stop();
    this.sim.stop();
  }
}

const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  random: () => Math.random(),
};

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
