// Counts the steps of a calculation, for tests of how its cost grows with its input.

/** Counts steps, and throws once there are more than allowed: a test then fails instead of running without an end. */
export class StepCounter {
  steps = 0;

  constructor(readonly maxSteps: number) {}

  /** Counts one step. */
  count(): void {
    if (++this.steps > this.maxSteps) throw new Error(`more than ${this.maxSteps} steps`);
  }

  /** Makes each look-up in the map a step. */
  countLookups<Key, Value>(map: Map<Key, Value>): void {
    const get = map.get.bind(map);
    map.get = (key) => {
      this.count();
      return get(key);
    };
  }

  /** Returns the same object, each read of whose properties is a step. */
  countReads<Target extends object>(target: Target): Target {
    return new Proxy(target, {
      get: (object, property) => {
        this.count();
        return Reflect.get(object, property) as unknown;
      },
    });
  }
}
