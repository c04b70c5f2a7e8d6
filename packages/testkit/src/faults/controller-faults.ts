// Faults of controllers: they crash and come back, stand still, have wrong clocks, or lose the lease that others rely
// on.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';
import { cutNode, isBetweenZoneAndOthers } from './network-faults';

/** A fault of controllers. `node` is the number of one; -1 is whoever leads. */
export type ControllerFault =
  | { readonly kind: 'crash'; readonly nodes: readonly number[]; readonly backMs: number }
  /** Ends again and again, and is back within a fraction of a second. */
  | { readonly kind: 'flapping'; readonly node: number; readonly times: number; readonly everyMs: number }
  /** Whoever leads ends, again and again. */
  | { readonly kind: 'leaders end'; readonly times: number; readonly everyMs: number; readonly backMs: number }
  /** All controllers are restarted, one after the other. */
  | { readonly kind: 'rolling restarts'; readonly everyMs: number; readonly backMs: number }
  /** A controller stands still while its clocks run on; on waking it takes what has come, or runs its timers, first. */
  | {
      readonly kind: 'freeze';
      readonly node: number;
      readonly forMs: number;
      readonly wakes: 'input first' | 'timers first';
    }
  /** The times of day of all controllers jump from one end of what is allowed to the other, again and again. */
  | { readonly kind: 'clocks jump'; readonly everyMs: number; readonly forMs: number }
  /**
   * One controller's state lease ends, which the others read late; nothing that it then writes is answered, and its
   * zone loses all others.
   */
  | { readonly kind: 'lapsed apart'; readonly node: number; readonly lapseMs: number; readonly forMs: number }
  /** One controller ends and is back, with slow reads and a lease that ends; then it loses state service and peers. */
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
      for (const node of nodes) targets.crashFor(targets.node(node), backMs);
    },
    durationMs: ({ backMs }) => backMs,
  },
  flapping: { inject: flap, durationMs: ({ times, everyMs }) => times * everyMs },
  'leaders end': {
    inject: ({ sim }, { times, everyMs, backMs }, targets) => {
      for (let i = 0; i < times; i++) sim.after(i * everyMs, () => targets.crashFor(targets.node(-1), backMs));
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
  'lapsed apart': { inject: lapseApart, durationMs: ({ lapseMs, forMs }) => lapseMs + forMs },
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

/** The reads of the others take this share of a heartbeat interval longer while the lease ends. */
const SLOW_READ_SHARE = 0.7;

function lapseApart(
  world: World,
  { node, lapseMs, forMs }: FaultOfKind<ControllerFault, 'lapsed apart'>,
  targets: FaultTargets,
): void {
  const { sim, network, state } = world;
  const name = targets.node(node);
  targets.addFor(state.unrenewed, name, lapseMs);
  targets.addFor(state.unansweredFrom, name, lapseMs + forMs);
  for (const other of world.controllers) {
    if (other === name) continue;
    state.slowReadsOf.set(other, world.heartbeatIntervalMs * SLOW_READ_SHARE);
    sim.after(lapseMs, () => state.slowReadsOf.delete(other));
  }
  const heal = network.wall(isBetweenZoneAndOthers(world, world.zoneOf(name)!), 'lose');
  sim.after(lapseMs + forMs, heal);
}

function restartAndCutOff(
  world: World,
  { node, backMs, readMs, afterMs, forMs }: FaultOfKind<ControllerFault, 'back and cut off'>,
  targets: FaultTargets,
): void {
  const { sim, state } = world;
  const name = targets.node(node);
  targets.crashFor(name, backMs);
  state.slowReadsOf.set(name, readMs);
  targets.addFor(state.unrenewed, name, backMs + afterMs + forMs);
  sim.after(backMs + afterMs, () => {
    state.slowReadsOf.delete(name);
    world.recordOccurrence('node cut');
    const index = world.controllers.indexOf(name);
    cutNode(world, { kind: 'node cut', node: index, from: 'both', how: 'lose', forMs }, targets);
  });
}
