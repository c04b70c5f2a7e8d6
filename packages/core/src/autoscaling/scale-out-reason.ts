// Why a machine is rented, for the log.
import type { ScaleOutChoice, ScaleOutCost } from './scale-out-choice';

/** Why a machine is rented: its purpose, and the costs of the chosen option and of the next best one. */
export interface ScaleOutReason {
  readonly for: 'suspect machine' | 'waiting task' | 'spare room';
  readonly chosen: ScaleOutFigures;
  /** The best option of another type or kind; null if there is none. */
  readonly nextBest: (ScaleOutFigures & { readonly type: string; readonly spot: boolean }) | null;
}

/** The rounded costs of an option; see `ScaleOutCost`. */
interface ScaleOutFigures {
  readonly startMs: number;
  readonly costRatio: number;
  readonly cost: number;
}

/** Returns the reason for a choice. */
export function reasonOf(purpose: ScaleOutReason['for'], { chosen, nextBest }: ScaleOutChoice): ScaleOutReason {
  return { for: purpose, chosen: figuresOf(chosen), nextBest: nextBest === null ? null : describe(nextBest) };
}

function describe(cost: ScaleOutCost): NonNullable<ScaleOutReason['nextBest']> {
  const { type, spot } = cost.option;
  return { type: type.name, spot, ...figuresOf(cost) };
}

function figuresOf({ startMs, costRatio, cost }: ScaleOutCost): ScaleOutFigures {
  return { startMs: Math.round(startMs), costRatio: toHundredths(costRatio), cost: toHundredths(cost) };
}

function toHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
