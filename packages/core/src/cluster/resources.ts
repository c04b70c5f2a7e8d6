// Arithmetic on the resources of machines and tasks.
import { type JobSpec, type MachineType, MAX_REPORTED_TASKS_BYTES, reportedTaskBytesOf } from '@gingerlock/wire';

/** Amounts of all resources. */
export interface Resources {
  /** CPU cores; may be a fraction. */
  readonly cpus: number;
  /** Accelerators. */
  readonly gpus: number;
  readonly memoryGb: number;
  /**
   * Bytes in the report of the machine's worker, which lists each task from its start until the worker has forgotten it.
   * On machines with very small tasks they run out before the other resources.
   */
  readonly reportBytes: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0, reportBytes: 0 };

/** Tolerance for comparing sums of decimal amounts. */
export const EPSILON = 1e-6;

/** What each task of the job takes of its machine. */
export function needOf({ id, cpus, gpus, memoryGb }: JobSpec): Resources {
  return { cpus, gpus, memoryGb, reportBytes: reportedTaskBytesOf(id) };
}

/** The resources of an empty machine of the type. */
export function capacityOf({ cpus, gpus, memoryGb }: Pick<MachineType, 'cpus' | 'gpus' | 'memoryGb'>): Resources {
  return { cpus, gpus, memoryGb, reportBytes: MAX_REPORTED_TASKS_BYTES };
}

/** Whether `available` covers `need` for each resource. */
export function fitsIn(need: Resources, available: Resources): boolean {
  return (
    need.cpus <= available.cpus + EPSILON &&
    need.gpus <= available.gpus + EPSILON &&
    need.memoryGb <= available.memoryGb + EPSILON &&
    need.reportBytes <= available.reportBytes
  );
}

/** Returns `a` plus `count` times `b`. */
export function addResources(a: Resources, b: Resources, count = 1): Resources {
  return {
    cpus: a.cpus + b.cpus * count,
    gpus: a.gpus + b.gpus * count,
    memoryGb: a.memoryGb + b.memoryGb * count,
    reportBytes: a.reportBytes + b.reportBytes * count,
  };
}

/** Returns `a` minus `count` times `b`; amounts may be negative. */
export function subtractResources(a: Resources, b: Resources, count = 1): Resources {
  return addResources(a, b, -count);
}

/** The smaller amount of each resource. */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    cpus: Math.min(a.cpus, b.cpus),
    gpus: Math.min(a.gpus, b.gpus),
    memoryGb: Math.min(a.memoryGb, b.memoryGb),
    reportBytes: Math.min(a.reportBytes, b.reportBytes),
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
      countFittingAmount(need.reportBytes, available.reportBytes),
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
