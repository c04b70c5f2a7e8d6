// Faults of controllers: they crash and restart, freeze, have clock jumps, or lose their store lease.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';
import { cutNode, isBetweenZoneAndOthers } from './network-faults';

/** A fault of controllers. `node` is the index of a controller; -1 means the leader. */
export type ControllerFault =
  | { readonly kind: 'crash'; readonly nodes: readonly number[]; readonly backMs: number }
  /** A controller crashes every `everyMs`, `times` times, and restarts after a third of that interval. */
  | { readonly kind: 'flapping'; readonly node: number; readonly times: number; readonly everyMs: number }
  /** The current leader crashes, repeatedly. */
  | { readonly kind: 'leaders end'; readonly times: number; readonly everyMs: number; readonly backMs: number }
  /** All controllers restart, one after the other. */
  | { readonly kind: 'rolling restarts'; readonly everyMs: number; readonly backMs: number }
  /** A controller freezes while its clocks run on; on resuming, it handles either pending input or due timers first. */
  | {
      readonly kind: 'freeze';
      readonly node: number;
      readonly forMs: number;
      readonly wakes: 'input first' | 'timers first';
    }
  /** The wall clocks of all controllers repeatedly jump between the two ends of the permitted skew. */
  | { readonly kind: 'clocks jump'; readonly everyMs: number; readonly forMs: number }
  /**
   * A controller's store lease expires, which its peers read late. Its transactions get no answer, and its zone is cut
   * off from the other zones.
   */
  | { readonly kind: 'lapsed apart'; readonly node: number; readonly lapseMs: number; readonly forMs: number }
  /** A controller restarts with slow reads and no lease renewals, then is cut off from the state service and peers. */
  | {
      readonly kind: 'back and cut off';
      readonly node: number;
      readonly backMs: number;
      readonly readMs: number;
      readonly afterMs: number;
      readonly forMs: number;
    };

/** Faults of controllers by kind. */
export const CONTROLLER_FAULTS: FaultTable<ControllerFault> = {
  crash: {
    inject: (_world, { nodes, backMs }, targets) => {
      for (const node of nodes) targets.crashAndRestart(targets.node(node), backMs);
    },
    durationMs: ({ backMs }) => backMs,
  },
  flapping: { inject: flap, durationMs: ({ times, everyMs }) => times * everyMs },
  'leaders end': {
    inject: ({ sim }, { times, everyMs, backMs }, targets) => {
      for (let i = 0; i < times; i++) sim.after(i * everyMs, () => targets.crashAndRestart(targets.node(-1), backMs));
    },
    durationMs: ({ times, everyMs, backMs }) => times * everyMs + backMs,
  },
  'rolling restarts': {
    inject: restartAll,
    durationMs: ({ everyMs, backMs }, controllerCount) => controllerCount * everyMs + backMs,
  },
  freeze: {
    inject: ({ network }, { node, forMs, wakes }, targets) => network.freeze(targets.node(node), forMs, wakes),
    durationMs: statedDurationMs,
  },
  'clocks jump': {
    inject: (world, { everyMs, forMs }) => {
      for (let at = 0; at < forMs; at += everyMs) world.sim.after(at, () => world.jumpClocks());
    },
    durationMs: statedDurationMs,
  },
  'lapsed apart': { inject: expireLeaseAndIsolateZone, durationMs: ({ lapseMs, forMs }) => lapseMs + forMs },
  'back and cut off': {
    inject: restartAndCutOff,
    durationMs: ({ backMs, afterMs, forMs }) => backMs + afterMs + forMs,
  },
};

function flap(
  world: World,
  { node, times, everyMs }: FaultOfKind<ControllerFault, 'flapping'>,
  targets: FaultTargets,
): void {
  const name = targets.node(node);
  for (let i = 0; i < times; i++) {
    world.sim.after(i * everyMs, () => world.crash(name));
    world.sim.after(i * everyMs + everyMs / 3, () => world.startNode(name));
  }
}

function restartAll(world: World, { everyMs, backMs }: FaultOfKind<ControllerFault, 'rolling restarts'>): void {
  for (const [i, name] of world.controllers.entries()) {
    world.sim.after(i * everyMs, () => world.crash(name));
    world.sim.after(i * everyMs + backMs, () => world.startNode(name));
  }
}

/** The delay of the peers' reads while the lease expires, as a share of the heartbeat interval. */
const SLOW_READ_SHARE = 0.7;

function expireLeaseAndIsolateZone(
  world: World,
  { node, lapseMs, forMs }: FaultOfKind<ControllerFault, 'lapsed apart'>,
  targets: FaultTargets,
): void {
  const { sim, network, state } = world;
  const name = targets.node(node);
  targets.addTemporarily(state.unrenewed, name, lapseMs);
  targets.addTemporarily(state.transactionsLostFrom, name, lapseMs + forMs);
  for (const other of world.controllers) {
    if (other === name) continue;
    state.slowReadsOf.set(other, world.heartbeatIntervalMs * SLOW_READ_SHARE);
    sim.after(lapseMs, () => state.slowReadsOf.delete(other));
  }
  const heal = network.cutRoutes(isBetweenZoneAndOthers(world, world.zoneOf(name)!), 'lose');
  sim.after(lapseMs + forMs, heal);
}

function restartAndCutOff(
  world: World,
  { node, backMs, readMs, afterMs, forMs }: FaultOfKind<ControllerFault, 'back and cut off'>,
  targets: FaultTargets,
): void {
  const { sim, state } = world;
  const name = targets.node(node);
  targets.crashAndRestart(name, backMs);
  state.slowReadsOf.set(name, readMs);
  targets.addTemporarily(state.unrenewed, name, backMs + afterMs + forMs);
  sim.after(backMs + afterMs, () => {
    state.slowReadsOf.delete(name);
    world.recordOccurrence('node cut');
    const index = world.controllers.indexOf(name);
    cutNode(world, { kind: 'node cut', node: index, from: 'both', how: 'lose', forMs }, targets);
  });
}
