import { type Http, type HttpAnswer, NoAnswer } from '@gingerlock/clients';
import type { Sim } from './sim';

export type Handler = (method: string, path: string, body: Buffer) => Promise<HttpAnswer> | HttpAnswer;

/** How a way from one host to another is disturbed. */
export type Cut = 'lose' | 'hold';

/**
 * HTTP between named hosts in simulated time. A cut way loses messages or holds them back until it heals; a request
 * that was given up may still arrive then. Copies of requests can come late.
 */
export class Network {
  readonly hosts = new Map<string, Handler>();
  readonly #cuts = new Map<string, Cut>();
  #held: { way: string; deliver: () => void }[] = [];
  /** Share of requests of which a copy arrives once more, and within which time. */
  copies: { share: number; withinMs: number; only: (path: string) => boolean } | null = null;
  /** Share of answers that are lost. */
  lostAnswers = 0;

  constructor(readonly sim: Sim) {}

  cut(from: string, to: string, how: Cut): void {
    this.#cuts.set(`${from}>${to}`, how);
  }

  heal(from: string, to: string): void {
    const way = `${from}>${to}`;
    this.#cuts.delete(way);
    const due = this.#held.filter((h) => h.way === way);
    this.#held = this.#held.filter((h) => h.way !== way);
    for (const h of due) this.sim.after(this.#latency(), h.deliver);
  }

  #latency(): number {
    return 1 + this.sim.random() * 6 + (this.sim.random() < 0.01 ? 300 * this.sim.random() : 0);
  }

  /** Brings one message over; `deliver` may run late or never. */
  pass(from: string, to: string, deliver: () => void): void {
    const how = this.#cuts.get(`${from}>${to}`);
    if (how === 'lose') return;
    if (how === 'hold') this.#held.push({ way: `${from}>${to}`, deliver });
    else this.sim.after(this.#latency(), deliver);
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
              this.sim.after(this.#latency(), () => {
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
