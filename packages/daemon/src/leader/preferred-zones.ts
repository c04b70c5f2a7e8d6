// Chooses the zone to scale out in for a replica group that must run in one zone and does not fit in any zone now.
import type { GroupChoice, Job } from '@gingerlock/core';
import type { JobSpec } from '@gingerlock/wire';

/** Chooses machines for a group in the given zones. */
export type ChooseInZones = (zones: readonly string[]) => GroupChoice;

/** Keeps a group's zone until the cloud lacks capacity there; otherwise, each zone would be scaled out in turn. */
export class PreferredZones {
  /** By job id: the zone chosen for its group, until the group can be placed. */
  readonly #zoneByJob = new Map<string, string>();

  constructor(readonly lacksCapacityFor: (job: JobSpec, zone: string) => boolean) {}

  /** The zone for the job: the one in its spec, else the one chosen before, else the one that fits most members. */
  zoneFor(job: Job, zones: readonly string[], chooseIn: ChooseInZones): string {
    const { spec } = job;
    if (spec.zone !== null) return spec.zone;
    const known = this.#zoneByJob.get(job.id);
    if (known !== undefined && !this.lacksCapacityFor(spec, known)) return known;
    const withCapacity = zones.filter((zone) => !this.lacksCapacityFor(spec, zone));
    const candidates = withCapacity.length > 0 ? withCapacity : zones;
    const best = candidates.reduce((a, b) => (chooseIn([b]).missing < chooseIn([a]).missing ? b : a));
    this.#zoneByJob.set(job.id, best);
    return best;
  }

  /** Forgets the zone of a group that fits now. The next time that it does not fit, a new zone is chosen. */
  forget(job: Job): void {
    this.#zoneByJob.delete(job.id);
  }
}
