// Stand-ins for users who submit pipelines: jobs that await each other and sometimes a job accepted earlier.
import type { JobSpec } from '@gingerlock/wire';
import type { Sim } from '../simulation/sim';
import { seeded } from '../simulation/sim';
import type { SimUsers } from './users';

/** The parts of the deployment that pipeline users use. */
export interface PipelineWorld {
  readonly sim: Sim;
  readonly users: SimUsers;
  randomJob(): JobSpec;
}

/** How often a user checks whether the jobs that the next job awaits allow its submission. */
const POLL_INTERVAL_MS = 200;

/** The smallest and largest number of jobs in a pipeline. */
const JOB_COUNT = { least: 2, most: 5 };

/** The probabilities of the random decisions of pipeline users. */
const PROBABILITY = { edge: 0.6, earlier: 0.3, last: 0.15, cancelled: 0.3 };

/** A user of one pipeline. It has its own random numbers, so that it does not change other arrivals. */
export class PipelineUser {
  readonly #random: () => number;

  constructor(
    readonly world: PipelineWorld,
    seed: number,
  ) {
    this.#random = seeded(seed);
  }

  /** Submits a pipeline, each job once those that it awaits are accepted; some last jobs wait until those are over. */
  start(): void {
    const { least, most } = JOB_COUNT;
    const count = least + Math.floor(this.#random() * (most - least + 1));
    const cancelled = this.#chance(PROBABILITY.cancelled) ? Math.floor(this.#random() * count) : -1;
    const stages: JobSpec[] = [];
    for (let i = 0; i < count; i++) {
      const isLast = i === count - 1;
      const spec = this.#stage(stages, isLast);
      stages.push(spec);
      const cancelAfterMs = i === cancelled ? this.#random() * 15_000 : null;
      const afterCompletion = isLast && this.#chance(PROBABILITY.last);
      void this.#submit(spec, afterCompletion, cancelAfterMs);
    }
  }

  #chance(share: number): boolean {
    return this.#random() < share;
  }

  #stage(earlierStages: readonly JobSpec[], isLast: boolean): JobSpec {
    const awaits = earlierStages.filter(() => this.#chance(PROBABILITY.edge)).map((spec) => spec.id);
    // Each job except the first awaits another, so that the pipeline is connected.
    if (awaits.length === 0 && earlierStages.length > 0) awaits.push(earlierStages.at(-1)!.id);
    if (this.#chance(PROBABILITY.earlier)) {
      const acceptedJobs = [...this.world.users.observedByJob.values()].filter(
        ({ accepted, spec }) => accepted && spec.kind === 'array',
      );
      const chosen = acceptedJobs[Math.floor(this.#random() * acceptedJobs.length)];
      if (chosen !== undefined && !awaits.includes(chosen.spec.id)) awaits.push(chosen.spec.id);
    }
    return {
      ...this.world.randomJob(),
      kind: 'array',
      priority: isLast ? 'high' : 'low',
      deadlineS: isLast ? 60 : null,
      tasks: 1 + Math.floor(this.#random() * 3),
      estimateS: 1 + this.#random() * 3,
      spot: true,
      spread: false,
      oneZone: false,
      zone: null,
      awaits,
    };
  }

  async #submit(spec: JobSpec, afterCompletion: boolean, cancelAfterMs: number | null): Promise<void> {
    const { users, sim } = this.world;
    const allowsSubmission = (id: string): boolean => {
      const observed = users.observedByJob.get(id);
      return observed?.accepted === true && (!afterCompletion || observed.final !== null);
    };
    while (!spec.awaits.every(allowsSubmission)) {
      await new Promise<void>((resolve) => {
        sim.after(POLL_INTERVAL_MS, resolve);
      });
    }
    await users.submitAndFollow(spec, cancelAfterMs);
  }
}
