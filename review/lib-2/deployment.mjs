// A small deployment on loopback: the project's controllers as processes, and stand-ins for all that is around them.
import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { Cloud } from './cloud.mjs';
import { Controllers } from './controllers.mjs';
import { call, pack, unpack } from './http.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const USER_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Times, limits and machine type of the users' site qasr-amman-fleet. */
export const AMMAN = {
  zones: ['amman-north', 'irbid-east', 'aqaba-south'],
  workers: { report_s: 1.5, lease_s: 10, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 30 },
  state: { rps: 250, write_rps: 100, value_kb: 16, txn_ops: 12 },
  cloud: { rps: 8, list_lag_s: 10 },
  machineLimits: { cores: 0.136, ram_mb: 114, sockets: 600 },
  type: {
    sku: 'wadi-48',
    cores: 48,
    accelerators: 8,
    memory_gb: 192,
    cache_gb: 300,
    fetch_gb_per_s: 9,
    price: 29,
    low_price: 7.28,
    ready_s: 35,
  },
};

/** Returns the map of a submission; `fields` overrides the defaults. */
export function jobOf(id, fields) {
  return {
    name_id: id,
    lane: 'petra-small',
    crew: 'dispatch-00',
    shape: 'sweep',
    urgency: 'standard',
    parcels: 1,
    cores: 4,
    accelerators: 1,
    memory_gb: 12,
    crate: 'img-01',
    image_gb: 1,
    breeds: null,
    yard: null,
    same_place: false,
    scatter: false,
    borrowed: false,
    guess_s: 5,
    stash_every_s: 0,
    stash_s: 0,
    due_s: null,
    ...fields,
  };
}

/** A deployment; `site` has the form of `AMMAN`. */
export class Deployment {
  jobs = new Map();
  workersByName = new Map();
  /** By task: the names of the machines that it is on. */
  on = new Map();
  done = new Set();
  /** Broken rules, as lines. */
  broken = [];
  /** Events `{ at, kind, task, machine, cause }` of tasks, in order. */
  events = [];
  onTask = () => undefined;
  #startedAt = performance.now();

  constructor({ site = AMMAN, teams, recordFile = null, env = {}, logFile = null, count = 3, types = null }) {
    this.site = site;
    this.workers = site.workers;
    this.stream = recordFile === null ? null : createWriteStream(recordFile);
    this.types = types ?? [{ ...site.type, yards: site.zones }];
    this.facts = {
      count,
      zones: site.zones,
      teams: teams ?? [{ name: 'dispatch-00', cpus: 0, cpus_max: 0, gpus: 32, gpus_max: 72 }],
      objectives: [],
      workers: site.workers,
      state: site.state,
      cloud: site.cloud,
      machine_limits: site.machineLimits,
      skew_ms: 100,
    };
    const record = (line) => this.record(line);
    this.store = new Store(site.state, record);
    this.cloud = new Cloud(this.types, record);
    this.nodes = new Controllers({ facts: this.facts, zones: site.zones, record, env, logFile });
    this.controllers = Array.from({ length: count }, (_, index) => `stall-${index}`);
    this.cloud.onReturned = (name) => {
      this.workersByName.get(name)?.die();
      this.workersByName.delete(name);
    };
  }

  get now() {
    return performance.now() - this.#startedAt;
  }

  record(line) {
    const text = `${(this.now / 1000).toFixed(3)} ${line}\n`;
    if (this.stream === null) process.stdout.write(text);
    else this.stream.write(text);
  }

  /** Starts the services and the controllers; `machines` lists `{ zone, type }` that are up at the start. */
  async start({ machines = [] } = {}) {
    await this.nodes.reserve(this.controllers);
    await this.cloud.listen();
    const stateAddress = new Map();
    for (const name of this.controllers) stateAddress.set(name, await this.store.listenFor(name));
    this.nodes.services = (name) => ({ cloud: this.cloud.address, state: stateAddress.get(name) });
    for (const name of this.controllers) this.nodes.start(name);
    for (const machine of machines) await this.addMachine(machine);
  }

  async addMachine({ zone, type = this.types[0].sku, spot = false }) {
    const name = this.cloud.add({ type, zone, spot });
    await this.startWorker(name, type, zone, spot);
    return name;
  }

  async startWorker(name, type, zone, spot) {
    const target = this.workersByName.size % this.controllers.length;
    const worker = new Worker(this, { name, type, zone, spot, target });
    this.workersByName.set(name, worker);
    await worker.start();
    const listed = this.cloud.machines.get(name);
    if (listed !== undefined) Object.assign(listed, { addr: worker.addr, status: 'running' });
    return worker;
  }

  async stop() {
    for (const worker of this.workersByName.values()) worker.die();
    await this.nodes.stop();
    this.store.stop();
    this.cloud.stop();
    if (this.stream !== null) await new Promise((resolve) => this.stream.end(resolve));
  }

  // What workers need.
  addressOf(controller) {
    return this.nodes.nodes.get(controller).client;
  }

  job(id) {
    return this.jobs.get(id);
  }

