// Whom a fault strikes, by the numbers that a generator draws, and for how long.
import type { Cut } from '../simulation/network';
import type { World } from '../simulation/world';

export class FaultTargets {
  constructor(readonly world: World) {}

  /** -1 is whoever leads. */
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

  machines(from: number, count: number): string[] {
    const names = Array.from({ length: count }, (_, i) => this.machine(from + i));
    return [...new Set(names)].filter((name) => name !== undefined);
  }

  /** Cuts these ways for a time. */
  during(ways: readonly (readonly [string, string])[], how: Cut, forMs: number): void {
    const { network, sim } = this.world;
    for (const [from, to] of ways) network.cut(from, to, how);
    sim.after(forMs, () => {
      for (const [from, to] of ways) network.heal(from, to);
    });
  }

  /** Has the name among the affected ones for a time. */
  forSome(affected: Set<string>, name: string, forMs: number): void {
    affected.add(name);
    this.world.sim.after(forMs, () => affected.delete(name));
  }
}
