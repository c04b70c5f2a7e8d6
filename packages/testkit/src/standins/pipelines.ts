// Stand-ins of users who submit pipelines: jobs that await each other, and some that were accepted long before.
import type { JobSpec } from '@gingerlock/wire';
import type { Sim } from '../simulation/sim';
import { seeded } from '../simulation/sim';
import type { SimUsers } from './users';

/** What users of pipelines need of the deployment. */
export interface PipelineWorld {
  readonly sim: Sim;
  readonly users: SimUsers;
  randomJob(): JobSpec;
}

/** How often a user looks whether the jobs that the next one needs have been accepted. */
const LOOK_MS = 200;

/** Jobs of a pipeline at the least and at the most. */
const STAGES = { least: 2, most: 5 };

/** What the users of pipelines decide, each as a probability. */
const CHANCE = { edge: 0.6, earlier: 0.3, last: 0.15, cancelled: 0.3 };

/** A user of one pipeline, with random numbers of its own, so that other arrivals stay as they are. */
export class PipelineUser {
  readonly #random: () => number;

  constructor(
    readonly world: PipelineWorld,
    seed: number,
  ) {
    this.#random = seeded(seed);
  }

  /** Submits a pipeline, each job as soon as those that it needs are accepted. */
  start(): void {
    const { least, most } = STAGES;
    const count = least + Math.floor(this.#random() * (most - least + 1));
    const cancelled = this.#chance(CHANCE.cancelled) ? Math.floor(this.#random() * count) : -1;
    const stages: JobSpec[] = [];
    for (let i = 0; i < count; i++) {
      const isLast = i === count - 1;
      const spec = this.#stage(stages, isLast);
      stages.push(spec);
      const cancelAfterMs = i === cancelled ? this.#random() * 15_000 : null;
      const whenOver = isLast && this.#chance(CHANCE.last);
      void this.#submit(spec, whenOver, cancelAfterMs);
    }
  }

  #chance(share: number): boolean {
    return this.#random() < share;
  }

  #stage(before: readonly JobSpec[], isLast: boolean): JobSpec {
    const awaits = before.filter(() => this.#chance(CHANCE.edge)).map((spec) => spec.id);
    // A pipeline hangs together: each job but the first needs another.
    if (awaits.length === 0 && before.length > 0) awaits.push(before.at(-1)!.id);
    if (this.#chance(CHANCE.earlier)) {
      const earlier = [...this.world.users.observedByJob.values()].filter(
        ({ accepted, spec }) => accepted && spec.kind === 'array',
      );
      const one = earlier[Math.floor(this.#random() * earlier.length)];
      if (one !== undefined && !awaits.includes(one.spec.id)) awaits.push(one.spec.id);
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

  async #submit(spec: JobSpec, whenOver: boolean, cancelAfterMs: number | null): Promise<void> {
    const { users, sim } = this.world;
    const mayCome = (id: string): boolean => {
      const observed = users.observedByJob.get(id);
      return observed?.accepted === true && (!whenOver || observed.final !== null);
    };
    while (!spec.awaits.every(mayCome)) {
      await new Promise<void>((resolve) => {
        sim.after(LOOK_MS, resolve);
      });
    }
    await users.live(spec, cancelAfterMs);
  }
}
