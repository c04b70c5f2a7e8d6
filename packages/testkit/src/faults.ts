// Troubles as data, so that a generator can draw them and a shrinker can take them away one by one.
import { type World, ZONES } from './world';

export type Fault =
  | { readonly kind: 'crash'; readonly nodes: readonly number[]; readonly backMs: number }
  /** Ends again and again, and is back within a fraction of a second. */
  | { readonly kind: 'flapping'; readonly node: number; readonly times: number; readonly everyMs: number }
  /** Stands still while its clocks run on. */
  | { readonly kind: 'freeze'; readonly node: number; readonly forMs: number }
  | { readonly kind: 'machines hang'; readonly machine: number; readonly count: number; readonly forMs: number }
  | { readonly kind: 'late peer copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  | { readonly kind: 'state outage'; readonly forMs: number }
  | { readonly kind: 'state refuses one'; readonly node: number; readonly forMs: number }
  | {
      readonly kind: 'node cut';
      readonly node: number;
      readonly from: 'state' | 'peers' | 'both' | 'workers';
      readonly how: 'hold' | 'lose';
      readonly forMs: number;
    }
  | { readonly kind: 'deaf machine'; readonly machine: number; readonly forMs: number }
  | { readonly kind: 'mute machine'; readonly machine: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  | { readonly kind: 'late copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  | { readonly kind: 'lost answers'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'machine dies'; readonly machine: number; readonly listedAs: 'failed' | 'gone' }
  | { readonly kind: 'sick machine'; readonly machine: number; readonly forMs: number }
  | { readonly kind: 'cloud outage'; readonly forMs: number }
  | { readonly kind: 'events forgotten' }
  | { readonly kind: 'rolling restarts'; readonly everyMs: number; readonly backMs: number }
  | { readonly kind: 'slow controller'; readonly node: number; readonly ms: number; readonly forMs: number }
  | { readonly kind: 'peers refused'; readonly forMs: number }
  | { readonly kind: 'slow state service'; readonly ms: number; readonly forMs: number }
  | { readonly kind: 'zone cut'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  | { readonly kind: 'zones apart'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  | { readonly kind: 'spot wave'; readonly share: number; readonly noticeMs: number }
  | { readonly kind: 'slow machine'; readonly machine: number; readonly factor: number; readonly forMs: number };

export function inflict(world: World, fault: Fault): void {
  const { sim, network, state } = world;
  const node = (i: number): string => world.nodes[i % world.nodes.length]!.name;
  const machine = (i: number): string | undefined => {
    const names = [...world.workers.keys()];
    return names[i % Math.max(1, names.length)];
  };
  const during = (ways: readonly (readonly [string, string])[], how: 'hold' | 'lose', forMs: number): void => {
    for (const [from, to] of ways) network.cut(from, to, how);
    sim.after(forMs, () => {
      for (const [from, to] of ways) network.heal(from, to);
    });
  };
  switch (fault.kind) {
    case 'crash':
      for (const i of fault.nodes) {
        const name = node(i);
        world.crash(name);
        sim.after(fault.backMs, () => world.startNode(name));
      }
      return;
    case 'flapping': {
      const name = node(fault.node);
      for (let i = 0; i < fault.times; i++) {
        sim.after(i * fault.everyMs, () => world.crash(name));
        sim.after(i * fault.everyMs + fault.everyMs / 3, () => world.startNode(name));
      }
      return;
    }
    case 'freeze':
      network.freeze(node(fault.node), fault.forMs);
      return;
    case 'machines hang':
      for (let i = 0; i < fault.count; i++) {
        const name = machine(fault.machine + i);
        if (name !== undefined) network.freeze(name, fault.forMs);
      }
      return;
    case 'late peer copies':
      network.peerCopies = { share: fault.share, withinMs: fault.withinMs };
      sim.after(fault.forMs, () => {
        network.peerCopies = null;
      });
      return;
    case 'state outage':
      state.setOutage(true);
      sim.after(fault.forMs, () => state.setOutage(false));
      return;
    case 'state refuses one':
      during([['state:1', node(fault.node)]], 'lose', fault.forMs);
      return;
    case 'node cut': {
      const name = node(fault.node);
      const others = world.nodes.map((n) => n.name).filter((n) => n !== name);
      const ways: [string, string][] = [];
      if (fault.from === 'state' || fault.from === 'both') ways.push([name, 'state:1'], ['state:1', name]);
      if (fault.from === 'peers' || fault.from === 'both') {
        for (const o of others) ways.push([`peer:${name}`, `peer:${o}`], [`peer:${o}`, `peer:${name}`]);
      }
      if (fault.from === 'workers') for (const w of world.workers.keys()) ways.push([w, name], [name, w]);
      during(ways, fault.how, fault.forMs);
      return;
    }
    case 'deaf machine': {
      const name = machine(fault.machine);
      if (name !== undefined)
        during(
          world.nodes.map((n) => [n.name, name] as const),
          'lose',
          fault.forMs,
        );
      return;
    }
    case 'mute machine': {
      const name = machine(fault.machine);
      if (name !== undefined)
        during(
          world.nodes.map((n) => [name, n.name] as const),
          fault.how,
          fault.forMs,
        );
      return;
    }
    case 'late copies':
      network.copies = {
        share: fault.share,
        withinMs: fault.withinMs,
        // Reports, stops, and all that is asked of the state service and of the cloud.
        only: (path) => path !== '/inspect',
      };
      sim.after(fault.forMs, () => {
        network.copies = null;
      });
      return;
    case 'lost answers':
      network.lostAnswers = fault.share;
      sim.after(fault.forMs, () => {
        network.lostAnswers = 0;
      });
      return;
    case 'machine dies': {
      const name = machine(fault.machine);
      if (name !== undefined) world.kill(name, fault.listedAs);
      return;
    }
    case 'sick machine': {
      const worker = world.workers.get(machine(fault.machine) ?? '');
      if (worker === undefined) return;
      worker.sick = true;
      sim.after(fault.forMs, () => {
        worker.sick = false;
      });
      return;
    }
    case 'cloud outage':
      world.cloudOutage = true;
      sim.after(fault.forMs, () => {
        world.cloudOutage = false;
      });
      return;
    case 'events forgotten':
      state.forgetEvents();
      return;
    case 'rolling restarts':
      world.nodes.forEach((n, i) => {
        sim.after(i * fault.everyMs, () => world.crash(n.name));
        sim.after(i * fault.everyMs + fault.backMs, () => world.startNode(n.name));
      });
      return;
    case 'slow controller': {
      const name = node(fault.node);
      const isIt = (host: string): boolean => host === name || host === `peer:${name}`;
      sim.after(
        fault.forMs,
        network.slow((from, to) => isIt(from) || isIt(to), fault.ms),
      );
      return;
    }
    case 'peers refused':
      sim.after(
        fault.forMs,
        network.wall((from) => from.startsWith('peer:'), 'lose'),
      );
      return;
    case 'slow state service':
      sim.after(
        fault.forMs,
        network.slow((from, to) => from === 'state:1' || to === 'state:1', fault.ms),
      );
      return;
    case 'zone cut': {
      const zone = ZONES[fault.zone % ZONES.length]!;
      const inside = (host: string): boolean => world.zoneOf(host) === zone;
      sim.after(
        fault.forMs,
        network.wall((from, to) => inside(from) !== inside(to), fault.how),
      );
      return;
    }
    case 'zones apart': {
      const pair = [ZONES[fault.zone % ZONES.length]!, ZONES[(fault.zone + 1) % ZONES.length]!];
      const apart = (from: string, to: string): boolean => {
        const [a, b] = [world.zoneOf(from), world.zoneOf(to)];
        return a !== null && b !== null && a !== b && pair.includes(a) && pair.includes(b);
      };
      sim.after(fault.forMs, network.wall(apart, fault.how));
      return;
    }
    case 'spot wave':
      for (const [name, worker] of world.workers) {
        if (!worker.spot || sim.random() > fault.share) continue;
        if (fault.noticeMs > 0) worker.notice(fault.noticeMs / 1000);
        sim.after(fault.noticeMs * (0.5 + sim.random()), () => world.kill(name, 'gone'));
      }
      return;
    case 'slow machine': {
      const worker = world.workers.get(machine(fault.machine) ?? '');
      if (worker === undefined) return;
      worker.slowness = fault.factor;
      sim.after(fault.forMs, () => {
        worker.slowness = 1;
      });
      return;
    }
  }
}

export interface Day {
  readonly seed: number;
  readonly forMs: number;
  readonly faults: readonly { readonly at: number; readonly fault: Fault }[];
}

/** Plays one day: users come and go for its first half, troubles come at their times. */
export async function playDay(world: World, day: Day): Promise<void> {
  const { sim } = world;
  const arrive = (): void => {
    if (sim.now > day.forMs / 2) return;
    const spec = world.randomJob();
    const cancel =
      spec.kind === 'service' ? 5000 + sim.random() * 30_000 : sim.random() < 0.3 ? sim.random() * 12_000 : null;
    void world.user(spec, cancel);
    sim.after((1000 + sim.random() * 4000) / (world.options.load ?? 1), arrive);
  };
  sim.after(2000, arrive);
  const strange = (): void => {
    void world.stranger();
    sim.after(7000, strange);
  };
  strange();
  const audit = (): void => {
    world.audit();
    sim.after(200, audit);
  };
  audit();
  for (const { at, fault } of day.faults) sim.after(at, () => inflict(world, fault));
  await sim.run(day.forMs);
}
