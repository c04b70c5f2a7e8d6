// Runs the controllers of a loopback deployment in this process, each with its own server and peer link.
import type { AddressInfo } from 'node:net';
import { Controller, type Log, openServer, settingsOf, SILENT } from '@gingerlock/daemon';
import { TcpLink } from '@gingerlock/peer';
import { freePort, type LoopbackNetwork } from './loopback-network';
import { loopbackSettings } from './loopback-settings';
import { realClock } from './real-time';

/** Options shared by all controllers. */
export interface LoopbackControllerOptions {
  /** The number of controllers. */
  readonly controllers: number;
  /** The guaranteed GPUs and the GPU limit of each team. */
  readonly guaranteedGpus: number;
  readonly gpusMax: number;
  /** The features file, parsed. */
  readonly features: unknown;
  /** The log of all controllers; default: no log. Processes log to their standard error. */
  readonly log?: Log;
  /** The memory of a controller in the settings, in megabytes; default: not given. */
  readonly ramMb?: number;
}

/** Starts and ends the controllers of a deployment, by name. */
export interface ControllerRunner {
  /** The names of all controllers, including those that do not run. */
  readonly names: readonly string[];
  /** Reserves the addresses of all controllers, and starts them. */
  startAll(): Promise<void>;
  /** Starts a controller; a restarted controller listens at its previous addresses. */
  start(name: string): Promise<void>;
  /** Ends a controller, and breaks its connections. */
  end(name: string): Promise<void>;
  endAll(): Promise<void>;
}

interface RunningController {
  readonly controller: Controller;
  readonly link: TcpLink;
  readonly server: ReturnType<typeof openServer>;
}

/** Starts and ends controllers. A restarted controller listens at its previous address. */
export class LoopbackControllers implements ControllerRunner {
  readonly names: readonly string[];
  readonly #running = new Map<string, RunningController>();
  /** The controllers that have been started at least once. */
  readonly #started = new Set<string>();

  constructor(
    readonly network: LoopbackNetwork,
    readonly options: LoopbackControllerOptions,
  ) {
    this.names = Array.from({ length: options.controllers }, (_, i) => `node-${i}`);
  }

  async startAll(): Promise<void> {
    for (const name of this.names) this.network.register(`peer:${name}`, `127.0.0.1:${await freePort()}`);
    for (const name of this.names) await this.start(name);
  }

  async start(name: string): Promise<void> {
    const settings = settingsOf(this.#settingsFile(name), {}, this.options.features);
    const log = this.options.log ?? SILENT;
    const link = new TcpLink({
      node: name,
      listen: settings.peerListen,
      peers: settings.peers,
      silenceMs: settings.clusterConfig.heartbeatIntervalMs * 2,
      log: () => undefined,
    });
    const controller = new Controller({ settings, clock: realClock, http: this.network.http(), link, log });
    const server = openServer(controller, log, settings.sockets);
    await link.start();
    controller.start();
    // A restarted controller keeps its port, because members know only the address that they were started with.
    const port = Number(this.network.addressOf(name).split(':')[1]);
    await server.listen({ host: '127.0.0.1', port: this.#started.has(name) ? port : 0 });
    this.#started.add(name);
    this.network.register(name, `127.0.0.1:${(server.server.address() as AddressInfo).port}`);
    this.#running.set(name, { controller, link, server });
  }

  #settingsFile(name: string): unknown {
    const { guaranteedGpus, gpusMax } = this.options;
    const peerAddressOf = (node: string): string => this.network.addressOf(`peer:${node}`);
    return loopbackSettings({ controllers: this.names, guaranteedGpus, gpusMax, peerAddressOf }, name);
  }

  async end(name: string): Promise<void> {
    const running = this.#running.get(name);
    this.#running.delete(name);
    if (running === undefined) return;
    running.controller.stop();
    running.link.stop();
    running.server.server.closeAllConnections();
    await running.server.close();
  }

  async endAll(): Promise<void> {
    for (const name of [...this.#running.keys()]) await this.end(name);
  }
}
