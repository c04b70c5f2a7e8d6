// Types and helpers of mutants: code that one test breaks on purpose.
import type { Fault, World, WorldOptions } from '../../src/index';

/** Replaces a method; returns a function that restores it. */
export function patch<T extends object, K extends keyof T>(
  target: T,
  name: K,
  make: (original: T[K]) => T[K],
): () => void {
  const descriptor = Object.getOwnPropertyDescriptor(target, name)!;
  Object.defineProperty(target, name, { ...descriptor, value: make(target[name]) });
  return () => Object.defineProperty(target, name, descriptor);
}

/** A way to break the code, and the scenarios that detect it. */
export interface Mutant {
  /** Completes the test name "the check of INVARIANT fails when ...". */
  readonly broken: string;
  readonly apply: (world: () => World) => () => void;
  /** Faults that its scenarios need, besides machines whose messages are lost for a while. */
  readonly faults?: readonly Fault[];
  /** Length of its scenarios; 90 s if absent. */
  readonly forMs?: number;
  /** Options of its worlds; defaults if absent. */
  readonly options?: Partial<WorldOptions>;
}
