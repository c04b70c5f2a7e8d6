// A stand-in for the worker of one machine, as PROTOCOL describes it under "Workers -> controller nodes".
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { integer, listen, send } from './wire.mjs';
import { MACHINE_TYPE } from './cloud.mjs';

/** How long a worker waits for the answer to a report. */
const ANSWER_MS = 4000;
const RETRY_MS = 1000;
/** A worker reports no more often than this. */
const LEAST_REPORT_MS = 500;
const LEASE_CHECK_MS = 20;

export class Worker {
  session = 1;
  #tally = 0;
  #token = 0;
  /** By task and attempt: the task's attempt, state and cause, and the timer of its next change. */
  #tasks = new Map();
  #images = new Set();
  #leaseFrom = performance.now();
  #target = 0;
  #reportTimer = null;
  #isReporting = false;
  #hasChanged = false;
  #isGone = false;
  /** Notable counts for the record. */
  counts = { reports: 0, answered: 0, largestReportJsonBytes: 0, largestAnswerJsonBytes: 0, sessionsLost: 0 };

  /**
   * `options`: name, yard, port (of its address), nodes (`{ name, port }` of each controller), reportMs, leaseMs, jobOf
   * (the description that users uploaded), record, and the callbacks onStart and onEnd of tasks on the machine.
   */
  constructor(options) {
    this.options = options;
    this.name = options.name;
    this.yard = options.yard;
    this.addr = `127.0.0.1:${options.port}`;
  }

  async start() {
    await listen(this.options.port, (method, url, body) =>
      url === '/inspect' ? this.#inspect() : this.#command(body),
    );
    this.#watchLease();
    this.#target = Math.floor(Math.random() * this.options.nodes.length);
    this.#reportIn(Math.random() * this.options.reportMs);
  }

  onReturned() {
    this.#isGone = true;
    clearTimeout(this.#reportTimer);
    this.#killAll('machine returned');
  }

  /** The tasks that run now, without those that fetch or have exited. */
  get running() {
    return [...this.#tasks.values()].filter(({ status }) => status === 'running').map(({ parcel }) => parcel);
  }

  #reportIn(ms) {
    clearTimeout(this.#reportTimer);
    this.#reportTimer = setTimeout(() => void this.#report(), ms);
  }

  #reportSoon() {
    this.#hasChanged = true;
    if (!this.#isReporting && !this.#isGone) this.#reportIn(LEAST_REPORT_MS);
  }

  #body() {
    return {
      rig: this.name,
      addr: this.addr,
      breed: MACHINE_TYPE.sku,
      yard: this.yard,
      borrowed: false,
      shift: this.session,
      tally: ++this.#tally,
      baton: integer(this.#token),
      recall_s: null,
      parcels: [...this.#tasks.values()].map(({ parcel, attempt, status, cause }) => ({
        parcel,
        try: integer(attempt),
        status,
        ...(cause === null ? {} : { cause }),
        ...(cause === 'halted' ? { stored: false } : {}),
      })),
    };
  }

