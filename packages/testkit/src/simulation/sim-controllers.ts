// The controllers of a simulated deployment: real ones, on simulated clocks, network and links.
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

/** One controller's place in the deployment, whether its process runs or not. */
export interface SimNode {
  readonly name: string;
  readonly zone: string;
  /** Null: its process does not run. */
  controller: Controller | null;
  link: SimLink | null;
  /** How much faster than simulated time its clock runs, as a share. */
  readonly drift: number;
  /** How far its time of day is off, in milliseconds. */
  wallOffMs: number;
}

/** At the most so much do clocks of controllers drift apart. */
const MAX_DRIFT = 0.001;

/** The controllers of a deployment, none of which runs yet. */
export function createNodes(sim: Sim, count: number, zones: readonly string[]): SimNode[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `node-${i}`,
    zone: zones[i % zones.length]!,
    controller: null,
    link: null,
    drift: (sim.random() - 0.5) * MAX_DRIFT,
    wallOffMs: 0,
  }));
}

/** What controllers need of the deployment that they are in. */
export interface ControllersWorld extends LinkedWorld {
  readonly nodes: readonly SimNode[];
  readonly deployment: { readonly maxClockSkewMs: number };
  /** The features file as it is for controllers that start now. */
  readonly features: unknown;
  readonly options: LinkedWorld['options'] & {
    readonly operators?: unknown;
    readonly log?: Log;
    readonly limits?: Partial<ControllerLimits>;
  };
  /** The parsed settings file of a controller. */
  settings(node: string): unknown;
  /** A worker's heartbeat is being answered with 200 by the owner of its partition. */
  onAnsweredByOwner(node: string, owner: PartitionOwner): void;
}

/** Starts and ends controllers. */
export class SimControllers {
  constructor(readonly world: ControllersWorld) {}

  #node(name: string): SimNode {
    return this.world.nodes.find((node) => node.name === name)!;
  }

  /** Starts a controller's process; one that runs is left alone. */
  start(name: string): void {
    const { world } = this;
    const node = this.#node(name);
    if (node.controller !== null) return;
    const link = new SimLink(world, name);
    node.link = link;
    world.network.thaw(name);
    node.wallOffMs = (world.sim.random() * 2 - 1) * world.deployment.maxClockSkewMs;
    const controller = new Controller(this.#portsOf(node, link));
    node.controller = controller;
    // Workers know a controller by its name.
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
        () => node.wallOffMs,
        isAlive,
        (run) => world.network.on(name, run, 'timer'),
      ),
      http: world.network.http(name, isAlive),
      link,
      log: log ?? SILENT,
      ...(limits === undefined ? {} : { limits }),
    };
  }

  /** A worker's heartbeat to a controller; what the owner of the worker's partition answers is checked. */
  async #checkin(controller: Controller, node: string, body: Buffer): Promise<Reply> {
    const reply = await controller.checkin(body);
    const { machine, zone } = decodeHeartbeat(body);
    const partitionId = controller.clusterState.partitioner?.partitionOf(machine, zone);
    const owner = controller.owned().find((owned) => owned.partitionId === partitionId);
    if (reply.status === 200 && owner !== undefined) this.world.onAnsweredByOwner(node, owner);
    return reply;
  }

  /** Kills a controller with no notice. */
  crash(name: string): void {
    const node = this.#node(name);
    node.controller?.stop();
    node.controller = null;
    node.link = null;
    this.world.network.hosts.delete(name);
  }

  /** The time of day of each controller jumps from one end of what is allowed to the other. */
  jumpClocks(): void {
    const { nodes, deployment } = this.world;
    const { maxClockSkewMs } = deployment;
    for (const node of nodes) node.wallOffMs = node.wallOffMs > 0 ? -maxClockSkewMs : maxClockSkewMs;
  }
}
