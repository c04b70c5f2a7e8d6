// Faults of the network: routes that lose, delay, refuse or duplicate messages.
import type { Cut, RoutePredicate } from '../simulation/network';
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';

/** A fault of the network. `node` is the index of a controller, `zone` that of a zone. */
export type NetworkFault =
  | {
      readonly kind: 'node cut';
      readonly node: number;
      readonly from: 'state' | 'peers' | 'both' | 'workers';
      readonly how: Cut;
      readonly forMs: number;
    }
  /** A controller keeps running, but is cut off from all other hosts, including users. */
  | { readonly kind: 'silent controller'; readonly node: number; readonly how: Cut; readonly forMs: number }
  | { readonly kind: 'slow controller'; readonly node: number; readonly ms: number; readonly forMs: number }
  | { readonly kind: 'peers refused'; readonly forMs: number }
  /** A zone is cut off from all hosts outside it, including those that belong to no zone. */
  | { readonly kind: 'zone cut'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  /** A zone is cut off from all other zones, but not from the state service, the cloud and users. */
  | { readonly kind: 'zone apart'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  /** Two zones are cut off from each other. */
  | { readonly kind: 'zones apart'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  /** A share of the requests is duplicated, and the copies arrive late. */
  | { readonly kind: 'late copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  /** A share of the messages between controllers is duplicated, and the copies arrive late. */
  | { readonly kind: 'late peer copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  | { readonly kind: 'lost answers'; readonly share: number; readonly forMs: number };

/** Faults of the network by kind. */
export const NETWORK_FAULTS: FaultTable<NetworkFault> = {
  'node cut': { inject: cutNode, durationMs: statedDurationMs },
  'silent controller': { inject: silenceController, durationMs: statedDurationMs },
  'slow controller': { inject: slowController, durationMs: statedDurationMs },
  'peers refused': {
    inject: ({ sim, network }, { forMs }) => {
      const heal = network.cutRoutes((from) => from.startsWith('peer:'), 'lose');
      sim.after(forMs, heal);
    },
    durationMs: statedDurationMs,
  },
  'zone cut': { inject: cutZone, durationMs: statedDurationMs },
  'zone apart': {
    inject: (world, { zone, how, forMs }, targets) => {
      const heal = world.network.cutRoutes(isBetweenZoneAndOthers(world, targets.zone(zone)), how);
      world.sim.after(forMs, heal);
    },
    durationMs: statedDurationMs,
  },
  'zones apart': { inject: cutZonesApart, durationMs: statedDurationMs },
  'late copies': { inject: repeatRequests, durationMs: ({ forMs, withinMs }) => forMs + withinMs },
  'late peer copies': {
    inject: ({ sim, network }, { share, withinMs, forMs }) => {
      network.peerCopies = { share, withinMs };
      sim.after(forMs, () => {
        network.peerCopies = null;
      });
    },
    durationMs: ({ forMs, withinMs }) => forMs + withinMs,
  },
  'lost answers': {
    inject: ({ sim, network }, { share, forMs }) => {
      network.lostAnswerShare = share;
      sim.after(forMs, () => {
        network.lostAnswerShare = 0;
      });
    },
    durationMs: statedDurationMs,
  },
};

/** Cuts a controller off from the state service, its peers, both of these, or the workers. */
export function cutNode(
  world: World,
  { node, from: cutFrom, how, forMs }: FaultOfKind<NetworkFault, 'node cut'>,
  targets: FaultTargets,
): void {
  const name = targets.node(node);
  const routes: [string, string][] = [];
  if (cutFrom === 'state' || cutFrom === 'both') routes.push([name, 'state:1'], ['state:1', name]);
  if (cutFrom === 'peers' || cutFrom === 'both') {
    for (const peer of world.controllers) {
      if (peer !== name) routes.push([`peer:${name}`, `peer:${peer}`], [`peer:${peer}`, `peer:${name}`]);
    }
  }
  targets.cutRoutes(routes, how, forMs);
  if (cutFrom !== 'workers') return;
  // A predicate also covers workers that come up during the cut.
  const isWorker = (host: string): boolean => world.workers.has(host.replace(/:\d+$/, ''));
  const isCut: RoutePredicate = (from, to) => (from === name && isWorker(to)) || (to === name && isWorker(from));
  const heal = world.network.cutRoutes(isCut, how);
  world.sim.after(forMs, heal);
}

/** Returns a predicate that matches the controller's host names for clients and for peers. */
function isHostOf(node: string): (host: string) => boolean {
  return (host) => host === node || host === `peer:${node}`;
}

function silenceController(
  { sim, network, silent }: World,
  { node, how, forMs }: FaultOfKind<NetworkFault, 'silent controller'>,
  targets: FaultTargets,
): void {
  const name = targets.node(node);
  const isController = isHostOf(name);
  const heal = network.cutRoutes((from, to) => isController(from) || isController(to), how);
  silent.add(name);
  sim.after(forMs, () => {
    heal();
    silent.delete(name);
  });
}

function slowController(
  { sim, network }: World,
  { node, ms, forMs }: FaultOfKind<NetworkFault, 'slow controller'>,
  targets: FaultTargets,
): void {
  const isController = isHostOf(targets.node(node));
  const heal = network.slow((from, to) => isController(from) || isController(to), ms);
  sim.after(forMs, heal);
}

function cutZone(
  world: World,
  { zone, how, forMs }: FaultOfKind<NetworkFault, 'zone cut'>,
  targets: FaultTargets,
): void {
  const zoneName = targets.zone(zone);
  const isInside = (host: string): boolean => world.zoneOf(host) === zoneName;
  const heal = world.network.cutRoutes((from, to) => isInside(from) !== isInside(to), how);
  world.sim.after(forMs, heal);
}

function cutZonesApart(
  world: World,
  { zone, how, forMs }: FaultOfKind<NetworkFault, 'zones apart'>,
  targets: FaultTargets,
): void {
  const pair = [targets.zone(zone), targets.zone(zone + 1)];
  const isBetween: RoutePredicate = (from, to) => {
    const [fromZone, toZone] = [world.zoneOf(from), world.zoneOf(to)];
    if (fromZone === null || toZone === null || fromZone === toZone) return false;
    return pair.includes(fromZone) && pair.includes(toZone);
  };
  const heal = world.network.cutRoutes(isBetween, how);
  world.sim.after(forMs, heal);
}

/** Returns a predicate for routes between the zone and other zones; routes of hosts without a zone do not match. */
export function isBetweenZoneAndOthers(world: World, zone: string): RoutePredicate {
  return (from, to) => {
    const zones = [world.zoneOf(from), world.zoneOf(to)];
    return !zones.includes(null) && zones[0] !== zones[1] && zones.includes(zone);
  };
}

function repeatRequests(
  { sim, network }: World,
  { share, withinMs, forMs }: FaultOfKind<NetworkFault, 'late copies'>,
): void {
  network.duplicates = {
    share,
    withinMs,
    // Heartbeats, stops, and all requests to the state service and the cloud.
    only: (path) => path !== '/inspect',
  };
  sim.after(forMs, () => {
    network.duplicates = null;
  });
}
