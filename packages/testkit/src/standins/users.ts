// Stand-ins for users, who check the invariants of answers: an accepted job is not forgotten, a job does not leave a
// final state, and an answer is not older than one received before its request was sent.
import type { Controller } from '@gingerlock/daemon';
import {
  decodeJobState,
  encode,
  encodeSubmission,
  type JobSpec,
  type JobStatus,
  submissionMap,
} from '@gingerlock/wire';
import type { Invariant } from '../audits/invariants';
import type { Sim } from '../simulation/sim';
import { observeDirect, type TrafficObserver } from '../simulation/traffic';

/** The parts of the deployment that users use. */
export interface UsersWorld {
  readonly sim: Sim;
  readonly network: { readonly observe: TrafficObserver };
  readonly cancellationBoundMs: number;
  /** Controllers that answer no requests, including those of users. */
  readonly silent: ReadonlySet<string>;
  readonly nodes: readonly { readonly controller: Controller | null }[];
  reportViolation(rule: Invariant, detail: string): void;
  /** Returns the number of completed tasks of a job. */
  doneOf(id: string): number;
}

/** The status of a job as its user has observed it so far. */
export interface ObservedStatus {
  readonly spec: JobSpec;
  /** When the user began to submit the job. */
  readonly since: number;
  accepted: boolean;
  /** `done` or `cancelled` once an answer has reported it; null before. */
  final: JobStatus | null;
  /** When the user was told that the job is cancelled; null before. */
  cancelledAt: number | null;
  /** When the user wants the job cancelled; `Infinity`: never. */
  cancelAt: number;
  /** Whether the user has sent a cancellation. */
  cancelAsked: boolean;
  /** When a request about the job was last answered. */
  answeredAt: number;
}

/** Returns the status of a job that its user begins to submit now. */
export function newObservedStatus(spec: JobSpec, now: number): ObservedStatus {
  return {
    spec,
    since: now,
    accepted: false,
    final: null,
    cancelledAt: null,
    cancelAt: Infinity,
    cancelAsked: false,
    answeredAt: now,
  };
}

type Answer = { readonly status: number; readonly body: Buffer | null; readonly retryAfterS?: number };

/** How long a user waits for an answer, according to the protocol. */
const ANSWER_TIMEOUT_MS = 5000;

/** All users. They send their requests to controllers directly, bypassing the network, and check every answer. */
export class SimUsers {
  /** By job id: its status as observed by its user. */
  readonly observedByJob = new Map<string, ObservedStatus>();
  /** Until this time, all nodes are queried within milliseconds of each answer with a new status. */
  frequentPollsUntil = 0;
  #oddRequestCount = 0;

  constructor(readonly world: UsersWorld) {}

