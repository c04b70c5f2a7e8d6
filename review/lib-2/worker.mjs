// A stand-in for a worker (PROTOCOL, "Workers -> controller nodes"): reports, executes commands, runs tasks.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { call, pack, serveHttp, unpack } from './http.mjs';

const ANSWER_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_REPORT_GAP_MS = 500;
const LEASE_CHECK_MS = 20;
const AMOUNTS = ['cores', 'accelerators', 'memory_gb'];

/**
 * A worker. `world` gives `workers` of the settings, `controllers` (names), `addressOf(name)`, `job(id)` (the submitted
 * map or undefined), `record`, and the callbacks `onRun(task, machine)`, `onEnd(task, machine, cause)`.
 */
export class Worker {
  shift = 1;
  tally = 0;
  baton = 0;
  tasks = new Map();
  isAlive = true;
  /** Fails every task that it starts. */
  isSick = false;
  /** While set, the worker drops every answer and direct command, which is what a deaf machine does. */
  isDeaf = false;
  /** Called with each request body and answer, for the record and the checks of a case. */
  onReport = () => undefined;
  onAnswer = () => undefined;
  #images = new Set();
  /** By task that has not exited: its job. */
  #held = new Map();
  #used = { cores: 0, accelerators: 0, memory_gb: 0 };
  #target = 0;
  #leaseFrom = performance.now();
  #sentAt = -Infinity;
  #tokenReportAt = -Infinity;
  #inFlight = false;
  #isChanged = false;
  /** Whether the last report was not answered with 200, so that the next one goes to another controller. */
  #isRetry = false;
  #timer = null;

  constructor(world, { name, type, zone, spot = false, target = 0 }) {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.#target = target;
  }

