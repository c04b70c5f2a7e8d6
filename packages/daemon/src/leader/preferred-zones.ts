// In which zone machines are demanded for a replica group that is to be in one zone and fits none now.
import type { GroupChoice, Job } from '@gingerlock/core';
import type { JobSpec } from '@gingerlock/wire';

/** The machines for a group in the given zones. */
export type ChooseInZones = (zones: readonly string[]) => GroupChoice;

/**
 * Keeps to a zone until the cloud lacks capacity there: machines would be scaled out in each zone by turns otherwise.
 */
export class PreferredZones {
  /** By job: the zone that was chosen, until its group is placed. */
  readonly #zoneByJob = new Map<string, string>();

  constructor(readonly lacksCapacityFor: (job: JobSpec, zone: string) => boolean) {}

  /** The zone for the job among `zones`: its own, the one that was chosen before, or the one that lacks the least. */
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

  /** The group fits: the next time that it does not, a zone is chosen anew. */
  forget(job: Job): void {
    this.#zoneByJob.delete(job.id);
  }
}
