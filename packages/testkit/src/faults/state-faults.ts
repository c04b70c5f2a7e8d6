// Troubles of the state service.
import type { FaultTargets } from './fault-targets';
import type { World } from '../simulation/world';

export type StateFault =
  | { readonly kind: 'state outage'; readonly forMs: number }
  /** It refuses one controller with 503, whose lease runs out; or carries out what that asks and the answers are lost. */
  | {
      readonly kind: 'state refuses one';
      readonly node: number;
      readonly how: 'refuse' | 'lose answers';
      readonly forMs: number;
    }
  /** Answers of the state service are lost, to reads and transactions alike. */
  | { readonly kind: 'state answers lost'; readonly share: number; readonly forMs: number }
  /** Transactions get no answer, and are carried out at once or seconds later, after newer ones. */
  | { readonly kind: 'late writes'; readonly share: number; readonly atOnce: boolean; readonly forMs: number }
  /** The state service lowers its limits to those that the settings announce, for good. */
  | { readonly kind: 'state limits' }
  | { readonly kind: 'events forgotten' }
  | { readonly kind: 'slow state service'; readonly ms: number; readonly forMs: number }
  /** Transactions of one controller get no answer and are never carried out; all else of it is served. */
  | { readonly kind: 'writes unanswered'; readonly node: number; readonly forMs: number }
  /** The renewals of one controller's state lease are refused: the lease ends. */
  | { readonly kind: 'renewals refused'; readonly node: number; readonly forMs: number }
  /** One controller's reads of the state service are answered late, with what stood there when they were asked. */
  | { readonly kind: 'slow reads'; readonly node: number; readonly ms: number; readonly forMs: number }
  /** Changes come in any order and the last of each key only; few are kept, and lists have many pages. */
  | {
      readonly kind: 'unhelpful reads';
      readonly keptEvents: number;
      readonly pageItems: number;
      readonly forMs: number;
    };

const KINDS: ReadonlySet<string> = new Set([
  'state outage',
  'state refuses one',
  'state answers lost',
  'late writes',
  'state limits',
  'events forgotten',
  'slow state service',
  'writes unanswered',
  'renewals refused',
  'slow reads',
  'unhelpful reads',
]);

export function isStateFault(fault: { readonly kind: string }): fault is StateFault {
  return KINDS.has(fault.kind);
}

export function injectStateFault(world: World, fault: StateFault, targets: FaultTargets): void {
  const { sim, network, state } = world;
  switch (fault.kind) {
    case 'state outage':
      state.setOutage(true);
      sim.after(fault.forMs, () => state.setOutage(false));
      return;
    case 'state refuses one': {
      const name = targets.node(fault.node);
      if (fault.how === 'lose answers') {
        targets.during([['state:1', name]], 'lose', fault.forMs);
        return;
      }
      state.refused.add(name);
      sim.after(fault.forMs, () => state.refused.delete(name));
      return;
    }
    case 'state answers lost':
      network.lostAnswersOf.set('state:1', fault.share);
      sim.after(fault.forMs, () => network.lostAnswersOf.delete('state:1'));
      return;
    case 'late writes':
      state.unanswered = fault;
      sim.after(fault.forMs, () => {
        state.unanswered = null;
      });
      return;
    case 'state limits':
      state.limits = world.options.nextLimits ?? null;
      return;
    case 'events forgotten':
      state.forgetEvents();
      return;
    case 'slow state service':
      sim.after(
        fault.forMs,
        network.slow((from, to) => from === 'state:1' || to === 'state:1', fault.ms),
      );
      return;
    case 'writes unanswered':
      targets.forSome(state.unansweredFrom, targets.node(fault.node), fault.forMs);
      return;
    case 'renewals refused':
      targets.forSome(state.unrenewed, targets.node(fault.node), fault.forMs);
      return;
    case 'slow reads': {
      const name = targets.node(fault.node);
      state.slowReadsOf.set(name, fault.ms);
      sim.after(fault.forMs, () => state.slowReadsOf.delete(name));
      return;
    }
    case 'unhelpful reads':
      state.staleReads = fault;
      sim.after(fault.forMs, () => {
        state.staleReads = null;
      });
      return;
  }
}
