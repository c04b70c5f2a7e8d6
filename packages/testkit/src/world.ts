// A whole deployment in simulated time: controllers as they run for real, stand-ins for all the rest, and the rules of
// the protocol checked against what really runs where.
import { Controller, type ControllerPorts, type Log, settingsOf, SILENT } from '@gingerlock/daemon';
import type { HttpAnswer } from '@gingerlock/clients';
import { decodePeer, encodePeer, type PeerLink, type PeerMessage } from '@gingerlock/peer';
import {
  type CloudMachine,
  decode,
  decodeJobState,
  encode,
  encodeSubmission,
  type JobSpec,
  type JobStatus,
  machineListMap,
  machineTypesMap,
  type MachineType,
  parseCloudRequest,
  parseTaskName,
  rentedMap,
  rentRequestOf,
  returnedNamesOf,
} from '@gingerlock/wire';
import { Network } from './network';
import { Sim } from './sim';
import { SimStateService } from './state-service';
import { SimWorker, type WorkerWorld } from './worker';

export type Rule =
  'ran_twice' | 'quota' | 'wrong_place' | 'ran_cancelled' | 'forgotten' | 'invented' | 'not_done' | 'went_back';

export interface Breach {
  readonly rule: Rule;
  readonly at: number;
  readonly detail: string;
}

export interface WorldOptions {
  readonly seed: number;
  readonly log?: Log;
  /** How many controllers there are. */
  readonly controllers?: number;
  /** Machines that are up at the start. */
  readonly machines?: number;
  /** Machines of either kind that each zone has. */
  readonly capacity?: number;
  /** How many times the usual number of jobs arrive. */
  readonly load?: number;
  /** The platform's settings are made from these. */
  readonly reportS?: number;
  readonly leaseS?: number;
  readonly cancelS?: number;
  readonly gpusMax?: number;
}

export const ZONES: readonly string[] = ['north', 'south', 'east'];
const TEAMS = ['red', 'blue'];
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
  zones: [...ZONES],
};
interface Told {
  accepted: boolean;
  final: JobStatus | null;
  cancelledAt: number | null;
  cancelAsked: boolean;
}

interface Node {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  controller: Controller | null;
  link: SimLink | null;
  drift: number;
}

class SimLink implements PeerLink {
  readonly nodes: readonly string[];
  onMessage: (from: string, message: PeerMessage) => void = () => undefined;
  readonly #heard = new Map<string, { link: SimLink; at: number }>();

  constructor(
    readonly world: World,
    readonly node: string,
  ) {
    this.nodes = world.nodes.map((n) => n.name).filter((n) => n !== node);
  }

  alive(node: string): boolean {
    const heard = this.#heard.get(node);
    // The end of a process ends its connections.
    if (heard === undefined || this.world.nodes.find((n) => n.name === node)!.link !== heard.link) return false;
    return this.world.sim.now - heard.at < this.world.reportMs * 2;
  }

  send(node: string, message: PeerMessage): boolean {
    const bytes = encodePeer(message);
    const to = this.world.nodes.find((n) => n.name === node)!;
    const { link } = to;
    // A connection ends with its process: nothing goes over from one process to the next.
    if (link === null) return false;
    this.world.peerBytes += bytes.length;
    this.world.peerMessages++;
    const { network } = this.world;
    network.tell(`peer:${this.node}`, `peer:${node}`, () =>
      network.on(node, () => {
        if (to.link !== link) return;
        link.#heard.set(this.node, { link: this, at: this.world.sim.now });
        link.onMessage(this.node, decodePeer(bytes));
      }),
    );
    return true;
  }
}

export class World implements WorkerWorld {
  readonly sim: Sim;
  readonly network: Network;
  readonly state: SimStateService;
  readonly nodes: Node[];
  readonly workers = new Map<string, SimWorker>();
  readonly breaches: Breach[] = [];
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly cancelMs: number;
  cloudOutage = false;
  /** What the controllers have told each other. */
  peerBytes = 0;
  peerMessages = 0;
  startsSeen = 0;
  readonly #specs = new Map<string, JobSpec>();
  readonly #told = new Map<string, Told>();
  readonly #on = new Map<string, string>();
  readonly #done = new Map<string, Set<string>>();
  readonly #cloud = new Map<string, CloudMachine & { bornAt: number }>();
  readonly #requests = new Map<string, string[]>();
  #machineCounter = 0;
  #jobCounter = 0;

