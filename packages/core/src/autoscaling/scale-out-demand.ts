// Demands for which machines are rented: identical tasks, or resources that may be split into any parts.
import { NO_RESOURCES, type Resources } from '../cluster/resources';
import type { Job } from '../jobs/jobs';

/** A number of identical tasks that need machines. */
export interface ScaleOutDemand {
  /** Resources that each task needs. */
  readonly need: Resources;
  readonly count: number;
  readonly imageGb: number;
  /** Machine types that they may run on; null if any. */
  readonly types: readonly string[] | null;
  /** Whether they may run on spot machines. */
  readonly spot: boolean;
  /** Expected run time of each task, in milliseconds; 0 if unknown or if the task belongs to a service. */
  readonly runMs: number;
}

/** The demand of `count` tasks of a job. */
export function demandOf({ spec, need }: Job, count: number): ScaleOutDemand {
  const { imageGb, types, spot, estimateS } = spec;
  return { need, count, imageGb, types, spot, runMs: estimateS * 1000 };
}

/** The demand for spare GPUs on ordinary machines for new services. */
export function spareDemand(gpus: number): ScaleOutDemand {
  return unitDemand({ ...NO_RESOURCES, gpus: Math.max(0, gpus) }, false);
}

/** A demand that may be split over machines: units of one GPU or, if no GPU is needed, of one CPU. */
export function unitDemand({ cpus, gpus }: Resources, spot: boolean): ScaleOutDemand {
  const need = gpus > 0 ? { ...NO_RESOURCES, gpus: 1 } : { ...NO_RESOURCES, cpus: 1 };
  return { need, count: Math.ceil(gpus > 0 ? gpus : cpus), imageGb: 0, types: null, spot, runMs: 0 };
}
