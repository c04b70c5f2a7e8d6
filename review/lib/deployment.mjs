// A small deployment on loopback: controllers as processes of their own, started with the deploy file's command, and
// stand-ins for the state service, the cloud, the workers and the users.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';
import { freePorts, send, sleep } from './wire.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const YARDS = ['amman-north', 'irbid-east', 'aqaba-south'];
const NODES = 3;
/** A controller is back this long after its end (BRIEF). */
const RESTART_MS = 4000;
/** Users wait this long for the answers to a submission and to a question. */
const SUBMIT_MS = 5000;
const POLL_MS = 2000;
/** The times of BRIEF's first deployment. */
export const TIMES = { report_s: 1.5, lease_s: 10, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 30 };

export class Deployment {
  store = new Store();
  /** By id: what users submitted. */
  jobs = new Map();
  /** Controllers: name, ports, the process, and how often it ended by itself. */
  nodes = [];
  workers = [];
  /** By task: how often it began to run. */
  startsByTask = new Map();
  /** The tasks that a worker killed at the end of its lease, in the order of their ends. */
  killedTasks = [];
  #startedAt = performance.now();
  #stream;
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #isStopped = false;

  constructor(recordFile) {
    this.#stream = createWriteStream(recordFile);
    this.record = (line) => {
      if (!this.#stream.writableEnded) this.#stream.write(`${this.seconds().toFixed(2)} ${line}\n`);
    };
  }

  seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Starts stand-ins, controllers and workers. `teams`: in the form of the settings. */
  async start({ machines, teams }) {
    const ports = await freePorts(2 + NODES * 2 + machines);
    const [storePort, cloudPort] = ports.splice(0, 2);
    for (let i = 0; i < NODES; i++) {
      const [clientPort, peerPort] = ports.splice(0, 2);
      this.nodes.push({ name: `stall-${i}`, area: YARDS[i], port: clientPort, peerPort, process: null, ends: 0 });
    }
    const options = {
      nodes: this.nodes,
      reportMs: TIMES.report_s * 1000,
      leaseMs: TIMES.lease_s * 1000,
      jobOf: (id) => this.jobs.get(id),
      record: this.record,
      completed: new Set(),
      onStart: (task, machine) => {
        this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1);
        this.onTask?.(`${task} runs on ${machine}`);
      },
      onEnd: (task, machine, why) => {
        if (why === 'lease over') this.killedTasks.push(task);
        this.onTask?.(`${task} ended on ${machine}: ${why}`);
      },
    };
    this.workers = ports.map((port, i) => {
      const name = `m-${String(i).padStart(6, '0')}`;
      return new Worker({ ...options, name, port, yard: YARDS[i % YARDS.length] });
    });
    this.cloud = new Cloud(this.workers, YARDS, this.record);
    await this.store.start(storePort);
    await this.cloud.start(cloudPort);
    for (const node of this.nodes) this.#writeSettings(node, storePort, cloudPort, teams);
    for (const node of this.nodes) this.startNode(node);
    for (const worker of this.workers) await worker.start();
  }

  #writeSettings(node, storePort, cloudPort, teams) {
    const others = this.nodes.filter((other) => other !== node);
    const settings = {
      node: node.name,
      area: node.area,
      client_listen: `127.0.0.1:${node.port}`,
      cluster_listen: `127.0.0.1:${node.peerPort}`,
      peers: others.map(({ name, area, peerPort }) => ({ node: name, area, address: `127.0.0.1:${peerPort}` })),
      services: { cloud: `127.0.0.1:${cloudPort}`, state: `127.0.0.1:${storePort}` },
      facts: {
        count: NODES,
        zones: YARDS,
        teams,
        objectives: [],
        workers: TIMES,
        state: { rps: 250, write_rps: 100, value_kb: 16, txn_ops: 12 },
        cloud: { rps: 8, list_lag_s: 10 },
        machine_limits: { cores: 0.136, ram_mb: 114, sockets: 600 },
        skew_ms: 100,
      },
    };
    node.settingsFile = join(this.#folder, `${node.name}.json`);
    writeFileSync(node.settingsFile, JSON.stringify(settings));
  }