  async #report() {
    if (this.#isGone) return;
    this.#isReporting = true;
    this.#hasChanged = false;
    const { waitMs, isAnswered } = await this.#exchange();
    this.#isReporting = false;
    const isSoon = isAnswered && this.#hasChanged;
    if (!this.#isGone) this.#reportIn(isSoon ? Math.min(waitMs, LEAST_REPORT_MS) : waitMs);
  }

  /** Sends one report; returns how long to wait for the next, and whether it was answered with 200. */
  async #exchange() {
    const { nodes, reportMs, record } = this.options;
    const { session } = this;
    const sentAt = performance.now();
    const node = nodes[this.#target];
    const body = this.#body();
    this.counts.reports++;
    this.counts.largestReportJsonBytes = Math.max(this.counts.largestReportJsonBytes, jsonBytes(body));
    try {
      const answer = await send(node.port, 'POST', '/checkin', body, ANSWER_MS);
      if (answer.status === 200) {
        this.counts.largestAnswerJsonBytes = Math.max(this.counts.largestAnswerJsonBytes, jsonBytes(answer.body));
        const hasChanged = this.#accept(answer.body, session, sentAt);
        return { waitMs: hasChanged ? LEAST_REPORT_MS : reportMs * (0.75 + Math.random() / 2), isAnswered: true };
      }
      if (answer.status === 421) {
        const index = nodes.findIndex(({ name }) => name === answer.body?.foreman);
        if (index >= 0 && index !== this.#target) {
          this.#target = index;
          return { waitMs: Math.random() * LEAST_REPORT_MS, isAnswered: false };
        }
      } else record(`${this.name}: report of ${body.parcels.length} tasks to ${node.name}: ${answer.status}`);
    } catch (error) {
      record(`${this.name}: report to ${node.name}: ${error.message}`);
    }
    this.#target = (this.#target + 1) % nodes.length;
    return { waitMs: RETRY_MS, isAnswered: false };
  }

  /** Handles a 200; returns whether the worker's state has changed. */
  #accept({ baton, orders }, session, sentAt) {
    if (session !== this.session || !(baton >= this.#token) || performance.now() - sentAt > ANSWER_MS) return false;
    const isHigher = baton > this.#token;
    this.#token = baton;
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    this.counts.answered++;
    for (const order of orders) this.#execute(order);
    return isHigher || orders.length > 0;
  }

  #inspect() {
    return [200, this.#body()];
  }

  #command({ baton, shift, orders }) {
    if (baton === undefined || shift === undefined) return [400, {}];
    if (baton < this.#token || shift !== this.session) return [409, this.#body()];
    const isHigher = baton > this.#token;
    this.#token = baton;
    for (const order of orders) this.#execute(order);
    if (isHigher || orders.length > 0) this.#reportSoon();
    return [200, this.#body()];
  }

  #execute({ verb, parcel, try: attempt }) {
    const key = `${parcel} ${attempt}`;
    const task = this.#tasks.get(key);
    if (verb === 'start' && task === undefined) this.#startTask(key, parcel, attempt);
    else if (verb === 'halt' && task !== undefined && task.status !== 'exited') this.#exit(task, 'halted');
    else if (verb === 'forget' && task?.status === 'exited') this.#tasks.delete(key);
  }

  #startTask(key, parcel, attempt) {
    const job = this.options.jobOf(parcel.slice(0, parcel.indexOf('/')));
    const task = { parcel, attempt, status: 'fetching', cause: null, timer: null };
    const isBusy = [...this.#tasks.values()].some((other) => other.parcel === parcel && other.status !== 'exited');
    this.#tasks.set(key, task);
    if (job === undefined) return this.#exit(task, 'no_such');
    if (isBusy) return this.#exit(task, 'in_use');
    const fetchMs = this.#images.has(job.crate) ? 0 : (job.image_gb / MACHINE_TYPE.fetch_gb_per_s) * 1000;
    task.timer = setTimeout(() => this.#run(task, job), fetchMs);
  }

  #run(task, job) {
    this.#images.add(job.crate);
    // The result of a completed task is kept: started again, it exits as soon as it has its image.
    if (this.options.completed.has(task.parcel)) return this.#exit(task, 'done');
    task.status = 'running';
    this.options.onStart(task.parcel, this.name);
    if (job.shape === 'sweep') task.timer = setTimeout(() => this.#exit(task, 'done'), job.guess_s * 1000);
    this.#reportSoon();
  }

  #exit(task, cause) {
    clearTimeout(task.timer);
    if (task.status === 'running') this.options.onEnd(task.parcel, this.name, cause);
    if (cause === 'done') this.options.completed.add(task.parcel);
    task.status = 'exited';
    task.cause = cause;
    this.#reportSoon();
  }

  #killAll(why) {
    for (const task of this.#tasks.values()) {
      clearTimeout(task.timer);
      if (task.status === 'running') this.options.onEnd(task.parcel, this.name, why);
    }
    this.#tasks.clear();
  }

  /** Kills and forgets all tasks once the last answered report was sent more than a lease ago. */
  #watchLease() {
    if (this.#isGone) return;
    if (performance.now() - this.#leaseFrom > this.options.leaseMs) {
      const lost = this.#tasks.size;
      this.options.record(`${this.name}: lease over in session ${this.session}, ${lost} tasks killed`);
      this.#killAll('lease over');
      this.counts.sessionsLost++;
      this.session++;
      this.#leaseFrom = performance.now();
    }
    setTimeout(() => this.#watchLease(), LEASE_CHECK_MS);
  }
}

/** The size of a body in its JSON form, which PROTOCOL's limits count. */
function jsonBytes(value) {
  return Buffer.byteLength(JSON.stringify(value, (_, field) => (typeof field === 'bigint' ? Number(field) : field)));
}
