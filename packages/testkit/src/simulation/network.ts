import { type Http, type HttpResponse, NoResponseError } from '@gingerlock/clients';
import type { Sim } from './sim';
import type { TrafficObserver } from './traffic';

export type Handler = (
  method: string,
  path: string,
  body: Buffer,
  from: string,
) => Promise<HttpResponse> | HttpResponse;

/** How a way from one host to another is disturbed. Of what is refused its sender hears at once. */
export type Cut = 'lose' | 'hold' | 'refuse';

/** In which order a host that stood still takes up what it missed. */
export type WakeOrder = 'as it came' | 'input first' | 'timers first';

/** What happens on a host: something that has come to it, or a timer of its own. */
export type HostEventKind = 'input' | 'timer';

/** How long after what goes first the rest is taken up: longer than anything that waits may take to be spread out. */
const WAKE_STEP_MS = 5;

export type RoutePredicate = (from: string, to: string) => boolean;

/**
 * HTTP between named hosts in simulated time. A cut way loses messages or holds them back until it heals; a request
 * that was given up may still arrive then. Copies of requests can come late.
 */
export class Network {
  readonly hosts = new Map<string, Handler>();
  readonly #cuts = new Map<string, Cut>();
  /** Cuts between groups of hosts, also those that come up later. */
  readonly #walls = new Set<{ readonly appliesTo: RoutePredicate; readonly how: Cut }>();
  /** Ways on which everything takes longer, by so many milliseconds. */
  readonly #slow = new Set<{ readonly appliesTo: RoutePredicate; readonly ms: number }>();
  #held: { readonly from: string; readonly to: string; readonly deliver: () => void }[] = [];
  /** Share of requests of which a copy arrives once more, and within which time. */
  copies: { share: number; withinMs: number; only: (path: string) => boolean } | null = null;
  /** The same for messages that go one way. */
  peerCopies: { share: number; withinMs: number } | null = null;
  /** Told of every request as it is sent. */
  onSent: (from: string, addr: string, path: string, body: Buffer) => void = () => undefined;
  /** Told of all that leaves and reaches a process; it changes nothing. */
  observe: TrafficObserver = () => undefined;
  /** Share of answers that are lost. */
  lostAnswers = 0;
  /** The same for the answers of one host. */
  readonly lostAnswersOf = new Map<string, number>();
  /** Hosts that can open no connections: what they ask is lost, what they answer is not. */
  readonly mute = new Set<string>();
  /** Hosts that stand still, and until when: what comes to them is taken then. */
  readonly #still = new Map<string, { readonly until: number; readonly wakes: WakeOrder }>();

  constructor(readonly sim: Sim) {}

