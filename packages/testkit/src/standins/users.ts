// Stand-ins of users, and the invariants of what they see: nothing accepted is forgotten, no job goes back from a final
// state, and no answer is older than one that any user got before it was asked for.
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

/** What users need of the deployment that they use. */
export interface UsersWorld {
  readonly sim: Sim;
  readonly network: { readonly observe: TrafficObserver };
  readonly cancellationBoundMs: number;
  /** Controllers that answer nobody, users included. */
  readonly silent: ReadonlySet<string>;
  readonly nodes: readonly { readonly controller: Controller | null }[];
  reportViolation(rule: Invariant, detail: string): void;
  /** Completed tasks of a job. */
  doneOf(id: string): number;
}

/** What the user of one job has seen of it so far. */
export interface ObservedStatus {
  readonly spec: JobSpec;
  /** When its user began to submit it. */
  readonly since: number;
  accepted: boolean;
  /** Done or cancelled, once an answer said so. */
  final: JobStatus | null;
  /** When its user got the answer that it is cancelled. */
  cancelledAt: number | null;
  /** When its user wants it cancelled. */
  cancelAt: number;
  /** Whether a cancellation was ever sent. */
  cancelAsked: boolean;
  /** When a question about it was last answered. */
  answeredAt: number;
}

/** What is known of a job that its user is about to submit now. */
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

/** How long a user waits for an answer, by the protocol. */
const PATIENCE_MS = 5000;

/** All users, who put their requests to controllers directly, and check every answer. */
export class SimUsers {
  /** By id of the job. */
  readonly observedByJob = new Map<string, ObservedStatus>();
  /** Until when all nodes are asked within milliseconds after each answer with something new. */
  closeLooksUntil = 0;
  #oddRequests = 0;

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

  /** A controller that was killed never answers. */
  #inTime(answer: Promise<Answer> | undefined): Promise<Answer | undefined> {
    return Promise.race([Promise.resolve(answer), this.#pause(PATIENCE_MS).then(() => undefined)]);
  }

  #newObservedStatus(spec: JobSpec): ObservedStatus {
    const observed = newObservedStatus(spec, this.world.sim.now);
    this.observedByJob.set(spec.id, observed);
    return observed;
  }

  /** Takes over the user of a job that was accepted before the world began. */
  adopt(spec: JobSpec): void {
    this.#newObservedStatus(spec).accepted = true;
  }

  /** Polls a job that was accepted until it is over. */
  async follow(id: string): Promise<void> {
    const observed = this.observedByJob.get(id)!;
    while (observed.final === null) {
      await this.#ask(observed, 'poll', this.#anyController());
      await this.#pause(1000);
    }
  }

