// Simulates HTTP and one-way messages between the hosts of a deployment, with network faults.
import type { Http, HttpResponse } from '@gingerlock/clients';
import { HttpExchange } from './http-exchange';
import type { Sim } from './sim';
import type { TrafficObserver } from './traffic';

/** Answers a request to a host; `from` is the host that sent it. */
export type Handler = (
  method: string,
  path: string,
  body: Buffer,
  from: string,
) => Promise<HttpResponse> | HttpResponse;

/**
 * What happens to messages on a cut route: they are lost, held until the route heals, or refused. The sender of a
 * refused request gets an error after the usual latency.
 */
export type Cut = 'lose' | 'hold' | 'refuse';

/** The order in which a host that hung handles the inputs and timers that came due meanwhile. */
export type ResumeOrder = 'as it came' | 'input first' | 'timers first';

/** The kind of an event on a host: a message that arrived, or a timer of the host. */
export type HostEventKind = 'input' | 'timer';

/** Delay before the kind that goes second is handled, so that all events of the first kind are handled before. */
const RESUME_STEP_MS = 5;

/** Selects routes from one host to another. */
export type RoutePredicate = (from: string, to: string) => boolean;

/**
 * HTTP and one-way messages between named hosts in simulated time. A held request may arrive after it has timed out.
 * Requests can be duplicated, and a duplicate can arrive late.
 */
export class Network {
  /** The request handler of each address. */
  readonly hosts = new Map<string, Handler>();
  readonly #cuts = new Map<string, Cut>();
  /** Cuts that a predicate selects; they also apply to hosts that come up later. */
  readonly #predicateCuts = new Set<{ readonly appliesTo: RoutePredicate; readonly how: Cut }>();
  /** Routes with extra latency; `ms` is its average. */
  readonly #slowRoutes = new Set<{ readonly appliesTo: RoutePredicate; readonly ms: number }>();
  #held: { readonly from: string; readonly to: string; readonly deliver: () => void }[] = [];
  /** Share of the requests selected by `only` that are duplicated, and the longest delay of a duplicate. */
  duplicates: { share: number; withinMs: number; only: (path: string) => boolean } | null = null;
  /** Share of one-way messages that are duplicated, and the longest delay of a duplicate. */
  peerCopies: { share: number; withinMs: number } | null = null;
  /** Called with every request when it is sent, unless the route refuses it. */
  onSent: (from: string, addr: string, path: string, body: Buffer) => void = () => undefined;
  /** Called with every message that leaves or reaches a process; it must not change the deployment. */
  observe: TrafficObserver = () => undefined;
  /** Share of all answers that are lost. */
  lostAnswerShare = 0;
  /** By host: share of its answers that are lost in addition to `lostAnswers`. */
  readonly lostAnswerShareByHost = new Map<string, number>();
  /** Hosts that can open no connections: their requests are lost, but their answers are delivered. */
  readonly mute = new Set<string>();
  /** Hosts that hang; their events are deferred to the time `until`. */
  readonly #hanging = new Map<string, { readonly until: number; readonly resumeOrder: ResumeOrder }>();

  constructor(readonly sim: Sim) {}

  /** Makes a host hang for `forMs` while its clocks run on; a longer hang that is already set keeps its end. */
  freeze(host: string, forMs: number, resumeOrder: ResumeOrder = 'as it came'): void {
    const until = Math.max(this.#hanging.get(host)?.until ?? 0, this.sim.now + forMs);
    this.#hanging.set(host, { until, resumeOrder });
  }

  /** Whether a host hangs now. */
  isFrozen(host: string): boolean {
    return (this.#hanging.get(host)?.until ?? 0) > this.sim.now;
  }

  /** Ends the hang of a host, because its process was restarted. */
  resume(host: string): void {
    this.#hanging.delete(host);
  }

  /** Runs an event on a host: at once, or when the host no longer hangs. */
  on(host: string, run: () => void, eventKind: HostEventKind = 'input'): void {
    const hang = this.#hanging.get(host);
    if (hang === undefined || hang.until <= this.sim.now) {
      run();
      return;
    }
    const isSecond = hang.resumeOrder === (eventKind === 'input' ? 'timers first' : 'input first');
    const extraMs = isSecond ? RESUME_STEP_MS : 0;
    this.sim.after(hang.until - this.sim.now + extraMs, () => this.on(host, run, eventKind));
  }

  /** Cuts one route, in this direction only. */
  cut(from: string, to: string, how: Cut): void {
    this.#cuts.set(`${from}>${to}`, how);
  }

  /** Heals one route and delivers the messages held on it. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    this.#release();
  }

  /**
   * Cuts all routes that the predicate selects, also those of hosts that come up later. Returns a function that heals
   * them.
   */
  cutRoutes(appliesTo: RoutePredicate, how: Cut): () => void {
    const cut = { appliesTo, how };
    this.#predicateCuts.add(cut);
    return () => {
      this.#predicateCuts.delete(cut);
      this.#release();
    };
  }

  /** Adds `ms` of latency on average to all routes that the predicate selects; returns a function that ends this. */
  slow(appliesTo: RoutePredicate, ms: number): () => void {
    const slow = { appliesTo, ms };
    this.#slowRoutes.add(slow);
    return () => this.#slowRoutes.delete(slow);
  }

  /** Returns how the route is cut; undefined: the route is not cut. */
  cutOn(from: string, to: string): Cut | undefined {
    const cut = this.#cuts.get(`${from}>${to}`);
    if (cut !== undefined) return cut;
    for (const route of this.#predicateCuts) if (route.appliesTo(from, to)) return route.how;
    return undefined;
  }

  #release(): void {
    const due = this.#held.filter(({ from, to }) => this.cutOn(from, to) === undefined);
    this.#held = this.#held.filter(({ from, to }) => this.cutOn(from, to) !== undefined);
    for (const { from, to, deliver } of due) this.sim.after(this.latencyMs(from, to), deliver);
  }

  /** Draws the latency of the next message on the route. */
  latencyMs(from: string, to: string): number {
    let ms = 1 + this.sim.random() * 6 + (this.sim.random() < 0.01 ? 300 * this.sim.random() : 0);
    for (const slow of this.#slowRoutes) if (slow.appliesTo(from, to)) ms += slow.ms * (0.5 + this.sim.random());
    return ms;
  }

  /** Transmits one message; `deliver` runs after the latency, or late or never if the route is cut. */
  transmit(from: string, to: string, deliver: () => void): void {
    const how = this.cutOn(from, to);
    if (how === 'lose' || how === 'refuse') return;
    if (how === 'hold') this.#held.push({ from, to, deliver });
    else this.sim.after(this.latencyMs(from, to), deliver);
  }

  /** Transmits a message that has no answer; for the share that `peerCopies` sets, a duplicate arrives later. */
  sendOneWay(from: string, to: string, deliver: () => void): void {
    this.transmit(from, to, deliver);
    const { peerCopies } = this;
    if (peerCopies !== null && this.sim.random() < peerCopies.share) {
      this.sim.after(this.sim.random() * peerCopies.withinMs, deliver);
    }
  }

  /** Returns the HTTP client of a process on the host; a process that has ended gets no answers. */
  http(from: string, isAlive: () => boolean): Http {
    return (to, method, path, body, timeoutMs) =>
      new Promise<HttpResponse>((resolve, reject) => {
        const request = { from, to, method, path, body };
        new HttpExchange(this, request, { isAlive, resolve, reject }).begin(timeoutMs);
      });
  }
}