  constructor(readonly options: WorldOptions) {
    this.sim = new Sim(options.seed);
    this.network = new Network(this.sim);
    this.state = new SimStateService(this.sim);
    this.reportMs = (options.reportS ?? 1) * 1000;
    this.leaseMs = (options.leaseS ?? 6) * 1000;
    this.cancelMs = (options.cancelS ?? 20) * 1000;
    this.nodes = Array.from({ length: options.controllers ?? 3 }, (_, i) => ({
      name: `node-${i}`,
      zone: ZONES[i % ZONES.length]!,
      host: `node-${i}:8080`,
      controller: null,
      link: null,
      drift: (this.sim.random() - 0.5) * 0.001,
    }));
    this.network.hosts.set('state:1', (method, path, body) => this.state.handle(method, path, body));
    this.network.hosts.set('cloud:1', (method, path, body) => this.#cloudAnswer(method, path, body));
    for (let i = 0; i < (options.machines ?? 6); i++) this.#boot(ZONES[i % ZONES.length]!, false, 0);
    for (const node of this.nodes) this.startNode(node.name);
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
    return this.#specs.get(id);
  }

  // --- controllers -------------------------------------------------------------------------------------------------

  settings(node: string): unknown {
    const peers = this.nodes
      .filter((n) => n.name !== node)
      .map((n) => ({ node: n.name, area: n.zone, address: `${n.name}:8081` }));
    const gpusMax = this.options.gpusMax ?? 10;
    return {
      node,
      area: this.nodes.find((n) => n.name === node)!.zone,
      client_listen: `${node}:8080`,
      cluster_listen: `${node}:8081`,
      peers,
      services: { cloud: 'cloud:1', state: 'state:1' },
      facts: {
        count: this.nodes.length,
        zones: ZONES,
        teams: TEAMS.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: 4, gpus_max: gpusMax })),
        workers: { report_s: this.reportMs / 1000, lease_s: this.leaseMs / 1000, cancel_s: this.cancelMs / 1000 },
        state: { rps: 200, write_rps: 100, value_kb: 8, txn_ops: 12 },
        cloud: { rps: 8, list_lag_s: 2 },
        machine_limits: { sockets: 600 },
        skew_ms: 100,
      },
    };
  }

  startNode(name: string): void {
    const node = this.nodes.find((n) => n.name === name)!;
    if (node.controller !== null) return;
    const link = new SimLink(this, name);
    const alive = (): boolean => node.link === link;
    node.link = link;
    this.network.thaw(name);
    const ports: ControllerPorts = {
      settings: settingsOf(this.settings(name), {}),
      clock: this.sim.clock(node.drift, (this.sim.random() - 0.5) * 200, alive, (run) => this.network.on(name, run)),
      http: this.network.http(name, alive),
      link,
      log: this.options.log ?? SILENT,
    };
    const controller = new Controller(ports);
    node.controller = controller;
    // Workers know a controller by its name.
    this.network.hosts.set(name, async (_method, path, body) => {
      const reply = path === '/checkin' ? await controller.checkin(body) : { status: 404, body: null };
      return { status: reply.status, body: reply.body ?? Buffer.alloc(0) };
    });
    controller.start();
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

  #boot(zone: string, spot: boolean, afterMs: number): string {
    const name = `m-${String(++this.#machineCounter).padStart(6, '0')}`;
    const machine = {
      name,
      addr: `${name}:9000`,
      type: TYPE.name,
      zone,
      spot,
      state: 'booting' as const,
      ageS: 0,
      bornAt: this.sim.now,
    };
    this.#cloud.set(name, machine);
    this.sim.after(afterMs, () => {
      if (!this.#cloud.has(name)) return;
      this.#cloud.set(name, { ...machine, state: 'running' });
      const worker = new SimWorker(this, name, TYPE.name, zone, spot);
      worker.done = (task) => {
        const { job } = parseTaskName(task)!;
        const done = this.#done.get(job) ?? new Set();
        this.#done.set(job, done.add(task));
      };
      this.workers.set(name, worker);
    });
    return name;
  }

  /** The machine is gone with all that is on it. */
  kill(name: string, listedAs: 'failed' | 'gone'): void {
    this.workers.get(name)?.die();
    this.workers.delete(name);
    const entry = this.#cloud.get(name);
    if (entry === undefined) return;
    if (listedAs === 'failed') this.#cloud.set(name, { ...entry, state: 'failed' });
    else this.#cloud.delete(name);
  }

  #cloudAnswer(method: string, path: string, body: Buffer): HttpAnswer {
    const answer = (status: number, map: unknown): HttpAnswer => ({ status, body: encode(map) });
    if (this.cloudOutage) return answer(503, { error: 'trouble' });
    const request = parseCloudRequest(method, path);
    switch (request?.kind) {
      case undefined:
        return answer(400, {});
      case 'types':
        return answer(200, machineTypesMap([TYPE]));
      case 'rent': {
        const r = rentRequestOf(decode(body));
        const known = this.#requests.get(r.request);
        if (known !== undefined) return answer(200, rentedMap(known));
        const used = [...this.#cloud.values()].filter(
          (m) => m.zone === r.zone && m.spot === r.spot && m.state !== 'failed',
        ).length;
        const count = Math.min(r.count, (this.options.capacity ?? 4) - used);
        if (count <= 0) return answer(503, { error: 'no capacity' });
        const names = Array.from({ length: count }, () =>
          this.#boot(r.zone, r.spot, TYPE.bootS * 1000 * (0.6 + this.sim.random())),
        );
        this.#requests.set(r.request, names);
        return answer(200, rentedMap(names));
      }
      case 'return':
        for (const name of returnedNamesOf(decode(body))) this.kill(name, 'gone');
        return answer(200, {});
      case 'list': {
        const all = [...this.#cloud.values()]
          .filter((m) => m.name > request.after)
          .sort((a, b) => (a.name < b.name ? -1 : 1));
        const page = all.slice(0, request.limit).map((m) => ({ ...m, ageS: (this.sim.now - m.bornAt) / 1000 }));
        return answer(200, machineListMap(page, all.length > page.length));
      }
    }
  }

  // --- the rules ---------------------------------------------------------------------------------------------------

  #breach(rule: Rule, detail: string): void {
    this.breaches.push({ rule, at: this.sim.now, detail });
  }

  onTask(task: string, machine: string): void {
    this.startsSeen++;
    const { job } = parseTaskName(task)!;
    const spec = this.#specs.get(job)!;
    const worker = this.workers.get(machine)!;
    const other = this.#on.get(task);
    if (other !== undefined && other !== machine) this.#breach('ran_twice', `${task} on ${machine} and ${other}`);
    this.#on.set(task, machine);
    if (spec.zone !== null && spec.zone !== worker.zone) this.#breach('wrong_place', `${task} in zone ${worker.zone}`);
    if (worker.spot && !spec.spot) this.#breach('wrong_place', `${task} on spot`);
    const zones = [...this.#on].filter(([t]) => t.startsWith(`${job}/`)).map(([, m]) => this.workers.get(m)?.zone);
    if (spec.oneZone && new Set(zones).size > 1) this.#breach('wrong_place', `${job} in ${zones.join()}`);
    if (spec.spread && zones.filter((z) => z === worker.zone).length > Math.ceil(spec.tasks / 2)) {
      this.#breach('wrong_place', `${job} not spread: ${zones.join()}`);
    }
    let gpus = 0;
    for (const t of this.#on.keys()) {
      const s = this.#specs.get(parseTaskName(t)!.job)!;
      if (s.team === spec.team) gpus += s.gpus;
    }
    if (gpus > (this.options.gpusMax ?? 10) + 1e-9) this.#breach('quota', `team ${spec.team} uses ${gpus}`);
    this.#checkCancelled(task);
  }

  offTask(task: string, machine: string): void {
    if (this.#on.get(task) === machine) this.#on.delete(task);
  }

  #checkCancelled(task: string): void {
    const { cancelledAt } = this.#told.get(parseTaskName(task)!.job)!;
    if (cancelledAt !== null && this.sim.now - cancelledAt > this.cancelMs) this.#breach('ran_cancelled', task);
  }

  /** Checks what only time can show. */
  audit(): void {
    for (const task of this.#on.keys()) this.#checkCancelled(task);
  }

  // --- users -------------------------------------------------------------------------------------------------------

  randomJob(): JobSpec {
    const pick = <T>(values: readonly T[]): T => values[Math.floor(this.sim.random() * values.length)]!;
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
      types: pick([null, ['box']]),
      zone: !spread && this.sim.random() < 0.2 ? pick(ZONES) : null,
      oneZone,
      spread,
      spot: kind === 'array',
      estimateS: kind === 'array' ? 1 + this.sim.random() * 6 : 0,
      checkpointS: 0,
      saveS: 0,
      deadlineS: null,
    };
  }

  #anyController(): Controller | null {
    const up = this.nodes.filter((n) => n.controller !== null);
    return up[Math.floor(this.sim.random() * up.length)]?.controller ?? null;
  }

  /** A user's whole life with one job: submits until accepted, polls, and cancels if it is told to. */
  async user(spec: JobSpec, cancelAfterMs: number | null): Promise<void> {
    this.#specs.set(spec.id, spec);
    const told: Told = { accepted: false, final: null, cancelledAt: null, cancelAsked: false };
    this.#told.set(spec.id, told);
    const pause = (ms: number): Promise<void> =>
      new Promise((resolve) => {
        this.sim.after(ms, resolve);
      });
    // A controller that was killed never answers.
    const inTime = <T>(answer: Promise<T> | undefined): Promise<T | undefined> =>
      Promise.race([Promise.resolve(answer), pause(5000).then(() => undefined)]);
    const body = encodeSubmission(spec);
    while (!told.accepted) {
      const reply = await inTime(this.#anyController()?.submit(body));
      if (reply?.status === 400 || reply?.status === 422) {
        this.#breach('forgotten', `${spec.id} got ${reply.status}`);
        return;
      }
      if (reply?.status === 200 || reply?.status === 201) this.#heard(spec.id, reply);
      else await pause(1000);
    }
    const cancelAt = cancelAfterMs === null ? Infinity : this.sim.now + cancelAfterMs;
    for (;;) {
      await pause(500 + this.sim.random() * 1500);
      const controller = this.#anyController();
      if (controller === null) continue;
      const cancelling = this.sim.now >= cancelAt && told.final === null;
      if (cancelling) told.cancelAsked = true;
      const reply = await inTime(
        cancelling
          ? controller.cancel(spec.id)
          : this.sim.random() < 0.1
            ? controller.submit(body)
            : controller.poll(spec.id),
      );
      if (reply === undefined) continue;
      if (reply.status === 200 || reply.status === 201) this.#heard(spec.id, reply);
      else if (reply.status !== 503 && reply.status !== 429)
        this.#breach('forgotten', `${spec.id} got ${reply.status}`);
    }
  }

  #heard(id: string, reply: { body: Buffer | null }): void {
    const state = decodeJobState(reply.body!);
    const told = this.#told.get(id)!;
    told.accepted = true;
    if (told.final !== null && state.status !== told.final)
      this.#breach('went_back', `${id}: ${told.final}, then ${state.status}`);
    if (state.status === 'cancelled') {
      if (!told.cancelAsked) this.#breach('went_back', `${id} called cancelled unasked`);
      told.cancelledAt ??= this.sim.now;
    }
    if (state.status === 'done' && (this.#done.get(id)?.size ?? 0) < this.#specs.get(id)!.tasks)
      this.#breach('not_done', id);
    if (state.status === 'done' || state.status === 'cancelled') told.final = state.status;
  }

  async stranger(): Promise<void> {
    const reply = await this.#anyController()?.poll(`j-${900_000 + Math.floor(this.sim.random() * 1000)}`);
    if (reply?.status === 200) this.#breach('invented', 'a job that nobody submitted');
  }

  /** Jobs that users were told are accepted and that are neither done nor cancelled. */
  open(): string[] {
    return [...this.#told].filter(([, t]) => t.accepted && t.final === null).map(([id]) => id);
  }

  finished(): number {
    return [...this.#told.values()].filter((t) => t.final === 'done').length;
  }

  runningTasks(): ReadonlyMap<string, string> {
    return this.#on;
  }
}