  /** A user's whole life with one job: submits until accepted, polls, and cancels when it wants to. */
  async live(spec: JobSpec, cancelAfterMs: number | null): Promise<void> {
    const { sim } = this.world;
    const observed = this.#newObservedStatus(spec);
    while (!observed.accepted) {
      if (!(await this.#ask(observed, 'submit', this.#anyController()))) await this.#pause(1000);
    }
    if (cancelAfterMs !== null) observed.cancelAt = Math.min(observed.cancelAt, sim.now + cancelAfterMs);
    for (;;) {
      await this.#pause(500 + sim.random() * 1500);
      if (sim.now >= observed.cancelAt && observed.final === null)
        await this.#ask(observed, 'cancel', this.#anyController());
      else await this.#ask(observed, sim.random() < 0.1 ? 'submit' : 'poll', this.#anyController());
    }
  }

  /** Cancels a job: asks from now on until an answer says what became of it. */
  async cancel(id: string): Promise<void> {
    const observed = this.observedByJob.get(id);
    if (observed === undefined || !observed.accepted || observed.cancelAsked) return;
    observed.cancelAt = this.world.sim.now;
    while (observed.final === null) {
      if (!(await this.#ask(observed, 'cancel', this.#anyController()))) await this.#pause(1000);
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

  /** Asks one controller; false: there was no answer that says anything. */
  async #ask(
    observed: ObservedStatus,
    what: 'submit' | 'poll' | 'cancel',
    controller: Controller | null,
  ): Promise<boolean> {
    if (controller === null) return false;
    const { world } = this;
    const { id } = observed.spec;
    if (world.silent.has(controller.settings.node)) {
      await this.#pause(PATIENCE_MS);
      return false;
    }
    if (what === 'cancel') observed.cancelAsked = true;
    // An answer may be as old as its question, and no older.
    const known = { accepted: observed.accepted, final: observed.final };
    const reply = await this.#inTime(
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

  /** The jobs that this one needs, directly and through others, as far as their users are known here. */
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

  /** Whether the job, or one that it needs, is wanted cancelled. */
  isUnwanted({ spec, cancelAt }: ObservedStatus): boolean {
    const { now } = this.world.sim;
    return now >= cancelAt || this.#dependenciesOf(spec.id).some((before) => now >= before.cancelAt);
  }

  /**
   * Whether the job's user has been told that it is cancelled. What no controller has been able to take yet, none can
   * know.
   */
  isCancelled({ final }: ObservedStatus): boolean {
    return final === 'cancelled';
  }

  /** Whether all that the job needs has completed. */
  isReady({ spec }: ObservedStatus): boolean {
    return spec.awaits.every((id) => this.world.doneOf(id) >= (this.observedByJob.get(id)?.spec.tasks ?? Infinity));
  }

  #checkOrphaned(observed: ObservedStatus, status: JobStatus): void {
    const { sim, cancellationBoundMs } = this.world;
    if (status === 'done' || status === 'cancelled') return;
    const late = this.#dependenciesOf(observed.spec.id).find(
      ({ cancelledAt }) => cancelledAt !== null && sim.now - cancelledAt > cancellationBoundMs,
    );
    if (late !== undefined)
      this.world.reportViolation('orphaned', `${observed.spec.id} is ${status} after ${late.spec.id}`);
  }

  #recordAnswer(observed: ObservedStatus, known: { final: JobStatus | null }, reply: Answer): void {
    const { world } = this;
    const { id, tasks } = observed.spec;
    const { status } = decodeJobState(reply.body!);
    const isFinal = status === 'done' || status === 'cancelled';
    if (known.final !== null && status !== known.final)
      world.reportViolation('went_back', `${id}: ${known.final}, then ${status}`);
    if (isFinal && observed.final !== null && status !== observed.final)
      world.reportViolation('went_back', `${id}: ${observed.final} and ${status}`);
    if (status === 'cancelled') {
      if (!observed.cancelAsked && !this.#dependenciesOf(id).some((before) => before.cancelAsked))
        world.reportViolation('went_back', `${id} called cancelled unasked`);
      observed.cancelledAt ??= world.sim.now;
    }
    if (status === 'done' && world.doneOf(id) < tasks) world.reportViolation('not_done', id);
    this.#checkOrphaned(observed, status);
    const isNews = !observed.accepted || (isFinal && observed.final === null);
    observed.accepted = true;
    if (isFinal) observed.final = status;
    if (isNews && world.sim.now < this.closeLooksUntil) this.#lookClosely(observed);
  }

  /** All nodes are asked, and the submission repeated, within milliseconds; some users cancel at once. */
  #lookClosely(observed: ObservedStatus): void {
    const { sim, nodes } = this.world;
    for (const { controller } of nodes) {
      for (const what of ['poll', 'submit', 'poll'] as const) {
        sim.after(sim.random() * 30, () => void this.#ask(observed, what, controller));
      }
    }
    if (observed.final === null && sim.random() < 0.2) void this.cancel(observed.spec.id);
  }

  /** One odd request: a repetition, a cancellation that comes too late, or a job that can't be. */
  async sendOddRequest(like: JobSpec): Promise<void> {
    const { world } = this;
    const { sim } = world;
    const pick = (matches: (observed: ObservedStatus) => boolean): ObservedStatus | undefined => {
      const fitting = [...this.observedByJob.values()].filter(matches);
      return fitting[Math.floor(sim.random() * fitting.length)];
    };
    const controller = this.#anyController();
    const unfinished = pick(({ accepted, final }) => accepted && final === null);
    const done = pick(({ final }) => final === 'done');
    const turn = this.#oddRequests++ % 4;
    if (turn === 0 && unfinished !== undefined) await this.#ask(unfinished, 'submit', controller);
    if (turn === 1 && done !== undefined) await this.#ask(done, 'cancel', controller);
    if (turn < 2 || controller === null) return;
    const map = submissionMap({ ...like, id: `j-${String(700_000 + this.#oddRequests).padStart(6, '0')}` });
    const impossible = [{ cores: 1e6 }, { breeds: ['none such'] }, { awaits: ['j-899999'] }, { awaits: [map.name_id] }];
    if (turn === 2) Object.assign(map, impossible[Math.floor(sim.random() * impossible.length)]);
    else Reflect.deleteProperty(map, ['crew', 'shape', 'parcels', 'cores', 'same_place'][this.#oddRequests % 5]!);
    const reply = await this.#inTime(this.#submit(controller, encode(map)));
    const expectedStatus = turn === 2 ? 422 : 400;
    if (reply === undefined || reply.status === 503 || reply.status === 429 || reply.status === expectedStatus) return;
    world.reportViolation('accepted_bad', `${JSON.stringify(map)} got ${reply.status}`);
  }

  /** Asks about a job that nobody has submitted. */
  async stranger(): Promise<void> {
    const controller = this.#anyController();
    if (controller === null) return;
    const reply = await this.#poll(controller, `j-${900_000 + Math.floor(this.world.sim.random() * 1000)}`);
    if (reply?.status === 200) this.world.reportViolation('invented', 'a job that nobody submitted');
  }

  /** Jobs that were accepted and are neither done nor cancelled. */
  open(): ObservedStatus[] {
    return [...this.observedByJob.values()].filter(({ accepted, final }) => accepted && final === null);
  }

  /** How many jobs are done, as their users know. */
  finished(): number {
    return [...this.observedByJob.values()].filter(({ final }) => final === 'done').length;
  }
}
