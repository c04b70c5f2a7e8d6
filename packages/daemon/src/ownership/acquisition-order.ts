// The order in which the controllers acquire a partition, and how long each waits for those before it.
import type { Clock } from '@gingerlock/clients';
import { ACQUISITION_DELAY } from '@gingerlock/core';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';

/** What is known about the liveness of the other controllers. */
export interface PeerLiveness {
  /** Whether a message has arrived from the controller recently. */
  isAlive(node: string): boolean;
  /** Whether this process has ever received anything from the controller. */
  wasSeen(node: string): boolean;
  /** Whether messages have arrived from the controller for `forMs` without a gap, and it reads the key-value store. */
  isHealthy(node: string, forMs: number): boolean;
}

/** Dependencies of `AcquisitionOrder`. */
export interface AcquisitionOrderOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly clusterState: ClusterState;
  readonly peers: PeerLiveness;
}

/**
 * The acquisition order. Every partition has a home: the controller that acquires it first, and to which it returns
 * once that controller is healthy.
 */
export class AcquisitionOrder {
  /**
   * All controllers, sorted by name. Apart from zones, the home of partition n is the n-th of them, modulo their count.
   */
  readonly #nodes: readonly string[];
  /** By partition: until when the other controllers go first, because its workers could not reach this controller. */
  readonly #leftToOthersUntil = new Map<number, number>();

  constructor(readonly options: AcquisitionOrderOptions) {
    const { node, peers } = options.settings;
    this.#nodes = [node, ...peers.map((peer) => peer.node)].sort();
  }

  /** Returns the zones of the homes of that many partitions. The first controller that ever starts stores them. */
  homeZones(partitionCount: number): string[] {
    return Array.from({ length: partitionCount }, (_, partitionId) =>
      this.#zoneOf(this.#nodes[partitionId % this.#nodes.length]!),
    );
  }

  /** The controller that should own the partition. */
  homeOf(partitionId: number): string {
    return this.#orderFor(partitionId)[0]!;
  }

  /**
   * Returns for how many heartbeat intervals this controller leaves the partition to the controllers before it, by
   * their current liveness.
   */
  partitionDelay(partitionId: number): number {
    const delay = this.#delayIn(this.#orderFor(partitionId));
    return delay + (this.#isLeftToOthers(partitionId) ? ACQUISITION_DELAY.cutOff : 0);
  }

  /** Returns for how many heartbeat intervals this controller leaves the leadership to the controllers before it. */
  leadershipDelay(): number {
    return this.#delayIn(this.#nodes);
  }

  /** Lets the other controllers go first for the partition until the given steady-clock time. */
  leaveToOthers(partitionId: number, until: number): void {
    this.#leftToOthersUntil.set(partitionId, until);
  }

  #isLeftToOthers(partitionId: number): boolean {
    return this.options.clock.now() < (this.#leftToOthersUntil.get(partitionId) ?? -Infinity);
  }

  #zoneOf(node: string): string {
    const { settings } = this.options;
    return settings.peers.find((peer) => peer.node === node)?.zone ?? settings.zone;
  }

  /** Returns all controllers, the home first. Those in the zone of the partition come before the others. */
  #orderFor(partitionId: number): string[] {
    const nodes = this.#nodes;
    const zone = this.options.clusterState.meta?.zones[partitionId];
    const fromHome = nodes.map((_, index) => nodes[(index + partitionId) % nodes.length]!);
    return [
      ...fromHome.filter((node) => this.#zoneOf(node) === zone),
      ...fromHome.filter((node) => this.#zoneOf(node) !== zone),
    ];
  }

  #delayIn(order: readonly string[]): number {
    const { settings, peers } = this.options;
    let intervals = 0;
    for (const node of order) {
      if (node === settings.node) break;
      if (peers.isAlive(node)) intervals += ACQUISITION_DELAY.alive;
      else intervals += peers.wasSeen(node) ? ACQUISITION_DELAY.silent : ACQUISITION_DELAY.unknown;
    }
    return intervals;
  }
}
