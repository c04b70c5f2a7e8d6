// Types of fault tables. A table maps each fault kind of one area to its effect on a simulated deployment and its
// duration; its type requires an entry for each kind.
import type { World } from '../simulation/world';
import type { FaultTargets } from './fault-targets';

/** The field common to all faults; recorded scenarios contain the kind. */
export interface FaultBase {
  readonly kind: string;
}

/** The member of the union `F` that has the kind `K`. */
export type FaultOfKind<F extends FaultBase, K extends F['kind']> = Extract<F, { readonly kind: K }>;

/** Injects one kind of fault and computes its duration. */
export interface FaultHandler<F extends FaultBase> {
  /** Starts the fault now and schedules its end. */
  inject(world: World, fault: F, targets: FaultTargets): void;
  /** The duration including delayed effects, in milliseconds; it may depend on the number of controllers. */
  durationMs(fault: F, controllerCount: number): number;
}

/** The handlers of all kinds of the union `F`. */
export type FaultTable<F extends FaultBase> = {
  readonly [K in F['kind']]: FaultHandler<FaultOfKind<F, K>>;
};

/** The duration of a fault that lasts for its `forMs` and has no delayed effects. */
export function statedDurationMs({ forMs }: { readonly forMs: number }): number {
  return forMs;
}

/** The duration of a fault that ends immediately. */
export function noDurationMs(): number {
  return 0;
}