  /** A host stands still for so long while its clocks run on. */
  freeze(host: string, forMs: number, wakes: WakeOrder = 'as it came'): void {
    const until = Math.max(this.#still.get(host)?.until ?? 0, this.sim.now + forMs);
    this.#still.set(host, { until, wakes });
  }

  /** Whether a host stands still now. */
  standsStill(host: string): boolean {
    return (this.#still.get(host)?.until ?? 0) > this.sim.now;
  }

  /** A host that was started anew does not stand still. */
  thaw(host: string): void {
    this.#still.delete(host);
  }

  /** Runs what happens on a host: at once, or when it goes on. */
  on(host: string, run: () => void, eventKind: HostEventKind = 'input'): void {
    const still = this.#still.get(host);
    if (still === undefined || still.until <= this.sim.now) {
      run();
      return;
    }
    const goesSecond = still.wakes === (eventKind === 'input' ? 'timers first' : 'input first');
    const step = goesSecond ? WAKE_STEP_MS : 0;
    this.sim.after(still.until - this.sim.now + step, () => this.on(host, run, eventKind));
  }

  cut(from: string, to: string, how: Cut): void {
    this.#cuts.set(`${from}>${to}`, how);
  }

  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    this.#release();
  }

  /** Cuts all ways for which `between` holds; the function that is returned heals them. */
  wall(appliesTo: RoutePredicate, how: Cut): () => void {
    const wall = { appliesTo, how };
    this.#walls.add(wall);
    return () => {
      this.#walls.delete(wall);
      this.#release();
    };
  }

  slow(appliesTo: RoutePredicate, ms: number): () => void {
    const slow = { appliesTo, ms };
    this.#slow.add(slow);
    return () => this.#slow.delete(slow);
  }

  #cutOn(from: string, to: string): Cut | undefined {
    const cut = this.#cuts.get(`${from}>${to}`);
    if (cut !== undefined) return cut;
    for (const wall of this.#walls) if (wall.appliesTo(from, to)) return wall.how;
    return undefined;
  }

  #release(): void {
    const due = this.#held.filter((h) => this.#cutOn(h.from, h.to) === undefined);
    this.#held = this.#held.filter((h) => this.#cutOn(h.from, h.to) !== undefined);
    for (const h of due) this.sim.after(this.#latency(h.from, h.to), h.deliver);
  }

  #latency(from: string, to: string): number {
    let ms = 1 + this.sim.random() * 6 + (this.sim.random() < 0.01 ? 300 * this.sim.random() : 0);
    for (const slow of this.#slow) if (slow.appliesTo(from, to)) ms += slow.ms * (0.5 + this.sim.random());
    return ms;
  }

  /** Brings one message over; `deliver` may run late or never. */
  pass(from: string, to: string, deliver: () => void): void {
    const how = this.#cutOn(from, to);
    if (how === 'lose' || how === 'refuse') return;
    if (how === 'hold') this.#held.push({ from, to, deliver });
    else this.sim.after(this.#latency(from, to), deliver);
  }

  /** Brings a message that has no answer over, and maybe a copy of it later. */
  sendOneWay(from: string, to: string, deliver: () => void): void {
    this.pass(from, to, deliver);
    const { peerCopies } = this;
    if (peerCopies !== null && this.sim.random() < peerCopies.share) {
      this.sim.after(this.sim.random() * peerCopies.withinMs, deliver);
    }
  }

  http(from: string, alive: () => boolean): Http {
    return (addr, method, path, body, timeoutMs) =>
      new Promise<HttpResponse>((resolve, reject) => {
        let over = false;
        const way = { from, to: addr, request: `${method} ${path}` };
        const fail = (why: string): void => {
          if (!alive()) return;
          this.observe({ what: 'no answer', ...way });
          reject(new NoResponseError(why));
        };
        this.observe({ what: 'request sent', ...way, body: body ?? null });
        const giveUp = this.sim.after(timeoutMs, () =>
          this.on(
            from,
            () => {
              if (over) return;
              over = true;
              fail('no answer in time');
            },
            'timer',
          ),
        );
        if (this.#cutOn(from, addr) === 'refuse') {
          this.sim.after(this.#latency(from, addr), () =>
            this.on(from, () => {
              if (over) return;
              over = true;
              giveUp();
              fail('refused');
            }),
          );
          return;
        }
        const arrive = (answering: boolean): void => {
          const handler = this.hosts.get(addr);
          if (handler === undefined) {
            if (answering && !over) {
              giveUp();
              over = true;
              this.sim.after(this.#latency(addr, from), () => fail('refused'));
            }
            return;
          }
          this.on(addr, () => {
            this.observe({ what: 'request received', ...way, body: body ?? null });
            void Promise.resolve(handler(method, path, body ?? Buffer.alloc(0), from)).then((answer) => {
              this.observe({ what: 'answer sent', ...way, ...answer });
              if (!answering || this.sim.random() < this.lostAnswers) return;
              const share = this.lostAnswersOf.get(addr);
              if (share !== undefined && this.sim.random() < share) return;
              this.pass(addr, from, () =>
                this.on(from, () => {
                  if (over || !alive()) return;
                  over = true;
                  giveUp();
                  this.observe({ what: 'answer received', ...way, ...answer });
                  resolve(answer);
                }),
              );
            });
          });
        };
        this.onSent(from, addr, path, body ?? Buffer.alloc(0));
        if (!this.mute.has(from)) this.pass(from, addr, () => arrive(true));
        const { copies } = this;
        if (copies !== null && copies.only(path) && this.sim.random() < copies.share) {
          this.sim.after(this.sim.random() * copies.withinMs, () => arrive(false));
        }
      });
  }
}
