// Arithmetic on the resources of machines and tasks.

/** Amounts of all resources. */
export interface Resources {
  /** CPU cores; may be a fraction. */
  readonly cpus: number;
  /** Accelerators. */
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** Tolerance for comparing sums of decimal amounts. */
export const EPSILON = 1e-6;

/** Whether `available` covers `need` for each resource. */
export function fitsIn(need: Resources, available: Resources): boolean {
  return (
    need.cpus <= available.cpus + EPSILON &&
    need.gpus <= available.gpus + EPSILON &&
    need.memoryGb <= available.memoryGb + EPSILON
  );
}

/** Returns `a` plus `count` times `b`. */
export function addResources(a: Resources, b: Resources, count = 1): Resources {
  return { cpus: a.cpus + b.cpus * count, gpus: a.gpus + b.gpus * count, memoryGb: a.memoryGb + b.memoryGb * count };
}

/** Returns `a` minus `count` times `b`; amounts may be negative. */
export function subtractResources(a: Resources, b: Resources, count = 1): Resources {
  return { cpus: a.cpus - b.cpus * count, gpus: a.gpus - b.gpus * count, memoryGb: a.memoryGb - b.memoryGb * count };
}

/** The smaller amount of each resource. */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    cpus: Math.min(a.cpus, b.cpus),
    gpus: Math.min(a.gpus, b.gpus),
    memoryGb: Math.min(a.memoryGb, b.memoryGb),
  };
}

/** How many times `need` fits into `available`; Infinity if `need` is zero. */
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

/**
 * How many times `need` of one resource fits into `available`; negative if `available` is negative, Infinity if `need`
 * is zero.
 */
export function countFittingAmount(need: number, available: number): number {
  return need <= 0 ? Infinity : Math.floor((available + EPSILON) / need);
}
