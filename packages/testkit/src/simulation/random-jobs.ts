// Draws the random jobs that users of a simulated deployment submit.
import type { JobSpec } from '@gingerlock/wire';
import type { Deployment } from './deployment';
import type { Sim } from './sim';
import { TEAMS } from './world-options';

/** Draws jobs from the random numbers of a simulation. */
export class RandomJobs {
  #count = 0;

  /** `common` has the fields that are the same in all jobs. */
  constructor(
    readonly sim: Sim,
    readonly deployment: Deployment,
    readonly common: Partial<JobSpec>,
  ) {}

  #pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.sim.random() * values.length)]!;
  }

  /** Draws a machine type and a zone that has it; null stands for any. */
  #place(spread: boolean): Pick<JobSpec, 'types' | 'zone'> {
    const type = this.#pick([null, ...this.deployment.types]);
    const zones = type?.zones ?? this.deployment.zones;
    return {
      types: type === null ? null : [type.name],
      zone: !spread && this.sim.random() < 0.2 ? this.#pick(zones) : null,
    };
  }

  /** Draws the next job. Reordering the fields would change the jobs drawn for a seed. */
  next(): JobSpec {
    const kind = this.#pick(['array', 'array', 'service'] as const);
    const spread = this.sim.random() < 0.4;
    const oneZone = !spread && this.sim.random() < 0.3;
    return {
      id: `j-${String(++this.#count).padStart(6, '0')}`,
      jobClass: kind,
      team: this.#pick(TEAMS),
      kind,
      priority: kind === 'service' ? this.#pick(['production', 'high']) : this.#pick(['normal', 'low']),
      tasks: 1 + Math.floor(this.sim.random() * 5),
      cpus: 2,
      gpus: this.#pick([1, 1, 2]),
      memoryGb: 8,
      image: this.#pick(['img-1', 'img-2', 'img-3']),
      imageGb: 30,
      ...this.#place(spread),
      oneZone,
      spread,
      spot: kind === 'array',
      estimateS: kind === 'array' ? 1 + this.sim.random() * 6 : 0,
      checkpointS: 0,
      saveS: 0,
      deadlineS: null,
      awaits: [],
      ...this.common,
    };
  }
}
