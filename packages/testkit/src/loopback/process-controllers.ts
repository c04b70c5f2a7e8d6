// Runs the controllers of a loopback deployment as processes of their own, as a platform does.
import { nodeHttp } from '@gingerlock/clients';
import { ControllerProcess } from './controller-process';
import type { ControllerRunner, LoopbackControllerOptions } from './loopback-controllers';
import { freePort, type LoopbackNetwork } from './loopback-network';
import { loopbackSettings } from './loopback-settings';

/** How long a controller may take until it serves, in milliseconds. */
const START_MS = 20_000;

/** Time between two looks whether a controller serves, in milliseconds. */
const START_CHECK_MS = 100;

/** How long a health check waits, in milliseconds (PROTOCOL). */
const HEALTH_CHECK_MS = 1000;

/** Starts and ends controller processes. A restarted controller listens at its previous addresses. */
export class ProcessControllers implements ControllerRunner {
  readonly names: readonly string[];
  /** The processes that were started, by controller. */
  readonly processes = new Map<string, ControllerProcess>();
  readonly #http = nodeHttp();

  constructor(
    readonly network: LoopbackNetwork,
    readonly options: LoopbackControllerOptions,
  ) {
    this.names = Array.from({ length: options.controllers }, (_, i) => `node-${i}`);
  }

  async startAll(): Promise<void> {
    for (const name of this.names) {
      this.network.register(name, `127.0.0.1:${await freePort()}`);
      this.network.register(`peer:${name}`, `127.0.0.1:${await freePort()}`);
    }
    await Promise.all(this.names.map((name) => this.start(name)));
  }

  async start(name: string): Promise<void> {
    this.processes.set(name, new ControllerProcess(this.#settings(name)));
    const deadline = performance.now() + START_MS;
    while (!(await this.isUp(name))) {
      if (performance.now() > deadline)
        throw new Error(`${name} does not serve: ${this.processes.get(name)?.log ?? ''}`);
      await new Promise((resolve) => setTimeout(resolve, START_CHECK_MS));
    }
  }

  #settings(name: string): unknown {
    const { guaranteedGpus, gpusMax, ramMb } = this.options;
    const peerAddressOf = (node: string): string => this.network.addressOf(`peer:${node}`);
    const addresses = {
      clients: this.network.addressOf(name),
      state: this.network.addressOf('state:1'),
      cloud: this.network.addressOf('cloud:1'),
    };
    const source = { controllers: this.names, guaranteedGpus, gpusMax, peerAddressOf, addresses };
    return loopbackSettings(ramMb === undefined ? source : { ...source, ramMb }, name);
  }

  /** Whether the controller answers a health check in time. */
  async isUp(name: string): Promise<boolean> {
    try {
      const answer = await this.#http(this.network.addressOf(name), 'GET', '/up', null, HEALTH_CHECK_MS);
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async end(name: string): Promise<void> {
    await this.processes.get(name)?.end();
    this.processes.delete(name);
  }

  async endAll(): Promise<void> {
    await Promise.all(this.names.map((name) => this.end(name)));
  }
}
