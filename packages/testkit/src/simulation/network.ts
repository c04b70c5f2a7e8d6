// HTTP and one-way messages between the hosts of a simulated deployment, with all that can go wrong on the way.
import type { Http, HttpResponse } from '@gingerlock/clients';
import { HttpExchange } from './http-exchange';
import type { Sim } from './sim';
import type { TrafficObserver } from './traffic';

/** Answers the requests that come to a host; `from` is the host that sent one. */
export type Handler = (
  method: string,
  path: string,
  body: Buffer,
  from: string,
) => Promise<HttpResponse> | HttpResponse;

/**
 * How a route from one host to another is cut: messages are lost, held back until it heals, or refused, which their
 * sender learns at once.
 */
export type Cut = 'lose' | 'hold' | 'refuse';

/** In which order a host that hung handles what it missed. */
export type WakeOrder = 'as it came' | 'input first' | 'timers first';

/** What happens on a host: something that has come to it, or a timer of its own. */
export type HostEventKind = 'input' | 'timer';

/** How long after what goes first the rest is handled: longer than what waits may be spread over. */
const WAKE_STEP_MS = 5;

/** Whether something applies to the route from one host to another. */
export type RoutePredicate = (from: string, to: string) => boolean;

/**
 * HTTP between named hosts in simulated time. A cut route loses messages or holds them back until it heals; a request
 * that has timed out may still arrive then. Copies of requests can come late.
 */
export class Network {
  /** What answers at each address. */
  readonly hosts = new Map<string, Handler>();
  readonly #cuts = new Map<string, Cut>();
  /** Cuts between groups of hosts, also those that come up later. */
  readonly #walls = new Set<{ readonly appliesTo: RoutePredicate; readonly how: Cut }>();
  /** Routes on which everything takes longer, by so many milliseconds on average. */
  readonly #slowRoutes = new Set<{ readonly appliesTo: RoutePredicate; readonly ms: number }>();
  #held: { readonly from: string; readonly to: string; readonly deliver: () => void }[] = [];
  /** Share of requests of which a copy arrives once more, and within which time. */
  copies: { share: number; withinMs: number; only: (path: string) => boolean } | null = null;
  /** The same for messages that go one way. */
  peerCopies: { share: number; withinMs: number } | null = null;
  /** Called with every request as it is sent. */
  onSent: (from: string, addr: string, path: string, body: Buffer) => void = () => undefined;
  /** Called with all that leaves and reaches a process; it must change nothing. */
  observe: TrafficObserver = () => undefined;
  /** Share of all answers that are lost. */
  lostAnswers = 0;
  /** By host: share of its answers that are lost besides. */
  readonly lostAnswersOf = new Map<string, number>();
  /** Hosts that can open no connections: what they ask is lost, what they answer is not. */
  readonly mute = new Set<string>();
  /** Hosts that hang, and until when: what comes to them is handled then. */
  readonly #hanging = new Map<string, { readonly until: number; readonly wakes: WakeOrder }>();

  constructor(readonly sim: Sim) {}

  /** A host hangs for so long while its clocks run on. */
  freeze(host: string, forMs: number, wakes: WakeOrder = 'as it came'): void {
    const until = Math.max(this.#hanging.get(host)?.until ?? 0, this.sim.now + forMs);
    this.#hanging.set(host, { until, wakes });
  }

  /** Whether a host hangs now. */
  standsStill(host: string): boolean {
    return (this.#hanging.get(host)?.until ?? 0) > this.sim.now;
  }

  /** A host that was started anew does not hang. */
  thaw(host: string): void {
    this.#hanging.delete(host);
  }

  /** Runs what happens on a host: at once, or when it no longer hangs. */
  on(host: string, run: () => void, eventKind: HostEventKind = 'input'): void {
    const hang = this.#hanging.get(host);
    if (hang === undefined || hang.until <= this.sim.now) {
      run();
      return;
    }
    const goesSecond = hang.wakes === (eventKind === 'input' ? 'timers first' : 'input first');
    const extraMs = goesSecond ? WAKE_STEP_MS : 0;
    this.sim.after(hang.until - this.sim.now + extraMs, () => this.on(host, run, eventKind));
  }

  /** Cuts one route, in this direction only. */
  cut(from: string, to: string, how: Cut): void {
    this.#cuts.set(`${from}>${to}`, how);
  }

  /** Heals one route; what was held back on it is delivered. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    this.#release();
  }

  /**
   * Cuts all routes to which it applies, also those of hosts that come up later; the function that is returned heals
   * them.
   */
  wall(appliesTo: RoutePredicate, how: Cut): () => void {
    const wall = { appliesTo, how };
    this.#walls.add(wall);
    return () => {
      this.#walls.delete(wall);
      this.#release();
    };
  }

  /** Slows all routes to which it applies by so many milliseconds on average; returns what ends that. */
  slow(appliesTo: RoutePredicate, ms: number): () => void {
    const slow = { appliesTo, ms };
    this.#slowRoutes.add(slow);
    return () => this.#slowRoutes.delete(slow);
  }

  /** How the route is cut; undefined: it is not. */
  cutOn(from: string, to: string): Cut | undefined {
    const cut = this.#cuts.get(`${from}>${to}`);
    if (cut !== undefined) return cut;
    for (const wall of this.#walls) if (wall.appliesTo(from, to)) return wall.how;
    return undefined;
  }

  #release(): void {
    const due = this.#held.filter(({ from, to }) => this.cutOn(from, to) === undefined);
    this.#held = this.#held.filter(({ from, to }) => this.cutOn(from, to) !== undefined);
    for (const { from, to, deliver } of due) this.sim.after(this.latencyMs(from, to), deliver);
  }

  /** How long the next message on the route takes. */
  latencyMs(from: string, to: string): number {
    let ms = 1 + this.sim.random() * 6 + (this.sim.random() < 0.01 ? 300 * this.sim.random() : 0);
    for (const slow of this.#slowRoutes) if (slow.appliesTo(from, to)) ms += slow.ms * (0.5 + this.sim.random());
    return ms;
  }

  /** Carries one message over; `deliver` may run late or never. */
  pass(from: string, to: string, deliver: () => void): void {
    const how = this.cutOn(from, to);
    if (how === 'lose' || how === 'refuse') return;
    if (how === 'hold') this.#held.push({ from, to, deliver });
    else this.sim.after(this.latencyMs(from, to), deliver);
  }

  /** Carries a message that has no answer over, and maybe a copy of it later. */
  sendOneWay(from: string, to: string, deliver: () => void): void {
    this.pass(from, to, deliver);
    const { peerCopies } = this;
    if (peerCopies !== null && this.sim.random() < peerCopies.share) {
      this.sim.after(this.sim.random() * peerCopies.withinMs, deliver);
    }
  }

  /** The client of a host; a process that is no longer alive gets no answer to what it asked. */
  http(from: string, isAlive: () => boolean): Http {
    return (to, method, path, body, timeoutMs) =>
      new Promise<HttpResponse>((resolve, reject) => {
        const request = { from, to, method, path, body };
        new HttpExchange(this, request, { isAlive, resolve, reject }).begin(timeoutMs);
      });
  }
}
