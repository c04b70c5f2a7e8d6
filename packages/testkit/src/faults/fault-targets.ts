// Resolves the targets of faults from the indexes that a generator draws, and limits effects in time.
import type { Cut } from '../simulation/network';
import type { World } from '../simulation/world';

/** How often a fault that waits for a state of the deployment checks for it. */
const POLL_INTERVAL_MS = 20;

/** Resolves the indexes in a fault to controllers, machines and zones, and applies effects for a limited time. */
export class FaultTargets {
  constructor(readonly world: World) {}

  /** The name of a controller. -1 means the leader, or the first controller if there is none. */
  node(index: number): string {
    const { nodes } = this.world;
    const leader = index < 0 ? this.world.leader() : null;
    return leader ?? nodes[Math.max(0, index) % nodes.length]!.name;
  }

  /** The name of a machine; undefined if there is no machine. */
  machine(index: number): string | undefined {
    const names = [...this.world.workers.keys()];
    return names[index % Math.max(1, names.length)];
  }

  /** The distinct names of `count` consecutive machines; empty if there is no machine. */
  machines(from: number, count: number): string[] {
    const names = Array.from({ length: count }, (_, i) => this.machine(from + i));
    return [...new Set(names)].filter((name) => name !== undefined);
  }

  /** The name of a zone of the deployment. */
  zone(index: number): string {
    const { zones } = this.world.deployment;
    return zones[index % zones.length]!;
  }

  /** Cuts each route, from the first host to the second, for `forMs`. */
  cutRoutes(routes: readonly (readonly [string, string])[], how: Cut, forMs: number): void {
    const { network, sim } = this.world;
    for (const [from, to] of routes) network.cut(from, to, how);
    sim.after(forMs, () => {
      for (const [from, to] of routes) network.heal(from, to);
    });
  }

  /** Adds the name to the set and removes it after `forMs`. */
  addTemporarily(affected: Set<string>, name: string, forMs: number): void {
    affected.add(name);
    this.world.sim.after(forMs, () => affected.delete(name));
  }

  /** Kills a controller and starts it again after `backMs`. */
  crashAndRestart(name: string, backMs: number): void {
    this.world.crash(name);
    this.world.sim.after(backMs, () => this.world.startNode(name));
  }
}

/** Calls `act` now and repeatedly for `forMs`; after each call, `nextInMs` returns the time to the next. */
export function repeatFor({ sim }: World, forMs: number, act: () => void, nextInMs: () => number): void {
  const until = sim.now + forMs;
  const next = (): void => {
    if (sim.now > until) return;
    act();
    sim.after(nextInMs(), next);
  };
  next();
}

/** Calls `check` now and every `POLL_INTERVAL_MS` for `forMs`, then `onEnd` once. */
export function pollFor({ sim }: World, forMs: number, check: () => void, onEnd: () => void = () => undefined): void {
  const until = sim.now + forMs;
  const poll = (): void => {
    check();
    if (sim.now < until) sim.after(POLL_INTERVAL_MS, poll);
    else onEnd();
  };
  poll();
}
