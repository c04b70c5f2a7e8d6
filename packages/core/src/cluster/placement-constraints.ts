// Which machines a job may run on, and which jobs can never run.
import type { JobSpec, MachineType } from '@gingerlock/wire';
import type { ClusterConfig } from './cluster-config';
import { countWithinLimit } from './quota';
import { capacityOf, fitsIn, needOf, NO_RESOURCES } from './resources';

/** Whether the job may run on machines of the type and kind in the zone, regardless of their free resources. */
export function allowsMachine(job: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return allowsType(job, type) && (job.zone === null || job.zone === zone) && (!spot || job.spot);
}

/** Whether the tasks may run on machines of the type; a null `types` allows all. */
export function allowsType({ types }: Pick<JobSpec, 'types'>, type: string): boolean {
  return types === null || types.includes(type);
}

/** The error text, sent to users, that says why a job can never run; null if it can run. */
export function unschedulableReason(
  job: JobSpec,
  clusterConfig: ClusterConfig,
  types: readonly MachineType[],
): string | null {
  const team = clusterConfig.teams.get(job.team);
  if (team === undefined) return `unknown team ${job.team}`;
  if (!types.some((type) => couldRunOn(job, type))) return 'a task fits no allowed machine type';
  const tasksAtOnce = job.kind === 'service' ? job.tasks : 1;
  if (countWithinLimit(team, NO_RESOURCES, needOf(job)) < tasksAtOnce)
    return `needs more than the limit of team ${job.team}`;
  if (job.spread && job.tasks > 1 && (job.oneZone || job.zone !== null))
    return 'tasks can not be both in one zone and spread over zones';
  return null;
}

function couldRunOn(job: JobSpec, type: MachineType): boolean {
  const isAllowed = allowsType(job, type.name) && (job.zone === null || type.zones.includes(job.zone));
  return isAllowed && fitsIn(needOf(job), capacityOf(type));
}