  /** Starts the controller's process with the command of the deploy file, which the platform starts again if it ends. */
  startNode(node) {
    const deployFile = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
    const child = spawn(program, [...args, node.settingsFile], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    node.process = child;
    this.record(`${node.name}: process ${child.pid} started`);
    child.stderr.on('data', (bytes) => this.#logLines(node, bytes));
    child.on('exit', (code, signal) => {
      this.record(`${node.name}: process ${child.pid} ended, code ${code}, signal ${signal}`);
      if (node.process === child) node.process = null;
      if (!node.isKilled) node.ends++;
      node.isKilled = false;
      if (!this.#isStopped) setTimeout(() => this.#restart(node), RESTART_MS);
    });
  }

  #restart(node) {
    if (!this.#isStopped && node.process === null) this.startNode(node);
  }

  #logLines(node, bytes) {
    for (const line of bytes.toString().split('\n')) {
      if (line.trim() !== '') this.record(`  ${node.name} log: ${line.slice(0, 200)}`);
    }
  }

  /** Kills a controller without notice. The platform starts it again. */
  kill(node) {
    if (node.process === null) return;
    this.record(`TROUBLE: ${node.name} killed`);
    node.isKilled = true;
    node.process.kill('SIGKILL');
  }

  /** Waits until all controllers answer health checks with 200. Returns false if they do not in time. */
  async untilUp(withinMs) {
    const deadline = performance.now() + withinMs;
    while (performance.now() < deadline) {
      const statuses = await Promise.all(this.nodes.map(({ port }) => this.#statusOf(port, 'GET', '/up', null, 1000)));
      if (statuses.every((status) => status === 200)) return true;
      await sleep(200);
    }
    return false;
  }

  async #statusOf(port, method, path, body, timeoutMs) {
    try {
      return (await send(port, method, path, body, timeoutMs)).status;
    } catch {
      return null;
    }
  }

  /** Submits a job as a user does: to another node after each failure, for up to 60 s or `until`. Returns the last status. */
  async submit(job, firstNode = 0, until = Infinity) {
    this.jobs.set(job.name_id, job);
    const deadline = Math.min(until, performance.now() + 60_000);
    let status = null;
    for (let i = firstNode; performance.now() < deadline; i++) {
      const node = this.nodes[i % NODES];
      status = await this.#statusOf(node.port, 'POST', '/submissions', job, SUBMIT_MS);
      this.record(`user: submission of ${job.name_id} to ${node.name}: ${status ?? 'no answer'}`);
      if (status === 200 || status === 201 || status === 400 || status === 422) return status;
      await sleep(1000);
    }
    return status;
  }

  /** Asks one node about a job. Returns `{ status, state }`; status is null without an answer. */
  async poll(id, node) {
    try {
      const { status, body } = await send(node.port, 'GET', `/submissions/${id}`, null, POLL_MS);
      this.record(`user: ${id} at ${node.name}: ${status} ${JSON.stringify(body)}`);
      return { status, state: body?.status ?? null };
    } catch (error) {
      this.record(`user: ${id} at ${node.name}: ${error.message}`);
      return { status: null, state: null };
    }
  }

  /** Ends all processes that this deployment has started, and removes its folder. */
  async stop() {
    this.#isStopped = true;
    const running = this.nodes.map((node) => node.process).filter((child) => child !== null);
    const exits = running.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of running) child.kill('SIGKILL');
    await Promise.all(exits);
    rmSync(this.#folder, { recursive: true, force: true });
    await new Promise((resolve) => this.#stream.end(resolve));
  }
}

/** A job in the form of PROTOCOL, with the given fields in place of the defaults. */
export function jobOf(fields) {
  return {
    lane: 'petra-small',
    crew: 'dispatch-00',
    shape: 'sweep',
    urgency: 'standard',
    parcels: 1,
    cores: 4,
    accelerators: 1,
    memory_gb: 12,
    crate: 'img-07',
    image_gb: 0.5,
    breeds: null,
    yard: null,
    same_place: false,
    scatter: false,
    borrowed: false,
    guess_s: 10,
    stash_every_s: 0,
    stash_s: 0,
    due_s: null,
    ...fields,
  };
}

/** Limits of a team as in BRIEF's first deployment. */
export const TEAM = { name: 'dispatch-00', cpus: 0, cpus_max: 0, gpus: 32, gpus_max: 72 };

/**
 * Runs a case. `play(deployment, isTroubled)` returns `{ broken, why }`, or throws if the case could not run. Exits with
 * 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const deployment = new Deployment(join(folder, 'record.txt'));
  const finish = async (code, line) => {
    clearTimeout(timer);
    deployment.record(line);
    process.stdout.write(`${line}\n`);
    await deployment.stop();
    process.exit(code);
  };
  const timer = setTimeout(() => void finish(2, 'could not run: out of time'), 118_000);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => void finish(2, `stopped: ${signal}`));
  process.on('uncaughtException', (error) => void finish(2, `could not run: ${error.stack}`));
  deployment.record(isTroubled ? 'with the disruption' : 'without the disruption');
  try {
    const { broken, why } = await play(deployment, isTroubled);
    await finish(broken ? 1 : 0, `${broken ? 'rule broken' : 'rule held'}: ${why}`);
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}