  typeOf(name) {
    return this.types.find(({ sku }) => sku === name);
  }

  isDone(task) {
    return this.done.has(task);
  }

  speed() {
    return 1;
  }

  onRun(task, machine, attempt) {
    const machines = this.on.get(task) ?? new Set();
    if (machines.size > 0) this.breakRule(`ran_twice: ${task} starts on ${machine} while it is on ${[...machines]}`);
    machines.add(machine);
    this.on.set(task, machines);
    const event = { at: this.now, kind: 'run', task, machine, attempt };
    this.events.push(event);
    this.onTask(event);
  }

  onEnd(task, machine, cause) {
    this.on.get(task)?.delete(machine);
    if (cause === 'done') this.done.add(task);
    const event = { at: this.now, kind: 'end', task, machine, cause };
    this.events.push(event);
    this.onTask(event);
  }

  breakRule(text) {
    this.broken.push(text);
    this.record(`RULE BROKEN ${text}`);
  }

  // Users.
  async ask(controller, method, path, body = null, timeoutMs = USER_TIMEOUT_MS) {
    try {
      const answer = await call(this.addressOf(controller), method, path, body, timeoutMs);
      let decoded = null;
      try {
        decoded = answer.body.length > 0 ? unpack(answer.body) : null;
      } catch {
        decoded = null;
      }
      return { status: answer.status, body: decoded };
    } catch (error) {
      return { status: 0, body: { error: error.message } };
    }
  }

  /** Submits a job until a controller accepts or refuses it, for up to 60 s; returns the last answer. */
  async submit(job, first = 0) {
    this.jobs.set(job.name_id, job);
    const until = this.now + 60_000;
    for (let i = first; ; i++) {
      const controller = this.controllers[i % this.controllers.length];
      const answer = await this.ask(controller, 'POST', '/submissions', pack(job));
      const text = `user: submits ${job.name_id} to ${controller}: ${answer.status} ${JSON.stringify(answer.body)}`;
      this.record(text);
      if ([200, 201, 400, 422].includes(answer.status) || this.now > until) return answer;
      await sleep(1000);
    }
  }

  /** Asks one controller for a job. */
  poll(controller, id) {
    return this.ask(controller, 'GET', `/submissions/${id}`, null, POLL_TIMEOUT_MS);
  }

  /** Cancels a job until a controller confirms it or says that it is done; returns the last answer. */
  async cancel(id, first = 0) {
    const until = this.now + 60_000;
    for (let i = first; ; i++) {
      const controller = this.controllers[i % this.controllers.length];
      const answer = await this.ask(controller, 'POST', `/submissions/${id}/cancel`);
      this.record(`user: cancels ${id} at ${controller}: ${answer.status} ${JSON.stringify(answer.body)}`);
      if (answer.status === 200 || this.now > until) return answer;
      await sleep(1000);
    }
  }

  /** Waits until `condition()` holds; returns whether it does. */
  async until(condition, withinMs) {
    const until = this.now + withinMs;
    while (this.now < until) {
      if (await condition()) return true;
      await sleep(50);
    }
    return condition();
  }

  /** Waits until a controller is healthy. */
  isUp(controller) {
    return this.ask(controller, 'GET', '/up', null, 1000).then(({ status }) => status === 200);
  }

  async allUp(withinMs) {
    return this.until(
      async () => (await Promise.all(this.controllers.map((name) => this.isUp(name)))).every(Boolean),
      withinMs,
    );
  }
}

/** Times, limits and the larger machine type of the users' site tannour-bakeries. */
export const TANNOUR = {
  zones: ['salt-central', 'tafila-south', 'ramtha-north'],
  workers: { report_s: 1.5, lease_s: 13, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 43 },
  state: { rps: 250, write_rps: 100, value_kb: 8, txn_ops: 24 },
  cloud: { rps: 2, list_lag_s: 10 },
  machineLimits: { cores: 0.102, ram_mb: 114, sockets: 600 },
  type: {
    sku: 'hisn-96',
    cores: 96,
    accelerators: 8,
    memory_gb: 384,
    cache_gb: 300,
    fetch_gb_per_s: 4,
    price: 27.3,
    low_price: 10.86,
    ready_s: 30,
  },
};

/** Times, limits and machine type of the users' site hayirsever-ankara. */
export const ANKARA = {
  zones: ['ankara-bati', 'istanbul-kuzey', 'izmir-liman'],
  workers: { report_s: 3, lease_s: 27, gang_wait_s: 50, gang_peer_s: 8, cancel_s: 57 },
  state: { rps: 80, write_rps: 20, value_kb: 8, txn_ops: 12 },
  cloud: { rps: 2, list_lag_s: 4 },
  machineLimits: { cores: 0.136, ram_mb: 114, sockets: 600 },
  type: {
    sku: 'kervan-48',
    cores: 48,
    accelerators: 8,
    memory_gb: 384,
    cache_gb: 300,
    fetch_gb_per_s: 4.6,
    price: 21.9,
    low_price: 8.53,
    ready_s: 25,
  },
};
