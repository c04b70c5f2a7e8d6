// Arithmetic on the resources of machines and tasks.

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Sums of decimal amounts are compared with this much slack. */
export const EPSILON = 1e-6;

export function fitsIn(need: Resources, available: Resources): boolean {
  return (
    need.cpus <= available.cpus + EPSILON &&
    need.gpus <= available.gpus + EPSILON &&
    need.memoryGb <= available.memoryGb + EPSILON
  );
}

export function addResources(a: Resources, b: Resources, factor = 1): Resources {
  return { cpus: a.cpus + b.cpus * factor, gpus: a.gpus + b.gpus * factor, memoryGb: a.memoryGb + b.memoryGb * factor };
}

export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** How many times `need` goes into `room`. */
export function countFitting(need: Resources, available: Resources): number {
  const ratio = (n: number, r: number): number => (n <= 0 ? Infinity : Math.floor((r + EPSILON) / n));
  return Math.max(
    0,
    Math.min(
      ratio(need.cpus, available.cpus),
      ratio(need.gpus, available.gpus),
      ratio(need.memoryGb, available.memoryGb),
    ),
  );
}

/** What is left of `a` without `count` times `b`. */
export function subtractResources(a: Resources, b: Resources, count = 1): Resources {
  return { cpus: a.cpus - b.cpus * count, gpus: a.gpus - b.gpus * count, memoryGb: a.memoryGb - b.memoryGb * count };
}

/** Of each kind the lesser amount. */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    cpus: Math.min(a.cpus, b.cpus),
    gpus: Math.min(a.gpus, b.gpus),
    memoryGb: Math.min(a.memoryGb, b.memoryGb),
  };
}
