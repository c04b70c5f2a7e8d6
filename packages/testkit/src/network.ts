import { type Http, type HttpAnswer, NoAnswer } from '@gingerlock/clients';
import type { Sim } from './sim';

export type Handler = (method: string, path: string, body: Buffer) => Promise<HttpAnswer> | HttpAnswer;

/** How a way from one host to another is disturbed. */
export type Cut = 'lose' | 'hold';

export type Between = (from: string, to: string) => boolean;

/**
 * HTTP between named hosts in simulated time. A cut way loses messages or holds them back until it heals; a request
 * that was given up may still arrive then. Copies of requests can come late.
 */
export class Network {
  readonly hosts = new Map<string, Handler>();
  readonly #cuts = new Map<string, Cut>();
  /** Cuts between groups of hosts, also those that come up later. */
  readonly #walls = new Set<{ readonly between: Between; readonly how: Cut }>();
  /** Ways on which everything takes longer, by so many milliseconds. */
  readonly #slow = new Set<{ readonly between: Between; readonly ms: number }>();
  #held: { readonly from: string; readonly to: string; readonly deliver: () => void }[] = [];
  /** Share of requests of which a copy arrives once more, and within which time. */
  copies: { share: number; withinMs: number; only: (path: string) => boolean } | null = null;
  /** Share of answers that are lost. */
  lostAnswers = 0;

  constructor(readonly sim: Sim) {}

  cut(from: string, to: string, how: Cut): void {
    this.#cuts.set(`${from}>${to}`, how);
  }

  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    this.#release();
  }

  /** Cuts all ways for which `between` holds; the function that is returned heals them. */
  wall(between: Between, how: Cut): () => void {
    const wall = { between, how };
    this.#walls.add(wall);
    return () => {
      this.#walls.delete(wall);
      this.#release();
    };
  }

  slow(between: Between, ms: number): () => void {
    const slow = { between, ms };
    this.#slow.add(slow);
    return () => this.#slow.delete(slow);
  }

  #cutOn(from: string, to: string): Cut | undefined {
    const cut = this.#cuts.get(`${from}>${to}`);
    if (cut !== undefined) return cut;
    for (const wall of this.#walls) if (wall.between(from, to)) return wall.how;
    return undefined;
  }

  #release(): void {
    const due = this.#held.filter((h) => this.#cutOn(h.from, h.to) === undefined);
    this.#held = this.#held.filter((h) => this.#cutOn(h.from, h.to) !== undefined);
    for (const h of due) this.sim.after(this.#latency(h.from, h.to), h.deliver);
  }

  #latency(from: string, to: string): number {
    let ms = 1 + this.sim.random() * 6 + (this.sim.random() < 0.01 ? 300 * this.sim.random() : 0);
    for (const slow of this.#slow) if (slow.between(from, to)) ms += slow.ms * (0.5 + this.sim.random());
    return ms;
  }

  /** Brings one message over; `deliver` may run late or never. */
  pass(from: string, to: string, deliver: () => void): void {
    const how = this.#cutOn(from, to);
    if (how === 'lose') return;
    if (how === 'hold') this.#held.push({ from, to, deliver });
    else this.sim.after(this.#latency(from, to), deliver);
  }

  http(from: string, alive: () => boolean): Http {
    return (addr, method, path, body, timeoutMs) =>
      new Promise<HttpAnswer>((resolve, reject) => {
        let over = false;
        const giveUp = this.sim.after(timeoutMs, () => {
          over = true;
          if (alive()) reject(new NoAnswer('no answer in time'));
        });
        const arrive = (answering: boolean): void => {
          const handler = this.hosts.get(addr);
          if (handler === undefined) {
            if (answering && !over) {
              giveUp();
              over = true;
              this.sim.after(this.#latency(addr, from), () => {
                if (alive()) reject(new NoAnswer('refused'));
              });
            }
            return;
          }
          void Promise.resolve(handler(method, path, body ?? Buffer.alloc(0))).then((answer) => {
            if (!answering || this.sim.random() < this.lostAnswers) return;
            this.pass(addr, from, () => {
              if (over || !alive()) return;
              over = true;
              giveUp();
              resolve(answer);
            });
          });
        };
        this.pass(from, addr, () => arrive(true));
        const { copies } = this;
        if (copies !== null && copies.only(path) && this.sim.random() < copies.share) {
          this.sim.after(this.sim.random() * copies.withinMs, () => arrive(false));
        }
      });
  }
}
