// The controllers of a deployment on loopback: in this process, each with its own server and peer link.
import type { AddressInfo } from 'node:net';
import { Controller, type Log, openServer, settingsOf, SILENT } from '@gingerlock/daemon';
import { TcpLink } from '@gingerlock/peer';
import { freePort, type LoopbackNetwork } from './loopback-network';
import { loopbackSettings } from './loopback-settings';
import { realClock } from './real-time';

/** What all controllers are started with. */
export interface LoopbackControllerOptions {
  /** How many there are. */
  readonly controllers: number;
  /** GPUs that each team is guaranteed, and may use at the most. */
  readonly guaranteedGpus: number;
  readonly gpusMax: number;
  /** The features file, parsed. */
  readonly features: unknown;
  /** The log of all controllers; silent if not given. */
  readonly log?: Log;
}

interface RunningController {
  readonly controller: Controller;
  readonly link: TcpLink;
  readonly server: ReturnType<typeof openServer>;
}

/** Starts and ends controllers; one that is started again is at the address that it had. */
export class LoopbackControllers {
  /** The names of all controllers, whether they run or not. */
  readonly names: readonly string[];
  readonly #running = new Map<string, RunningController>();
  /** Controllers that have run before. */
  readonly #started = new Set<string>();

  constructor(
    readonly network: LoopbackNetwork,
    readonly options: LoopbackControllerOptions,
  ) {
    this.names = Array.from({ length: options.controllers }, (_, i) => `node-${i}`);
  }

  /** Finds an address for each peer link, and starts all controllers. */
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
    // Back at the address that it had: members know no other.
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

  /** Ends a controller: its connections break, and nothing of it goes on. */
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
