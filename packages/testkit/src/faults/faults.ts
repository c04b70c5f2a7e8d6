// Troubles as data, so that a generator can draw them and a shrinker can take them away one by one.
import { KEYS } from '@gingerlock/wire';
import { type BorrowingFault, borrowingFaultMs, injectBorrowingFault, isBorrowingFault } from './borrowing-faults';
import { injectOperationsFault, isOperationsFault, type OperationsFault, operationsFaultMs } from './operations-faults';
import { type GroupFault, groupFaultMs, injectGroupFault, isGroupFault } from './group-faults';
import { FaultTargets } from './fault-targets';
import type { Cut } from '../simulation/network';
import { injectStateFault, isStateFault, type StateFault } from './state-faults';
import { observeDirect } from '../simulation/traffic';
import { injectUserFault, isUserFault, type UserFault } from './user-faults';
import type { World } from '../simulation/world';

export type Fault =
  | StateFault
  | UserFault
  | OperationsFault
  | BorrowingFault
  | GroupFault
  | { readonly kind: 'crash'; readonly nodes: readonly number[]; readonly backMs: number }
  /** Ends again and again, and is back within a fraction of a second. */
  | { readonly kind: 'flapping'; readonly node: number; readonly times: number; readonly everyMs: number }
  | { readonly kind: 'machines hang'; readonly machine: number; readonly count: number; readonly forMs: number }
  | { readonly kind: 'late peer copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  /** Copies of reports are kept until a new leader or owner begins, and then come to every controller. */
  | { readonly kind: 'reports for the next'; readonly share: number; readonly forMs: number }
  /** Whoever leads ends, again and again. */
  | { readonly kind: 'leaders end'; readonly times: number; readonly everyMs: number; readonly backMs: number }
  | { readonly kind: 'fast boots'; readonly forMs: number }
  | {
      readonly kind: 'node cut';
      readonly node: number;
      readonly from: 'state' | 'peers' | 'both' | 'workers';
      readonly how: Cut;
      readonly forMs: number;
    }
  | { readonly kind: 'deaf machines'; readonly machine: number; readonly count: number; readonly forMs: number }
  | {
      readonly kind: 'mute machines';
      readonly machine: number;
      readonly count: number;
      readonly how: 'hold' | 'lose';
      readonly forMs: number;
    }
  | { readonly kind: 'late copies'; readonly share: number; readonly withinMs: number; readonly forMs: number }
  | { readonly kind: 'lost answers'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'machine dies'; readonly machine: number; readonly listedAs: 'failed' | 'gone' }
  | { readonly kind: 'unhealthy machine'; readonly machine: number; readonly forMs: number }
  | { readonly kind: 'cloud outage'; readonly forMs: number }
  | { readonly kind: 'rolling restarts'; readonly everyMs: number; readonly backMs: number }
  | { readonly kind: 'slow controller'; readonly node: number; readonly ms: number; readonly forMs: number }
  | { readonly kind: 'peers refused'; readonly forMs: number }
  | { readonly kind: 'zone cut'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  /** A zone loses all others, while the state service, the cloud and users are reached from everywhere. */
  | { readonly kind: 'zone apart'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  /**
   * One controller's state lease ends, which the others read late; nothing that it then writes is answered, and its zone loses
   * all others.
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
    }
  | { readonly kind: 'zones apart'; readonly zone: number; readonly how: 'hold' | 'lose'; readonly forMs: number }
  | { readonly kind: 'spot wave'; readonly share: number; readonly noticeMs: number }
  | { readonly kind: 'slow machine'; readonly machine: number; readonly factor: number; readonly forMs: number };

export function injectFault(world: World, fault: Fault): void {
  const { sim, network, state } = world;
  const targets = new FaultTargets(world);
  world.recordOccurrence(fault.kind);
  if (isOperationsFault(fault)) return injectOperationsFault(world, fault, (i) => targets.node(i));
  if (isBorrowingFault(fault)) return injectBorrowingFault(world, fault);
  if (isGroupFault(fault)) return injectGroupFault(world, fault);
  if (isStateFault(fault)) return injectStateFault(world, fault, targets);
  if (isUserFault(fault)) return injectUserFault(world, fault, targets);
  switch (fault.kind) {
    case 'crash':
      for (const i of fault.nodes) {
        const name = targets.node(i);
        world.crash(name);
        sim.after(fault.backMs, () => world.startNode(name));
      }
      return;
    case 'flapping': {
      const name = targets.node(fault.node);
      for (let i = 0; i < fault.times; i++) {
        sim.after(i * fault.everyMs, () => world.crash(name));
        sim.after(i * fault.everyMs + fault.everyMs / 3, () => world.startNode(name));
      }
      return;
    }
    case 'machines hang':
      for (let i = 0; i < fault.count; i++) {
        const name = targets.machine(fault.machine + i);
        if (name !== undefined) network.freeze(name, fault.forMs);
      }
      return;
    case 'late peer copies':
      network.peerCopies = { share: fault.share, withinMs: fault.withinMs };
      sim.after(fault.forMs, () => {
        network.peerCopies = null;
      });
      return;
    case 'reports for the next':
      keepReports(world, fault.share, fault.forMs);
      return;
    case 'leaders end':
      for (let i = 0; i < fault.times; i++) {
        sim.after(i * fault.everyMs, () => {
          const name = targets.node(-1);
          world.crash(name);
          sim.after(fault.backMs, () => world.startNode(name));
        });
      }
      return;
    case 'fast boots':
      world.cloud.fastBoots = true;
      sim.after(fault.forMs, () => {
        world.cloud.fastBoots = false;
      });
      return;
    case 'node cut': {
      const name = targets.node(fault.node);
      const others = world.nodes.map((n) => n.name).filter((n) => n !== name);
      const ways: [string, string][] = [];
      if (fault.from === 'state' || fault.from === 'both') ways.push([name, 'state:1'], ['state:1', name]);
      if (fault.from === 'peers' || fault.from === 'both') {
        for (const o of others) ways.push([`peer:${name}`, `peer:${o}`], [`peer:${o}`, `peer:${name}`]);
      }
      targets.during(ways, fault.how, fault.forMs);
      if (fault.from !== 'workers') return;
      // Those too that come up during the cut.
      const isWorker = (host: string): boolean => world.workers.has(host.replace(/:\d+$/, ''));
      const apart = (from: string, to: string): boolean =>
        (from === name && isWorker(to)) || (to === name && isWorker(from));
      sim.after(fault.forMs, network.wall(apart, fault.how));
      return;
    }
    case 'deaf machines': {
      const deaf = targets.machines(fault.machine, fault.count);
      targets.during(
        deaf.flatMap((name) => world.nodes.map((n) => [n.name, name] as const)),
        'lose',
        fault.forMs,
      );
      return;
    }
    case 'mute machines': {
      const mute = targets.machines(fault.machine, fault.count);
      if (fault.how === 'lose') {
        // Direct commands reach them, and are answered.
        for (const name of mute) network.mute.add(name);
        sim.after(fault.forMs, () => mute.forEach((name) => network.mute.delete(name)));
        return;
      }
      targets.during(
        mute.flatMap((name) => world.nodes.map((n) => [name, n.name] as const)),
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
      const name = targets.machine(fault.machine);
      if (name !== undefined) world.kill(name, fault.listedAs);
      return;
    }
    case 'unhealthy machine': {
      const worker = world.workers.get(targets.machine(fault.machine) ?? '');
      if (worker === undefined) return;
      worker.isQuarantined = true;
      world.everUnhealthy.add(worker.name);
      sim.after(fault.forMs, () => {
        worker.isQuarantined = false;
      });
      return;
    }
    case 'cloud outage':
      world.cloud.outage = true;
      sim.after(fault.forMs, () => {
        world.cloud.outage = false;
      });
      return;
    case 'rolling restarts':
      world.nodes.forEach((n, i) => {
        sim.after(i * fault.everyMs, () => world.crash(n.name));
        sim.after(i * fault.everyMs + fault.backMs, () => world.startNode(n.name));
      });
      return;
    case 'slow controller': {
      const name = targets.node(fault.node);
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
    case 'zone cut': {
      const zone = zoneAt(world, fault.zone);
      const inside = (host: string): boolean => world.zoneOf(host) === zone;
      sim.after(
        fault.forMs,
        network.wall((from, to) => inside(from) !== inside(to), fault.how),
      );
      return;
    }
    case 'zone apart':
      sim.after(fault.forMs, network.wall(apartFrom(world, zoneAt(world, fault.zone)), fault.how));
      return;
    case 'lapsed apart': {
      const name = targets.node(fault.node);
      const { lapseMs, forMs } = fault;
      targets.forSome(state.unrenewed, name, lapseMs);
      targets.forSome(state.unansweredFrom, name, lapseMs + forMs);
      for (const other of world.controllers) {
        if (other === name) continue;
        state.slowReadsOf.set(other, world.heartbeatIntervalMs * 0.7);
        sim.after(lapseMs, () => state.slowReadsOf.delete(other));
      }
      sim.after(lapseMs + forMs, network.wall(apartFrom(world, world.zoneOf(name)!), 'lose'));
      return;
    }
    case 'back and cut off': {
      const name = targets.node(fault.node);
      world.crash(name);
      sim.after(fault.backMs, () => world.startNode(name));
      state.slowReadsOf.set(name, fault.readMs);
      targets.forSome(state.unrenewed, name, fault.backMs + fault.afterMs + fault.forMs);
      sim.after(fault.backMs + fault.afterMs, () => {
        state.slowReadsOf.delete(name);
        const index = world.controllers.indexOf(name);
        injectFault(world, { kind: 'node cut', node: index, from: 'both', how: 'lose', forMs: fault.forMs });
      });
      return;
    }
    case 'zones apart': {
      const pair = [zoneAt(world, fault.zone), zoneAt(world, fault.zone + 1)];
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
      const worker = world.workers.get(targets.machine(fault.machine) ?? '');
      if (worker === undefined) return;
      worker.slowness = fault.factor;
      sim.after(fault.forMs, () => {
        worker.slowness = 1;
      });
      return;
    }
  }
}

/** Between the zone and all others; what belongs to no zone is reached from everywhere. */
function apartFrom(world: World, zone: string): (from: string, to: string) => boolean {
  return (from, to) => {
    const zones = [world.zoneOf(from), world.zoneOf(to)];
    return !zones.includes(null) && zones[0] !== zones[1] && zones.includes(zone);
  };
}

/** Keeps copies of reports, the oldest of each worker, and gives them to every controller when a term begins. */
function keepReports(world: World, share: number, forMs: number): void {
  const { sim, network, state } = world;
  const kept = new Map<string, Buffer>();
  const before = network.onSent;
  network.onSent = (from, addr, path, body) => {
    before(from, addr, path, body);
    if (path === '/checkin' && !kept.has(from) && sim.random() < share) kept.set(from, body);
  };
  const until = sim.now + forMs;
  let term = state.data.get(KEYS.term)?.version;
  const watch = (): void => {
    const now = state.data.get(KEYS.term)?.version;
    if (now !== term) {
      term = now;
      for (const [worker, body] of kept) {
        world.recordOccurrence('old report');
        for (const n of world.nodes) {
          sim.after(sim.random() * 500, () => {
            const { controller } = n;
            if (controller === null) return;
            const copy = { from: worker, to: n.name, request: 'POST /checkin', body };
            void observeDirect(network.observe, copy, () => controller.checkin(body)).catch(() => undefined);
          });
        }
        kept.delete(worker);
      }
    }
    if (sim.now < until) sim.after(20, watch);
    else network.onSent = before;
  };
  watch();
}

/** How long a trouble lasts, what it leaves under way included. */
function lastsMs(fault: Fault, controllers: number): number {
  if (isOperationsFault(fault)) return operationsFaultMs(fault);
  if (isBorrowingFault(fault)) return borrowingFaultMs(fault, controllers);
  if (isGroupFault(fault)) return groupFaultMs(fault);
  switch (fault.kind) {
    case 'crash':
      return fault.backMs;
    case 'flapping':
      return fault.times * fault.everyMs;
    case 'leaders end':
      return fault.times * fault.everyMs + fault.backMs;
    case 'rolling restarts':
      return controllers * fault.everyMs + fault.backMs;
    case 'gap':
      return fault.afterMs + fault.forMs;
    case 'cancel now':
      return fault.hangMs;
    case 'spot wave':
      return fault.noticeMs * 1.5;
    case 'machine dies':
    case 'events forgotten':
    case 'state limits':
      return 0;
    case 'late copies':
    case 'late peer copies':
      return fault.forMs + fault.withinMs;
    case 'late writes':
      return fault.forMs + 12_000;
    case 'lapsed apart':
      return fault.lapseMs + fault.forMs;
    case 'back and cut off':
      return fault.backMs + fault.afterMs + fault.forMs;
    default:
      return fault.forMs;
  }
}

export interface Scenario {
  readonly seed: number;
  readonly forMs: number;
  readonly faults: readonly { readonly at: number; readonly fault: Fault }[];
}

/** Plays one day: users come and go for its first half, troubles come at their times. */
export async function runScenario(world: World, scenario: Scenario): Promise<void> {
  const { sim } = world;
  const arrive = (): void => {
    if (sim.now > scenario.forMs / 2) return;
    const spec = world.randomJob();
    const cancel =
      spec.kind === 'service' ? 5000 + sim.random() * 30_000 : sim.random() < 0.3 ? sim.random() * 12_000 : null;
    void world.users.live(spec, cancel);
    sim.after((1000 + sim.random() * 4000) / (world.options.load ?? 1), arrive);
  };
  sim.after(2000, arrive);
  const strange = (): void => {
    void world.users.stranger();
    sim.after(7000, strange);
  };
  strange();
  world.quietAt = Math.max(0, ...scenario.faults.map(({ at, fault }) => at + lastsMs(fault, world.nodes.length)));
  const audit = (): void => {
    world.audit();
    sim.after(200, audit);
  };
  audit();
  for (const { at, fault } of scenario.faults) sim.after(at, () => injectFault(world, fault));
  await sim.run(scenario.forMs);
}

function zoneAt({ deployment: { zones } }: World, index: number): string {
  return zones[index % zones.length]!;
}
