// What breaks the code on purpose for one test.
import type { Fault, World, WorldOptions } from '../../src/index';

/** Replaces a method for one test; returns what puts it back. */
export function patch<T extends object, K extends keyof T>(
  target: T,
  name: K,
  make: (original: T[K]) => T[K],
): () => void {
  const descriptor = Object.getOwnPropertyDescriptor(target, name)!;
  Object.defineProperty(target, name, { ...descriptor, value: make(target[name]) });
  return () => Object.defineProperty(target, name, descriptor);
}

/** A way to break the code, and the scenarios in which that shows. */
export interface Mutant {
  readonly broken: string;
  readonly apply: (world: () => World) => () => void;
  /** Faults in which it shows, beside machines that can't be heard for a while. */
  readonly faults?: readonly Fault[];
  /** How long its scenarios are, if not as long as most. */
  readonly forMs?: number;
  /** What its scenarios need otherwise. */
  readonly options?: Partial<WorldOptions>;
}
