// Arithmetic on the resources of machines and tasks.

/** An amount of each kind of resource. */
export interface Resources {
  /** Cores; may be a fraction. */
  readonly cpus: number;
  /** Accelerators. */
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Nothing of any kind. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** Sums of decimal amounts are compared with this much slack. */
export const EPSILON = 1e-6;

/** Whether `need` is covered by `available`, kind by kind. */
export function fitsIn(need: Resources, available: Resources): boolean {
  return (
    need.cpus <= available.cpus + EPSILON &&
    need.gpus <= available.gpus + EPSILON &&
    need.memoryGb <= available.memoryGb + EPSILON
  );
}

/** `a` and `count` times `b`. */
export function addResources(a: Resources, b: Resources, count = 1): Resources {
  return { cpus: a.cpus + b.cpus * count, gpus: a.gpus + b.gpus * count, memoryGb: a.memoryGb + b.memoryGb * count };
}

/** What is left of `a` without `count` times `b`; may be below zero. */
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

/** How many times `need` goes into `available`; Infinity: it needs nothing. */
export function countFitting(need: Resources, available: Resources): number {
  return Math.max(
    0,
    Math.min(
      countFittingAmount(need.cpus, available.cpus),
      countFittingAmount(need.gpus, available.gpus),
      countFittingAmount(need.memoryGb, available.memoryGb),
    ),
  );
}

/** How many times an amount of one kind goes into another, below zero if that is; Infinity: nothing is needed. */
export function countFittingAmount(need: number, available: number): number {
  return need <= 0 ? Infinity : Math.floor((available + EPSILON) / need);
}