  async start() {
    this.server = await serveHttp((method, path, body) => this.#serve(path, body));
    this.addr = `127.0.0.1:${this.server.address().port}`;
    this.#schedule(Math.random() * 300);
    this.#watchLease();
  }

  /** Ends the machine with all that is on it. */
  die() {
    if (!this.isAlive) return;
    this.isAlive = false;
    clearTimeout(this.#timer);
    for (const task of this.tasks.values()) this.#leave(task, 'machine gone');
    this.tasks.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  #serve(path, body) {
    if (this.isDeaf) return null;
    if (path === '/inspect') return { status: 200, body: this.#report() };
    const { baton, shift, orders } = unpack(body);
    if (baton === undefined || shift === undefined) return { status: 400, body: {} };
    if (baton < this.baton || shift !== this.shift) return { status: 409, body: this.#report() };
    this.#see(baton);
    for (const order of orders) this.#execute(order);
    return { status: 200, body: this.#report() };
  }

  #see(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    const now = performance.now();
    if (now - this.#tokenReportAt < (this.world.workers.lease_s * 1000) / 2) return;
    this.#tokenReportAt = now;
    this.#changed();
  }

  #report() {
    const parcels = [...this.tasks.values()].map(({ parcel, attempt, status, cause, stored }) => ({
      parcel,
      try: attempt,
      status,
      ...(cause === null ? {} : { cause }),
      ...(cause === 'halted' ? { stored } : {}),
    }));
    return {
      rig: this.name,
      addr: this.addr,
      breed: this.type,
      yard: this.zone,
      borrowed: this.spot,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: null,
      parcels,
    };
  }

  #watchLease() {
    if (!this.isAlive) return;
    if (performance.now() - this.#leaseFrom > this.world.workers.lease_s * 1000) {
      if (this.tasks.size > 0)
        this.world.record(`worker ${this.name}: lease ran out, ${this.tasks.size} tasks are killed and forgotten`);
      for (const task of this.tasks.values()) this.#leave(task, 'lease ran out');
      this.tasks.clear();
      this.shift++;
      this.#leaseFrom = performance.now();
      this.#changed();
    }
    setTimeout(() => this.#watchLease(), LEASE_CHECK_MS);
  }

  #schedule(ms) {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#send(), ms);
  }

  #changed() {
    this.#isChanged = true;
    if (this.#inFlight || this.#isRetry || !this.isAlive) return;
    this.#schedule(Math.max(0, this.#sentAt + MIN_REPORT_GAP_MS - performance.now()));
  }

  async #send() {
    if (!this.isAlive) return;
    this.#inFlight = true;
    this.#isChanged = false;
    this.#isRetry = false;
    this.#sentAt = performance.now();
    const waitMs = await this.#exchange();
    this.#inFlight = false;
    if (!this.isAlive) return;
    const changeMs = Math.max(0, this.#sentAt + MIN_REPORT_GAP_MS - performance.now());
    // A change doesn't shorten the wait before another controller is tried.
    this.#schedule(this.#isChanged && !this.#isRetry ? Math.min(waitMs, changeMs) : waitMs);
  }

  /** Sends one report; returns how long to wait for the next one. */
  async #exchange() {
    const { world, shift } = this;
    const usualMs = world.workers.report_s * 1000 * (0.75 + Math.random() / 2);
    const report = this.#report();
    const sentAt = this.#sentAt;
    this.onReport(report);
    let answer;
    try {
      const address = world.addressOf(world.controllers[this.#target], this.name);
      answer = await call(address, 'POST', '/checkin', pack(report), ANSWER_TIMEOUT_MS);
    } catch {
      return this.#next();
    }
    if (this.isDeaf || !this.isAlive) return this.#next();
    if (answer.status === 421) return this.#redirected(unpack(answer.body).foreman);
    if (answer.status !== 200) {
      this.onAnswer({ status: answer.status, bytes: answer.body.length });
      return this.#next();
    }
    const body = unpack(answer.body);
    this.onAnswer({ status: 200, body, jsonBytes: Buffer.byteLength(JSON.stringify(body)) });
    if (shift !== this.shift || typeof body.baton !== 'number' || body.baton < this.baton) return usualMs;
    this.#see(body.baton);
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const order of body.orders) this.#execute(order);
    return Math.max(0, usualMs - (performance.now() - sentAt));
  }

  #redirected(foreman) {
    const index = this.world.controllers.indexOf(foreman);
    if (index < 0 || index === this.#target) return this.#next();
    this.#target = index;
    return Math.random() * 500;
  }

  #next() {
    this.#isRetry = true;
    this.#target = (this.#target + 1) % this.world.controllers.length;
    return RETRY_MS;
  }

  #execute({ verb, parcel, try: attempt, leeway_s: leewayS }) {
    const key = `${parcel} ${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'start' && task === undefined) this.#start(key, parcel, attempt);
    else if (verb === 'halt' && task !== undefined && task.status !== 'exited') this.#halt(task, leewayS ?? 0);
    else if (verb === 'forget' && task?.status === 'exited') this.tasks.delete(key);
  }

  #start(key, parcel, attempt) {
    const [id, index] = parcel.split('/');
    const job = this.world.job(id);
    const task = {
      parcel,
      attempt,
      status: 'fetching',
      cause: null,
      stored: false,
      timer: null,
      isOn: false,
      isHeld: false,
    };
    const isHere = this.#held.has(parcel);
    this.tasks.set(key, task);
    this.#changed();
    if (job === undefined || Number(index) >= job.parcels) return this.#exit(task, 'no_such');
    if (isHere) return this.#exit(task, 'in_use');
    if (!this.#hasRoomFor(job)) return this.#exit(task, 'full');
    this.#hold(task, job);
    const fetchMs = this.#images.has(job.crate) ? 10 : 300;
    task.timer = setTimeout(() => this.#run(task, job), fetchMs);
  }

  #hasRoomFor(job) {
    const type = this.world.typeOf(this.type);
    return AMOUNTS.every((amount) => this.#used[amount] + job[amount] <= type[amount] + 1e-6);
  }

  #hold(task, job) {
    this.#held.set(task.parcel, job);
    task.isHeld = true;
    for (const amount of AMOUNTS) this.#used[amount] += job[amount];
  }

  #run(task, job) {
    this.#images.add(job.crate);
    task.status = 'running';
    task.isOn = true;
    this.world.onRun(task.parcel, this.name, task.attempt);
    this.#changed();
    if (this.isSick) task.timer = setTimeout(() => this.#exit(task, 'error'), 200);
    else if (job.shape === 'sweep') {
      if (this.world.isDone(task.parcel)) this.#exit(task, 'done');
      else task.timer = setTimeout(() => this.#exit(task, 'done'), job.guess_s * 1000 * this.world.speed());
    }
  }

  #halt(task, leewayS) {
    const job = this.world.job(task.parcel.split('/')[0]);
    if (task.status === 'flushing' && leewayS > 0) return;
    if (task.status !== 'running' || job.stash_every_s <= 0 || leewayS < job.stash_s) {
      this.#exit(task, 'halted');
      return;
    }
    clearTimeout(task.timer);
    task.status = 'flushing';
    task.timer = setTimeout(() => {
      task.stored = true;
      this.#exit(task, 'halted');
    }, job.stash_s * 1000);
    this.#changed();
  }

  #exit(task, cause) {
    this.#leave(task, cause);
    task.status = 'exited';
    task.cause = cause;
    this.#changed();
  }

  /** The task is not on its machine any more. */
  #leave(task, cause) {
    clearTimeout(task.timer);
    if (task.isHeld) {
      task.isHeld = false;
      const job = this.#held.get(task.parcel);
      this.#held.delete(task.parcel);
      for (const amount of AMOUNTS) this.#used[amount] -= job[amount];
    }
    if (!task.isOn) return;
    task.isOn = false;
    this.world.onEnd(task.parcel, this.name, cause);
  }
}
