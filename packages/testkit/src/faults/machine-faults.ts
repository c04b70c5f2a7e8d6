// Faults of machines: they hang, lose connectivity in one direction, are slow, unhealthy, evicted or dead.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';
import { type FaultOfKind, type FaultTable, noDurationMs, statedDurationMs } from './fault-table';

/** A fault of machines. `machine` is the index of the first affected machine. */
export type MachineFault =
  | { readonly kind: 'machines hang'; readonly machine: number; readonly count: number; readonly forMs: number }
  /** Messages from controllers to the machines are lost. */
  | { readonly kind: 'deaf machines'; readonly machine: number; readonly count: number; readonly forMs: number }
  /** Requests from the machines to controllers are held back or lost. */
  | {
      readonly kind: 'mute machines';
      readonly machine: number;
      readonly count: number;
      readonly how: 'hold' | 'lose';
      readonly forMs: number;
    }
  | { readonly kind: 'machine dies'; readonly machine: number; readonly listedAs: 'failed' | 'gone' }
  | { readonly kind: 'unhealthy machine'; readonly machine: number; readonly forMs: number }
  /** The cloud evicts a share of the spot machines, with an eviction notice if `noticeMs` is positive. */
  | { readonly kind: 'spot wave'; readonly share: number; readonly noticeMs: number }
  | { readonly kind: 'slow machine'; readonly machine: number; readonly factor: number; readonly forMs: number };

/** Faults of machines by kind. */
export const MACHINE_FAULTS: FaultTable<MachineFault> = {
  'machines hang': { inject: hangMachines, durationMs: statedDurationMs },
  'deaf machines': { inject: cutRoutesToMachines, durationMs: statedDurationMs },
  'mute machines': { inject: cutRoutesFromMachines, durationMs: statedDurationMs },
  'machine dies': {
    inject: (world, { machine, listedAs }, targets) => {
      const name = targets.machine(machine);
      if (name !== undefined) world.kill(name, listedAs);
    },
    durationMs: noDurationMs,
  },
  'unhealthy machine': { inject: makeUnhealthy, durationMs: statedDurationMs },
  'spot wave': { inject: evictSpotMachines, durationMs: ({ noticeMs }) => noticeMs * 1.5 },
  'slow machine': { inject: slowMachine, durationMs: statedDurationMs },
};

function hangMachines(
  { network }: World,
  { machine, count, forMs }: FaultOfKind<MachineFault, 'machines hang'>,
  targets: FaultTargets,
): void {
  // If `count` exceeds the number of machines, some are frozen more than once, which changes nothing.
  for (let i = 0; i < count; i++) {
    const name = targets.machine(machine + i);
    if (name !== undefined) network.freeze(name, forMs);
  }
}

function cutRoutesToMachines(
  { nodes }: World,
  { machine, count, forMs }: FaultOfKind<MachineFault, 'deaf machines'>,
  targets: FaultTargets,
): void {
  const names = targets.machines(machine, count);
  const routes = names.flatMap((name) => nodes.map((node) => [node.name, name] as const));
  targets.cutRoutes(routes, 'lose', forMs);
}

function cutRoutesFromMachines(
  { network, nodes, sim }: World,
  { machine, count, how, forMs }: FaultOfKind<MachineFault, 'mute machines'>,
  targets: FaultTargets,
): void {
  const names = targets.machines(machine, count);
  if (how === 'lose') {
    // The machines still receive and answer direct commands.
    for (const name of names) network.mute.add(name);
    sim.after(forMs, () => names.forEach((name) => network.mute.delete(name)));
    return;
  }
  const routes = names.flatMap((name) => nodes.map((node) => [name, node.name] as const));
  targets.cutRoutes(routes, how, forMs);
}

function makeUnhealthy(
  world: World,
  { machine, forMs }: FaultOfKind<MachineFault, 'unhealthy machine'>,
  targets: FaultTargets,
): void {
  const worker = world.workers.get(targets.machine(machine) ?? '');
  if (worker === undefined) return;
  worker.isQuarantined = true;
  world.everUnhealthy.add(worker.name);
  world.sim.after(forMs, () => {
    worker.isQuarantined = false;
  });
}

function evictSpotMachines(world: World, { share, noticeMs }: FaultOfKind<MachineFault, 'spot wave'>): void {
  const { sim } = world;
  for (const [name, worker] of world.workers) {
    if (!worker.spot || sim.random() > share) continue;
    if (noticeMs > 0) worker.notice(noticeMs / 1000);
    sim.after(noticeMs * (0.5 + sim.random()), () => world.kill(name, 'gone'));
  }
}

function slowMachine(
  { workers, sim }: World,
  { machine, factor, forMs }: FaultOfKind<MachineFault, 'slow machine'>,
  targets: FaultTargets,
): void {
  const worker = workers.get(targets.machine(machine) ?? '');
  if (worker === undefined) return;
  worker.slowdown = factor;
  sim.after(forMs, () => {
    worker.slowdown = 1;
  });
}

/** An incident that affects one machine while an operation is in progress on it. */
export type MachineIncident = 'die' | 'hang' | 'mute' | 'notice';

/** Injects an incident on a running machine for `forMs`; 'die' is permanent, and 'notice' ends with the eviction. */
export function injectIncident(world: World, machine: string, what: MachineIncident, forMs: number): void {
  const { sim, network } = world;
  switch (what) {
    case 'die':
      world.kill(machine, 'failed');
      return;
    case 'hang':
      network.freeze(machine, forMs);
      network.freeze(`${machine}:9000`, forMs);
      return;
    case 'mute':
      network.mute.add(machine);
      sim.after(forMs, () => network.mute.delete(machine));
      return;
    case 'notice':
      world.workers.get(machine)?.notice(forMs / 1000);
      sim.after(forMs, () => world.kill(machine, 'gone'));
      return;
  }
}
