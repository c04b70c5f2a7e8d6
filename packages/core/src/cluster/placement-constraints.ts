// Which machines a job may run on, and which jobs can never run.
import type { JobSpec, MachineType } from '@gingerlock/wire';
import { type ClusterConfig } from './cluster-config';
import { fitsIn, NO_RESOURCES } from './resources';
import { countWithinLimit } from './quota';

export function allowsMachine(job: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (job.types === null || job.types.includes(type)) && (job.zone === null || job.zone === zone) && (!spot || job.spot)
  );
}

/** Why a job can never run, or null if it can. */
export function unschedulableReason(
  job: JobSpec,
  clusterConfig: ClusterConfig,
  types: readonly MachineType[],
): string | null {
  const team = clusterConfig.teams.get(job.team);
  if (team === undefined) return `unknown team ${job.team}`;
  const fitting = types.filter(
    (t) =>
      (job.types === null || job.types.includes(t.name)) &&
      (job.zone === null || t.zones.includes(job.zone)) &&
      fitsIn(job, t),
  );
  if (fitting.length === 0) return 'a task fits no allowed machine type';
  const atOnce = job.kind === 'service' ? job.tasks : 1;
  if (countWithinLimit(team, NO_RESOURCES, job) < atOnce) return `needs more than the limit of team ${job.team}`;
  if (job.spread && job.tasks > 1 && (job.oneZone || job.zone !== null)) {
    return 'tasks can not be both in one zone and spread over zones';
  }
  return null;
}
