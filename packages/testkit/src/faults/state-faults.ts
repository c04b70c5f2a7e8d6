// Faults of the state service: outages, refused requests, late or lost answers, and short event histories.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';
import { type FaultOfKind, type FaultTable, noDurationMs, statedDurationMs } from './fault-table';

/** A fault of the state service. `node` is the index of a controller. */
export type StateFault =
  | { readonly kind: 'state outage'; readonly forMs: number }
  /** One controller's requests are refused with 503, so that its lease expires, or executed but their answers lost. */
  | {
      readonly kind: 'state refuses one';
      readonly node: number;
      readonly how: 'refuse' | 'lose answers';
      readonly forMs: number;
    }
  /** A share of the answers of the state service is lost, for reads and transactions alike. */
  | { readonly kind: 'state answers lost'; readonly share: number; readonly forMs: number }
  /** A share of the transactions gets no answer and is executed at once, or seconds later and after newer ones. */
  | { readonly kind: 'late writes'; readonly share: number; readonly atOnce: boolean; readonly forMs: number }
  /** The state service permanently lowers its limits to those that the settings announce. */
  | { readonly kind: 'state limits' }
  | { readonly kind: 'events forgotten' }
  | { readonly kind: 'slow state service'; readonly ms: number; readonly forMs: number }
  /** Transactions of one controller get no answer and are never executed; its other requests are served. */
  | { readonly kind: 'writes unanswered'; readonly node: number; readonly forMs: number }
  /** Renewals of one controller's store lease are refused, so that it expires. */
  | { readonly kind: 'renewals refused'; readonly node: number; readonly forMs: number }
  /** One controller's reads are answered late, with the state at the time of the request. */
  | { readonly kind: 'slow reads'; readonly node: number; readonly ms: number; readonly forMs: number }
  /** Watches return only the last change of each key, in any order; few events are kept, and list pages are small. */
  | {
      readonly kind: 'unhelpful reads';
      readonly keptEvents: number;
      readonly pageItems: number;
      readonly forMs: number;
    };

/** The maximum delay of a transaction that is executed late. */
const LATE_WRITE_MS = 12_000;

/** Faults of the state service by kind. */
export const STATE_FAULTS: FaultTable<StateFault> = {
  'state outage': {
    inject: ({ sim, state }, { forMs }) => {
      state.setOutage(true);
      sim.after(forMs, () => state.setOutage(false));
    },
    durationMs: statedDurationMs,
  },
  'state refuses one': { inject: refuseOne, durationMs: statedDurationMs },
  'state answers lost': {
    inject: ({ sim, network }, { share, forMs }) => {
      network.lostAnswerShareByHost.set('state:1', share);
      sim.after(forMs, () => network.lostAnswerShareByHost.delete('state:1'));
    },
    durationMs: statedDurationMs,
  },
  'late writes': {
    inject: ({ sim, state }, fault) => {
      state.unanswered = fault;
      sim.after(fault.forMs, () => {
        state.unanswered = null;
      });
    },
    durationMs: ({ forMs }) => forMs + LATE_WRITE_MS,
  },
  'state limits': {
    inject: ({ state, options }) => {
      state.limits = options.nextLimits ?? null;
    },
    durationMs: noDurationMs,
  },
  'events forgotten': { inject: ({ state }) => state.dropEvents(), durationMs: noDurationMs },
  'slow state service': {
    inject: ({ sim, network }, { ms, forMs }) => {
      const heal = network.slow((from, to) => from === 'state:1' || to === 'state:1', ms);
      sim.after(forMs, heal);
    },
    durationMs: statedDurationMs,
  },
  'writes unanswered': {
    inject: ({ state }, { node, forMs }, targets) =>
      targets.addTemporarily(state.transactionsLostFrom, targets.node(node), forMs),
    durationMs: statedDurationMs,
  },
  'renewals refused': {
    inject: ({ state }, { node, forMs }, targets) => targets.addTemporarily(state.unrenewed, targets.node(node), forMs),
    durationMs: statedDurationMs,
  },
  'slow reads': {
    inject: ({ sim, state }, { node, ms, forMs }, targets) => {
      const name = targets.node(node);
      state.slowReadsOf.set(name, ms);
      sim.after(forMs, () => state.slowReadsOf.delete(name));
    },
    durationMs: statedDurationMs,
  },
  'unhelpful reads': {
    inject: ({ sim, state }, fault) => {
      state.staleReads = fault;
      sim.after(fault.forMs, () => {
        state.staleReads = null;
      });
    },
    durationMs: statedDurationMs,
  },
};

function refuseOne(
  { sim, state }: World,
  { node, how, forMs }: FaultOfKind<StateFault, 'state refuses one'>,
  targets: FaultTargets,
): void {
  const name = targets.node(node);
  if (how === 'lose answers') {
    targets.cutRoutes([['state:1', name]], 'lose', forMs);
    return;
  }
  state.refusedControllers.add(name);
  sim.after(forMs, () => state.refusedControllers.delete(name));
}
