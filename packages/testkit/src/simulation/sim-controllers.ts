// Runs the production controllers of a simulated deployment on simulated clocks, network and links.
import {
  Controller,
  type ControllerLimits,
  type ControllerPorts,
  type Log,
  type Reply,
  settingsOf,
  SILENT,
  type PartitionOwner,
} from '@gingerlock/daemon';
import { decodeHeartbeat } from '@gingerlock/wire';
import { type LinkedWorld, SimLink } from './sim-link';
import type { Sim } from './sim';

/** A controller of the deployment; its process may or may not run. */
export interface SimNode {
  readonly name: string;
  readonly zone: string;
  /** Null: the controller's process does not run. */
  controller: Controller | null;
  link: SimLink | null;
  /** Rate error of the controller's clock: 0.001 means 0.1 % faster than simulated time. */
  readonly drift: number;
  /** The offset of the controller's wall clock, in milliseconds. */
  wallClockOffsetMs: number;
}

/** The largest difference between the rates of two controllers' clocks, as a share. */
const MAX_DRIFT = 0.001;

/** Creates the controllers of a deployment without starting their processes. */
export function createNodes(sim: Sim, count: number, zones: readonly string[]): SimNode[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `node-${i}`,
    zone: zones[i % zones.length]!,
    controller: null,
    link: null,
    drift: (sim.random() - 0.5) * MAX_DRIFT,
    wallClockOffsetMs: 0,
  }));
}

/** The parts of the deployment that controllers use. */
export interface ControllersWorld extends LinkedWorld {
  readonly nodes: readonly SimNode[];
  readonly deployment: { readonly maxClockSkewMs: number };
  /** The parsed features file for controllers that start from now on. */
  readonly features: unknown;
  readonly options: LinkedWorld['options'] & {
    readonly operators?: unknown;
    readonly log?: Log;
    readonly limits?: Partial<ControllerLimits>;
  };
  /** Returns the parsed settings file of a controller. */
  settings(node: string): unknown;
  /** Called when the owner of a worker's partition answers its heartbeat with 200. */
  onAnsweredByOwner(node: string, owner: PartitionOwner): void;
}

/** Starts and kills controllers. */
export class SimControllers {
  constructor(readonly world: ControllersWorld) {}

  #node(name: string): SimNode {
    return this.world.nodes.find((node) => node.name === name)!;
  }

  /** Starts a controller's process, unless it already runs. */
  start(name: string): void {
    const { world } = this;
    const node = this.#node(name);
    if (node.controller !== null) return;
    const link = new SimLink(world, name);
    node.link = link;
    world.network.resume(name);
    node.wallClockOffsetMs = (world.sim.random() * 2 - 1) * world.deployment.maxClockSkewMs;
    const controller = new Controller(this.#portsOf(node, link));
    node.controller = controller;
    // Workers address a controller by its name.
    world.network.hosts.set(name, async (_method, path, body) => {
      const reply = path === '/checkin' ? await this.#checkin(controller, name, body) : { status: 404, body: null };
      return { status: reply.status, body: reply.body ?? Buffer.alloc(0) };
    });
    controller.start();
  }

  #portsOf(node: SimNode, link: SimLink): ControllerPorts {
    const { world } = this;
    const { name } = node;
    const { operators, log, limits } = world.options;
    const isAlive = (): boolean => node.link === link;
    return {
      settings: settingsOf(world.settings(name), operators ?? {}, world.features),
      clock: world.sim.clock(
        node.drift,
        () => node.wallClockOffsetMs,
        isAlive,
        (run) => world.network.on(name, run, 'timer'),
      ),
      http: world.network.http(name, isAlive),
      link,
      log: log ?? SILENT,
      ...(limits === undefined ? {} : { limits }),
    };
  }

  /** Passes a worker's heartbeat to a controller, and reports a 200 answer from the partition's owner to the audit. */
  async #checkin(controller: Controller, node: string, body: Buffer): Promise<Reply> {
    const reply = await controller.checkin(body);
    if (reply.status !== 200) return reply;
    const { machine, zone } = decodeHeartbeat(body);
    const partitionId = controller.clusterState.partitioner?.partitionOf(machine, zone);
    const owner = controller.owned().find((owned) => owned.partitionId === partitionId);
    if (owner !== undefined) this.world.onAnsweredByOwner(node, owner);
    return reply;
  }

  /** Kills a controller without notice. */
  crash(name: string): void {
    const node = this.#node(name);
    node.controller?.stop();
    node.controller = null;
    node.link = null;
    this.world.network.hosts.delete(name);
  }

  /** Makes the wall clock of each controller jump from one end of the allowed skew to the other. */
  jumpClocks(): void {
    const { nodes, deployment } = this.world;
    const { maxClockSkewMs } = deployment;
    for (const node of nodes) node.wallClockOffsetMs = node.wallClockOffsetMs > 0 ? -maxClockSkewMs : maxClockSkewMs;
  }
}
