// In which order the controllers acquire a partition, and how long each waits for those that come before it.
import type { Clock } from '@gingerlock/clients';
import { ACQUISITION_DELAY } from '@gingerlock/core';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';

/** What is known of the other controllers. */
export interface PeerLiveness {
  /** Whether anything has come from the controller lately. */
  isAlive(node: string): boolean;
  /** Whether this process has ever received anything from the controller. */
  wasSeen(node: string): boolean;
  /** Whether the controller was heard for so long without a gap, and reads the key-value store. */
  isHealthy(node: string, forMs: number): boolean;
}

/** What the order depends on. */
export interface AcquisitionOrderOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly clusterState: ClusterState;
  readonly peers: PeerLiveness;
}

/** Every partition has a home: the controller that acquires it first and to which it returns when that is healthy. */
export class AcquisitionOrder {
  /** All controllers by name: partition n has the n-th as its home, counted round, but for zones. */
  readonly #nodes: readonly string[];
  /** By partition: until when the other controllers go first, as its workers could not reach this one. */
  readonly #leftToOthersUntil = new Map<number, number>();

  constructor(readonly options: AcquisitionOrderOptions) {
    const { node, peers } = options.settings;
    this.#nodes = [node, ...peers.map((peer) => peer.node)].sort();
  }

  /** The zones of the homes of so many partitions, as the first controller that ever starts stores them. */
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
   * Heartbeat intervals for which this controller leaves the partition to those that come before it, by their state
   * now.
   */
  partitionDelay(partitionId: number): number {
    const delay = this.#delayIn(this.#orderFor(partitionId));
    return delay + (this.#isLeftToOthers(partitionId) ? ACQUISITION_DELAY.cutOff : 0);
  }

  /** Heartbeat intervals for which this controller leaves the leadership to those that come before it. */
  leadershipDelay(): number {
    return this.#delayIn(this.#nodes);
  }

  /** Lets the other controllers go first for the partition up to that time by the steady clock. */
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

  /** All controllers, the home first: those in the zone of the partition go before the others. */
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
