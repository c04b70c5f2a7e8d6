// Additional load: pipelines, floods of small jobs, jobs that always fail, and guests who submit more work than there
// is capacity for.
import type { JobSpec } from '@gingerlock/wire';
import { PipelineUser } from '../standins/pipelines';
import type { World } from '../simulation/world';
import { repeatFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';

/** Jobs that are submitted in addition to the usual load of a scenario. */
export type SubmissionFault =
  /** Jobs of one task, `perS` a second, a quarter of them cancelled. */
  | { readonly kind: 'small jobs'; readonly perS: number; readonly forMs: number }
  /** Every `everyMs`, a user submits a pipeline of jobs that await each other. */
  | { readonly kind: 'pipelines'; readonly everyMs: number; readonly forMs: number; readonly seed: number }
  /** Arrays whose tasks fail on every machine, until their users cancel them. */
  | {
      readonly kind: 'broken jobs';
      readonly count: number;
      readonly tasks: number;
      readonly everyMs: number;
      readonly cancelAfterMs: number;
    }
  /** A team without a guarantee submits one-task jobs, an array of many tasks, or long work. */
  | {
      readonly kind: 'guests';
      readonly what: 'flood' | 'huge array' | 'long work';
      readonly perS: number;
      readonly forMs: number;
    };

/** Additional submissions by kind. */
export const SUBMISSION_FAULTS: FaultTable<SubmissionFault> = {
  'small jobs': { inject: submitSmallJobs, durationMs: statedDurationMs },
  pipelines: {
    inject: (world, { everyMs, forMs, seed }) => {
      for (let i = 0; i * everyMs < forMs; i++) {
        world.sim.after(i * everyMs, () => new PipelineUser(world, seed + i).start());
      }
    },
    durationMs: statedDurationMs,
  },
  'broken jobs': {
    inject: (world, fault) => {
      for (let i = 0; i < fault.count; i++) world.sim.after(i * fault.everyMs, () => submitBroken(world, fault));
    },
    durationMs: ({ count, everyMs, cancelAfterMs }) => count * everyMs + cancelAfterMs,
  },
  guests: { inject: submitAsGuests, durationMs: statedDurationMs },
};

/** The resources of a task so small that many of them fit beside other work. */
const SMALL_TASK = { cpus: 0.25, gpus: 0, memoryGb: 0.5 };

const ARRAY_JOB = { kind: 'array', spread: false, oneZone: false, zone: null, spot: true } as const;

/** The number of tasks of a 'huge array': its records take several pages of a state service with low limits. */
const HUGE_ARRAY_TASKS = 1500;

/** The time to the next submission, uniformly 0.5 to 1.5 times the mean interval of `perS` submissions a second. */
function nextSubmissionMs({ sim }: World, perS: number): number {
  return (1000 / perS) * (0.5 + sim.random());
}

function submitSmallJobs(world: World, { perS, forMs }: FaultOfKind<SubmissionFault, 'small jobs'>): void {
  const { sim } = world;
  const submit = (): void => {
    const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 1, spread: false, gpus: 1, estimateS: 1 };
    void world.users.submitAndFollow(spec, sim.random() < 0.25 ? sim.random() * 5000 : null);
  };
  repeatFor(world, forMs, submit, () => nextSubmissionMs(world, perS));
}

function submitBroken(world: World, { tasks, cancelAfterMs }: FaultOfKind<SubmissionFault, 'broken jobs'>): void {
  const spec: JobSpec = { ...world.randomJob(), ...ARRAY_JOB, ...SMALL_TASK, tasks, priority: 'normal' };
  world.brokenJobs.set(spec.id, { starts: 0, firstStartAt: null });
  void world.users.submitAndFollow(spec, cancelAfterMs);
}

function submitAsGuests(world: World, { what, perS, forMs }: FaultOfKind<SubmissionFault, 'guests'>): void {
  const guest = { ...ARRAY_JOB, ...SMALL_TASK, team: world.guestTeam, priority: 'low' } as const;
  const submit = (overrides: Partial<JobSpec>): void => {
    void world.users.submitAndFollow({ ...world.randomJob(), ...guest, ...overrides }, null);
  };
  switch (what) {
    case 'huge array':
      submit({ tasks: HUGE_ARRAY_TASKS, estimateS: 0.5 });
      return;
    case 'long work':
      submit({ tasks: 20, estimateS: 40 });
      return;
    case 'flood':
      repeatFor(
        world,
        forMs,
        () => submit({ tasks: 1, estimateS: 1 }),
        () => nextSubmissionMs(world, perS),
      );
      return;
  }
}
