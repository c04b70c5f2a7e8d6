// Whom a fault strikes, by the numbers that a generator draws, and for how long.
import type { Cut } from '../simulation/network';
import type { World } from '../simulation/world';

/** How often a fault that waits for a state of the deployment looks whether it has come. */
const POLL_INTERVAL_MS = 20;

/** Resolves the numbers in a fault to controllers, machines and zones, and applies effects that end after a time. */
export class FaultTargets {
  constructor(readonly world: World) {}

  /** The name of a controller; -1 is whoever leads. */
  node(index: number): string {
    const { nodes } = this.world;
    const leader = index < 0 ? this.world.leader() : null;
    return leader ?? nodes[Math.max(0, index) % nodes.length]!.name;
  }

  /** Undefined: there is no machine. */
  machine(index: number): string | undefined {
    const names = [...this.world.workers.keys()];
    return names[index % Math.max(1, names.length)];
  }

  /** Several machines that follow each other, each once; none if there is no machine. */
  machines(from: number, count: number): string[] {
    const names = Array.from({ length: count }, (_, i) => this.machine(from + i));
    return [...new Set(names)].filter((name) => name !== undefined);
  }

  /** The name of a zone of the deployment. */
  zone(index: number): string {
    const { zones } = this.world.deployment;
    return zones[index % zones.length]!;
  }

  /** Cuts these routes, each from the first host to the second, for a time. */
  cutRoutes(routes: readonly (readonly [string, string])[], how: Cut, forMs: number): void {
    const { network, sim } = this.world;
    for (const [from, to] of routes) network.cut(from, to, how);
    sim.after(forMs, () => {
      for (const [from, to] of routes) network.heal(from, to);
    });
  }

  /** Has the name in the set of affected ones for a time. */
  addFor(affected: Set<string>, name: string, forMs: number): void {
    affected.add(name);
    this.world.sim.after(forMs, () => affected.delete(name));
  }

  /** Kills a controller, which is started again after a time. */
  crashFor(name: string, backMs: number): void {
    this.world.crash(name);
    this.world.sim.after(backMs, () => this.world.startNode(name));
  }
}

/** Acts now and again until the time is over; `nextInMs` is asked after each act how long to wait for the next. */
export function repeatFor({ sim }: World, forMs: number, act: () => void, nextInMs: () => number): void {
  const until = sim.now + forMs;
  const next = (): void => {
    if (sim.now > until) return;
    act();
    sim.after(nextInMs(), next);
  };
  next();
}

/** Looks now and every few milliseconds until the time is over; `end` is called after the last look. */
export function pollFor({ sim }: World, forMs: number, look: () => void, end: () => void = () => undefined): void {
  const until = sim.now + forMs;
  const poll = (): void => {
    look();
    if (sim.now < until) sim.after(POLL_INTERVAL_MS, poll);
    else end();
  };
  poll();
}