  #anyController(): Controller | null {
    const up = this.world.nodes.filter(({ controller }) => controller !== null);
    return up[Math.floor(this.world.sim.random() * up.length)]?.controller ?? null;
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.world.sim.after(ms, resolve);
    });
  }

  /** Resolves to undefined after the answer time-out, because a killed controller never answers. */
  #withTimeout(answer: Promise<Answer> | undefined): Promise<Answer | undefined> {
    return Promise.race([Promise.resolve(answer), this.#pause(ANSWER_TIMEOUT_MS).then(() => undefined)]);
  }

  #newObservedStatus(spec: JobSpec): ObservedStatus {
    const observed = newObservedStatus(spec, this.world.sim.now);
    this.observedByJob.set(spec.id, observed);
    return observed;
  }

  /** Adds the user of a job that was accepted before the simulation began. */
  adopt(spec: JobSpec): void {
    this.#newObservedStatus(spec).accepted = true;
  }

  /** Polls an accepted job until it is done or cancelled. */
  async follow(id: string): Promise<void> {
    const observed = this.observedByJob.get(id)!;
    while (observed.final === null) {
      await this.#sendAndCheck(observed, 'poll', this.#anyController());
      await this.#pause(1000);
    }
  }

  /** Runs the user of one job: submits it until it is accepted, then polls it, and cancels it after `cancelAfterMs`. */
  async submitAndFollow(spec: JobSpec, cancelAfterMs: number | null): Promise<void> {
    const { sim } = this.world;
    const observed = this.#newObservedStatus(spec);
    while (!observed.accepted) {
      if (!(await this.#sendAndCheck(observed, 'submit', this.#anyController()))) await this.#pause(1000);
    }
    if (cancelAfterMs !== null) observed.cancelAt = Math.min(observed.cancelAt, sim.now + cancelAfterMs);
    for (;;) {
      await this.#pause(500 + sim.random() * 1500);
      if (sim.now >= observed.cancelAt && observed.final === null)
        await this.#sendAndCheck(observed, 'cancel', this.#anyController());
      else await this.#sendAndCheck(observed, sim.random() < 0.1 ? 'submit' : 'poll', this.#anyController());
    }
  }

  /** Sends cancellations of an accepted job until an answer reports a final state. */
  async cancel(id: string): Promise<void> {
    const observed = this.observedByJob.get(id);
    if (observed === undefined || !observed.accepted || observed.cancelAsked) return;
    observed.cancelAt = this.world.sim.now;
    while (observed.final === null) {
      if (!(await this.#sendAndCheck(observed, 'cancel', this.#anyController()))) await this.#pause(1000);
    }
  }

  #submit(controller: Controller, body: Buffer): Promise<Answer> {
    return this.#request(controller, 'POST /submissions', body, () => controller.submit(body));
  }

  #poll(controller: Controller, id: string): Promise<Answer> {
    return this.#request(controller, `GET /submissions/${id}`, null, () => controller.poll(id));
  }

  #cancel(controller: Controller, id: string): Promise<Answer> {
    return this.#request(controller, `POST /submissions/${id}/cancel`, null, () => controller.cancel(id));
  }

  #request(controller: Controller, request: string, body: Buffer | null, run: () => Promise<Answer>): Promise<Answer> {
    const { observe } = this.world.network;
    return observeDirect(observe, { from: 'users', to: controller.settings.node, request, body }, run);
  }

  /** Sends a request to one controller and checks the answer; returns false if there was no answer with a status. */
  async #sendAndCheck(
    observed: ObservedStatus,
    what: 'submit' | 'poll' | 'cancel',
    controller: Controller | null,
  ): Promise<boolean> {
    if (controller === null) return false;
    const { world } = this;
    const { id } = observed.spec;
    if (world.silent.has(controller.settings.node)) {
      await this.#pause(ANSWER_TIMEOUT_MS);
      return false;
    }
    if (what === 'cancel') observed.cancelAsked = true;
    // The answer must not be older than the state known when the request is sent.
    const known = { accepted: observed.accepted, final: observed.final };
    const reply = await this.#withTimeout(
      what === 'submit'
        ? this.#submit(controller, encodeSubmission(observed.spec))
        : what === 'poll'
          ? this.#poll(controller, id)
          : this.#cancel(controller, id),
    );
    if (reply === undefined || reply.status === 503 || reply.status === 429) return false;
    observed.answeredAt = world.sim.now;
    if (reply.status !== 200 && reply.status !== 201) {
      if (known.accepted || what === 'submit') world.reportViolation('forgotten', `${id}: ${what} got ${reply.status}`);
      return false;
    }
    this.#recordAnswer(observed, known, reply);
    return true;
  }

  /** Returns the submitted jobs that this job awaits directly or indirectly. */
  #dependenciesOf(id: string): ObservedStatus[] {
    const found = new Map<string, ObservedStatus>();
    const pending = [...(this.observedByJob.get(id)?.spec.awaits ?? [])];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      const observed = this.observedByJob.get(next);
      if (observed === undefined || found.has(next)) continue;
      found.set(next, observed);
      pending.push(...observed.spec.awaits);
    }
    return [...found.values()];
  }

  /** Whether a user wants the job, or a job that it awaits, cancelled. */
  isUnwanted({ spec, cancelAt }: ObservedStatus): boolean {
    const { now } = this.world.sim;
    return now >= cancelAt || this.#dependenciesOf(spec.id).some((dependency) => now >= dependency.cancelAt);
  }

  /**
   * Whether the user was told that the job is cancelled. A cancellation that no controller has accepted yet does not
   * count.
   */
  isCancelled({ final }: ObservedStatus): boolean {
    return final === 'cancelled';
  }

  /** Whether all jobs that the job awaits have completed. */
  isReady({ spec }: ObservedStatus): boolean {
    return spec.awaits.every((id) => this.world.doneOf(id) >= (this.observedByJob.get(id)?.spec.tasks ?? Infinity));
  }

  #checkOrphaned(observed: ObservedStatus, status: JobStatus): void {
    const { sim, cancellationBoundMs } = this.world;
    if (status === 'done' || status === 'cancelled') return;
    const cancelledJob = this.#dependenciesOf(observed.spec.id).find(
      ({ cancelledAt }) => cancelledAt !== null && sim.now - cancelledAt > cancellationBoundMs,
    );
    if (cancelledJob !== undefined)
      this.world.reportViolation(
        'orphaned',
        `${observed.spec.id} is ${status} although ${cancelledJob.spec.id} is cancelled`,
      );
  }

  #recordAnswer(observed: ObservedStatus, known: { final: JobStatus | null }, reply: Answer): void {
    const { world } = this;
    const { id, tasks } = observed.spec;
    const { status } = decodeJobState(reply.body!);
    const isFinal = status === 'done' || status === 'cancelled';
    if (known.final !== null && status !== known.final)
      world.reportViolation('went_back', `${id}: ${known.final}, then ${status}`);
    if (isFinal && observed.final !== null && status !== observed.final)
      world.reportViolation('went_back', `${id}: reported both ${observed.final} and ${status}`);
    if (status === 'cancelled') {
      if (!observed.cancelAsked && !this.#dependenciesOf(id).some((dependency) => dependency.cancelAsked))
        world.reportViolation('went_back', `${id} reported cancelled without a cancellation`);
      observed.cancelledAt ??= world.sim.now;
    }
    if (status === 'done' && world.doneOf(id) < tasks) world.reportViolation('not_done', id);
    this.#checkOrphaned(observed, status);
    const isNewStatus = !observed.accepted || (isFinal && observed.final === null);
    observed.accepted = true;
    if (isFinal) observed.final = status;
    if (isNewStatus && world.sim.now < this.frequentPollsUntil) this.#queryAllNodes(observed);
  }

  /** Polls all nodes and repeats the submission within milliseconds; some users also cancel at once. */
  #queryAllNodes(observed: ObservedStatus): void {
    const { sim, nodes } = this.world;
    for (const { controller } of nodes) {
      for (const what of ['poll', 'submit', 'poll'] as const) {
        sim.after(sim.random() * 30, () => void this.#sendAndCheck(observed, what, controller));
      }
    }
    if (observed.final === null && sim.random() < 0.2) void this.cancel(observed.spec.id);
  }

  /** Sends one unusual request: a repeated submission, a cancellation of a completed job, or an invalid submission. */
  async sendUnusualRequest(template: JobSpec): Promise<void> {
    const { world } = this;
    const { sim } = world;
    const pick = (matches: (observed: ObservedStatus) => boolean): ObservedStatus | undefined => {
      const matching = [...this.observedByJob.values()].filter(matches);
      return matching[Math.floor(sim.random() * matching.length)];
    };
    const controller = this.#anyController();
    const unfinished = pick(({ accepted, final }) => accepted && final === null);
    const done = pick(({ final }) => final === 'done');
    const turn = this.#oddRequestCount++ % 4;
    if (turn === 0 && unfinished !== undefined) await this.#sendAndCheck(unfinished, 'submit', controller);
    if (turn === 1 && done !== undefined) await this.#sendAndCheck(done, 'cancel', controller);
    if (turn < 2 || controller === null) return;
    const map = submissionMap({ ...template, id: `j-${String(700_000 + this.#oddRequestCount).padStart(6, '0')}` });
    const invalidFields = [
      { cores: 1e6 },
      { breeds: ['none such'] },
      { awaits: ['j-899999'] },
      { awaits: [map.name_id] },
    ];
    if (turn === 2) Object.assign(map, invalidFields[Math.floor(sim.random() * invalidFields.length)]);
    else Reflect.deleteProperty(map, ['crew', 'shape', 'parcels', 'cores', 'same_place'][this.#oddRequestCount % 5]!);
    const reply = await this.#withTimeout(this.#submit(controller, encode(map)));
    const expectedStatus = turn === 2 ? 422 : 400;
    if (reply === undefined || reply.status === 503 || reply.status === 429 || reply.status === expectedStatus) return;
    world.reportViolation('accepted_bad', `${JSON.stringify(map)} got ${reply.status}`);
  }

  /** Polls a job that no user has submitted. */
  async pollUnknownJob(): Promise<void> {
    const controller = this.#anyController();
    if (controller === null) return;
    const reply = await this.#poll(controller, `j-${900_000 + Math.floor(this.world.sim.random() * 1000)}`);
    if (reply?.status === 200) this.world.reportViolation('invented', 'got the status of a job that no user submitted');
  }

  /** Returns the accepted jobs that are neither done nor cancelled. */
  open(): ObservedStatus[] {
    return [...this.observedByJob.values()].filter(({ accepted, final }) => accepted && final === null);
  }

  /** Returns the number of jobs that their users know to be done. */
  finished(): number {
    return [...this.observedByJob.values()].filter(({ final }) => final === 'done').length;
  }
}
