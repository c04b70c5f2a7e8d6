// The zones that the tasks of one job may go to: all one zone, spread over zones, or any.
import { fitsIn } from '../cluster/resources';
import { maxTasksPerZone, countUnfinishedIn } from '../jobs/assigned-usage';
import type { Job } from '../jobs/jobs';
import { type MachineBin, mayRunIn } from './machine-bin';

/** Free CPUs that count as one free GPU when zones are compared, so that CPUs only break ties. */
const CPUS_PER_GPU = 1000;

/** The zones that one job's tasks may go to, given the zones of its assigned tasks. */
export class ZoneChoice {
  readonly #taskCountByZone: Map<string, number>;
  /** The most tasks of a `spread` job in one zone. */
  readonly #cap: number;
  /** The zone of all tasks of a `oneZone` job; null: none is chosen, or the job is not `oneZone`. */
  #onlyZone: string | null;

  /** `bestZone` chooses the zone of a `oneZone` job that has no unfinished task in any zone. */
  constructor(
    readonly job: Job,
    bestZone: () => string | null,
  ) {
    this.#taskCountByZone = unfinishedCountByZone(job);
    this.#cap = maxTasksPerZone(job);
    this.#onlyZone = job.spec.oneZone ? ([...this.#taskCountByZone.keys()][0] ?? bestZone()) : null;
  }

  /** Whether one more task may go to the zone. */
  allows(zone: string): boolean {
    return (this.#onlyZone === null || zone === this.#onlyZone) && !this.#isFull(zone);
  }

  #isFull(zone: string): boolean {
    return this.job.spec.spread && (this.#taskCountByZone.get(zone) ?? 0) >= this.#cap;
  }

  /** Counts one more task in the zone of a machine; returns the zone that the task is bound to, null for any. */
  placeTask(machineZone: string): string | null {
    const zone = boundZone(this.job, machineZone);
    // `bestZone` finds no zone if the job fits in none without preemption: then the first placed task binds the rest.
    if (this.job.spec.oneZone) this.#onlyZone = zone;
    if (zone !== null) this.#taskCountByZone.set(zone, (this.#taskCountByZone.get(zone) ?? 0) + 1);
    return zone;
  }

  /** The zones that further tasks may go to; null: any. */
  openZones(zones: readonly string[]): readonly string[] | null {
    const only = this.#onlyZone ?? this.job.spec.zone;
    if (only !== null) return [only];
    return this.job.spec.spread ? zones.filter((zone) => !this.#isFull(zone)) : null;
  }
}

/** The zone that a task is bound to once it goes to a machine of `machineZone`; null: any. */
export function boundZone({ spec: { spread, oneZone, zone } }: Job, machineZone: string): string | null {
  return spread || oneZone ? machineZone : zone;
}

/**
 * How many unfinished tasks of the job are assigned to each zone. Finished tasks have left their machines; if they
 * counted, they would bind the rest of a `oneZone` job to a zone that may have lost its machines.
 */
function unfinishedCountByZone(job: Job): Map<string, number> {
  const countByZone = new Map<string, number>();
  for (const range of job.assignedRanges) {
    const count = countUnfinishedIn(job, range);
    if (range.zone !== null && count > 0) countByZone.set(range.zone, (countByZone.get(range.zone) ?? 0) + count);
  }
  return countByZone;
}

/** The zone with the most free GPUs on machines that fit the job; null: the job names no zone and fits in none. */
export function bestZone(job: Job, bins: readonly MachineBin[]): string | null {
  const freeByZone = new Map<string, number>();
  for (const bin of bins) {
    if (!mayRunIn(job, bin) || !fitsIn(job.need, bin.free)) continue;
    const { zone } = bin.machine;
    freeByZone.set(zone, (freeByZone.get(zone) ?? 0) + bin.free.gpus + bin.free.cpus / CPUS_PER_GPU);
  }
  let best: string | null = job.spec.zone;
  for (const [zone, free] of freeByZone) if (best === null || free > (freeByZone.get(best) ?? 0)) best = zone;
  return best;
}
