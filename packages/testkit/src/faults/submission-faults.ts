// Load beyond the usual: pipelines, floods of small jobs, jobs with a mistake, and guests who submit more than there
// is capacity for.
import type { JobSpec } from '@gingerlock/wire';
import { PipelineUser } from '../standins/pipelines';
import type { World } from '../simulation/world';
import { repeatFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';

/** Jobs that come beside those that arrive in any scenario. */
export type SubmissionFault =
  /** Jobs of one task, so many a second, a quarter of them cancelled. */
  | { readonly kind: 'small jobs'; readonly perS: number; readonly forMs: number }
  /** Users submit pipelines of jobs that await each other, one every so often. */
  | { readonly kind: 'pipelines'; readonly everyMs: number; readonly forMs: number; readonly seed: number }
  /** Arrays whose tasks fail wherever they run, until their users cancel them. */
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

/** So small that many of them run at once whatever else does. */
const SMALL = { cpus: 0.25, gpus: 0, memoryGb: 0.5 };

const ARRAY = { kind: 'array', spread: false, oneZone: false, zone: null, spot: true } as const;

/** As many tasks as the largest array of guests has here: enough for several pages of a small state service. */
const HUGE_TASKS = 1500;

/** The time to the next submission of `perS` a second: half as long to one and a half times as long as on average. */
function nextSubmissionMs({ sim }: World, perS: number): number {
  return (1000 / perS) * (0.5 + sim.random());
}

function submitSmallJobs(world: World, { perS, forMs }: FaultOfKind<SubmissionFault, 'small jobs'>): void {
  const { sim } = world;
  const submit = (): void => {
    const spec = { ...world.randomJob(), kind: 'array' as const, tasks: 1, spread: false, gpus: 1, estimateS: 1 };
    void world.users.live(spec, sim.random() < 0.25 ? sim.random() * 5000 : null);
  };
  repeatFor(world, forMs, submit, () => nextSubmissionMs(world, perS));
}

function submitBroken(world: World, { tasks, cancelAfterMs }: FaultOfKind<SubmissionFault, 'broken jobs'>): void {
  const spec: JobSpec = { ...world.randomJob(), ...ARRAY, ...SMALL, tasks, priority: 'normal' };
  world.brokenJobs.set(spec.id, { starts: 0, firstStartAt: null });
  void world.users.live(spec, cancelAfterMs);
}

function submitAsGuests(world: World, { what, perS, forMs }: FaultOfKind<SubmissionFault, 'guests'>): void {
  const guest = { ...ARRAY, ...SMALL, team: world.guestTeam, priority: 'low' } as const;
  const submit = (over: Partial<JobSpec>): void => {
    void world.users.live({ ...world.randomJob(), ...guest, ...over }, null);
  };
  switch (what) {
    case 'huge array':
      submit({ tasks: HUGE_TASKS, estimateS: 0.5 });
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
