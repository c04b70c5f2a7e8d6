// How a kind of fault is described: what it does to a simulated deployment and how long that lasts. The faults of a
// concern form a table by kind, whose type demands a row for each kind.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';

/** What all faults have: the kind that recorded scenarios name. */
export interface FaultBase {
  readonly kind: string;
}

/** The member of the union `F` that has the kind `K`. */
export type FaultOfKind<F extends FaultBase, K extends F['kind']> = Extract<F, { readonly kind: K }>;

/** What is known of one kind of fault. */
export interface FaultHandler<F extends FaultBase> {
  /** Begins the fault now, and schedules its end. */
  inject(world: World, fault: F, targets: FaultTargets): void;
  /** How long the fault lasts, what it leaves under way included, in a deployment of so many controllers. */
  durationMs(fault: F, controllerCount: number): number;
}

/** The handlers of all kinds of the union `F`. */
export type FaultTable<F extends FaultBase> = {
  readonly [K in F['kind']]: FaultHandler<FaultOfKind<F, K>>;
};

/** The duration of a fault that says itself how long it lasts and leaves nothing under way. */
export function statedDurationMs({ forMs }: { readonly forMs: number }): number {
  return forMs;
}

/** The duration of a fault that is over at once. */
export function noDurationMs(): number {
  return 0;
}
