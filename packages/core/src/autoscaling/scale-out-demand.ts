// What machines are rented for: tasks that are all alike, or resources that may be had in any pieces.
import type { JobSpec } from '@gingerlock/wire';
import { NO_RESOURCES, type Resources } from '../cluster/resources';

/** Tasks, all alike, that need machines. */
export interface ScaleOutDemand {
  /** What each task needs. */
  readonly need: Resources;
  readonly count: number;
  readonly imageGb: number;
  /** Machine types that they may run on; null: any. */
  readonly types: readonly string[] | null;
  /** Whether they may run on spot machines. */
  readonly spot: boolean;
  /** How long each is expected to run, in milliseconds; 0: not known, or for as long as its service does. */
  readonly runMs: number;
}

/** So many tasks of a job. */
export function demandOf(spec: JobSpec, count: number): ScaleOutDemand {
  const { imageGb, types, spot, estimateS } = spec;
  return { need: spec, count, imageGb, types, spot, runMs: estimateS * 1000 };
}

/** Spare capacity on ordinary machines for services that are to come: it is counted in GPUs. */
export function spareDemand(gpus: number): ScaleOutDemand {
  return unitDemand({ ...NO_RESOURCES, gpus: Math.max(0, gpus) }, false);
}

/** Resources that may be had in any pieces: one GPU each or, where none is needed, one CPU. */
export function unitDemand({ cpus, gpus }: Resources, spot: boolean): ScaleOutDemand {
  const need = gpus > 0 ? { ...NO_RESOURCES, gpus: 1 } : { ...NO_RESOURCES, cpus: 1 };
  return { need, count: Math.ceil(gpus > 0 ? gpus : cpus), imageGb: 0, types: null, spot, runMs: 0 };
}
