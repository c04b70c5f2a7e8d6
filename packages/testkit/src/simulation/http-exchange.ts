// One HTTP request between simulated hosts and its result: an answer, a refusal, or a time-out.
import { type HttpResponse, NoResponseError } from '@gingerlock/clients';
import type { Network } from './network';
import type { TrafficEvent } from './traffic';

/** The content of a request, its sender and its receiver. */
export interface HttpRequest {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
}

/** The process that sent the request. */
export interface HttpCaller {
  /** Whether the process still runs; a process that has ended gets no answer. */
  isAlive(): boolean;
  resolve(answer: HttpResponse): void;
  reject(error: NoResponseError): void;
}

/** A request in flight. It settles at most once; later arrivals are ignored. */
export class HttpExchange {
  #isSettled = false;
  #cancelTimeout: () => void = () => undefined;
  readonly #route: Pick<TrafficEvent, 'from' | 'to' | 'request'>;

  constructor(
    readonly network: Network,
    readonly request: HttpRequest,
    readonly caller: HttpCaller,
  ) {
    const { from, to, method, path } = request;
    this.#route = { from, to, request: `${method} ${path}` };
  }

  /** Sends the request; for the share that `Network.copies` sets, a duplicate arrives later. */
  begin(timeoutMs: number): void {
    const { network, request } = this;
    const { from, to, path, body } = request;
    network.observe({ what: 'request sent', ...this.#route, body });
    this.#cancelTimeout = network.sim.after(timeoutMs, () => network.on(from, () => this.#timeOut(), 'timer'));
    if (network.cutOn(from, to) === 'refuse') {
      network.sim.after(network.latencyMs(from, to), () => network.on(from, () => this.#refuse()));
      return;
    }
    network.onSent(from, to, path, body ?? Buffer.alloc(0));
    if (!network.mute.has(from)) network.transmit(from, to, () => this.#arrive('original'));
    const { duplicates: copies } = network;
    if (copies !== null && copies.only(path) && network.sim.random() < copies.share) {
      network.sim.after(network.sim.random() * copies.withinMs, () => this.#arrive('copy'));
    }
  }

  #timeOut(): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#fail('no answer in time');
  }

  #refuse(): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelTimeout();
    this.#fail('refused');
  }

  #fail(why: string): void {
    if (!this.caller.isAlive()) return;
    this.network.observe({ what: 'no answer', ...this.#route });
    this.caller.reject(new NoResponseError(why));
  }

  /** Passes the request to the handler of its host. A duplicate is handled too, but its answer is dropped. */
  #arrive(what: 'original' | 'copy'): void {
    const { network, request } = this;
    const { from, to, method, path, body } = request;
    const handler = network.hosts.get(to);
    if (handler === undefined) {
      if (what === 'original') this.#refuseUnknownHost();
      return;
    }
    network.on(to, () => {
      network.observe({ what: 'request received', ...this.#route, body });
      void Promise.resolve(handler(method, path, body ?? Buffer.alloc(0), from)).then((answer) => {
        network.observe({ what: 'answer sent', ...this.#route, ...answer });
        if (what === 'original' && !this.#isAnswerLost()) this.#sendAnswer(answer);
      });
    });
  }

  /** Refuses the request after the route's latency, because no host listens at the address. */
  #refuseUnknownHost(): void {
    if (this.#isSettled) return;
    const { network, request } = this;
    this.#cancelTimeout();
    this.#isSettled = true;
    network.sim.after(network.latencyMs(request.to, request.from), () => this.#fail('refused'));
  }

  #isAnswerLost(): boolean {
    const { sim, lostAnswerShare: lostAnswers, lostAnswerShareByHost: lostAnswersOf } = this.network;
    if (sim.random() < lostAnswers) return true;
    const share = lostAnswersOf.get(this.request.to);
    return share !== undefined && sim.random() < share;
  }

  #sendAnswer(answer: HttpResponse): void {
    const { network, request, caller } = this;
    network.transmit(request.to, request.from, () =>
      network.on(request.from, () => {
        if (this.#isSettled || !caller.isAlive()) return;
        this.#isSettled = true;
        this.#cancelTimeout();
        network.observe({ what: 'answer received', ...this.#route, ...answer });
        caller.resolve(answer);
      }),
    );
  }
}
