// What users do beyond submitting, asking and now and then cancelling.
import { parseTaskName } from '@gingerlock/wire';
import { type FaultTargets, repeatFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';
import type { World } from '../simulation/world';

/** Unusual conduct of users. */
export type UserFault =
  /** Users cancel running jobs, all within a fifth of a second; some of their machines then hang. */
  | { readonly kind: 'cancel now'; readonly count: number; readonly hangMs: number }
  /** This share of the jobs is cancelled at the moment at which their last task completes. */
  | { readonly kind: 'cancel at end'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'odd requests'; readonly forMs: number }
  /** Users ask for their jobs much more often than usual. */
  | { readonly kind: 'close looks'; readonly forMs: number }
  /** One controller alone is refused, others cancel jobs, and a moment later nobody is served. */
  | {
      readonly kind: 'gap';
      readonly node: number;
      readonly cancels: number;
      readonly afterMs: number;
      readonly forMs: number;
    };

/** Unusual conduct of users by kind. */
export const USER_FAULTS: FaultTable<UserFault> = {
  'cancel now': { inject: cancelNow, durationMs: ({ hangMs }) => hangMs },
  'cancel at end': {
    inject: (world, { share, forMs }) => {
      world.cancelAtEnd = share;
      world.sim.after(forMs, () => {
        world.cancelAtEnd = 0;
      });
    },
    durationMs: statedDurationMs,
  },
  'odd requests': {
    inject: (world, { forMs }) => {
      const sendOne = (): void => void world.users.sendOddRequest(world.randomJob());
      repeatFor(world, forMs, sendOne, () => 100 + world.sim.random() * 600);
    },
    durationMs: statedDurationMs,
  },
  'close looks': {
    inject: ({ sim, users }, { forMs }) => {
      users.closeLooksUntil = Math.max(users.closeLooksUntil, sim.now + forMs);
    },
    durationMs: statedDurationMs,
  },
  gap: { inject: cancelBeforeOutage, durationMs: ({ afterMs, forMs }) => afterMs + forMs },
};

/** Jobs that are cancelled together are so within so many milliseconds. */
const CANCEL_WITHIN_MS = 200;

/** At most so many machines of cancelled jobs hang. */
const MAX_HANGING = 8;

function cancelNow(world: World, { count, hangMs }: FaultOfKind<UserFault, 'cancel now'>): void {
  const jobs = cancelSome(world, count, CANCEL_WITHIN_MS);
  world.recordOccurrence('cancelled', jobs.size);
  if (hangMs <= 0) return;
  const machines = new Set<string>();
  for (const [taskName, machine] of world.runningTasks()) {
    if (jobs.has(parseTaskName(taskName)!.job)) machines.add(machine);
  }
  for (const machine of [...machines].slice(0, MAX_HANGING)) world.network.freeze(machine, hangMs);
}

function cancelBeforeOutage(
  world: World,
  { node, cancels, afterMs, forMs }: FaultOfKind<UserFault, 'gap'>,
  targets: FaultTargets,
): void {
  const { sim, state } = world;
  const name = targets.node(node);
  state.refused.add(name);
  world.recordOccurrence('cancelled', cancelSome(world, cancels, afterMs).size);
  sim.after(afterMs, () => state.setOutage(true));
  sim.after(afterMs + forMs, () => {
    state.refused.delete(name);
    state.setOutage(false);
  });
}

/** Users cancel some jobs that run, within so many milliseconds; returns which. */
function cancelSome(world: World, count: number, withinMs: number): Set<string> {
  const running = new Set([...world.runningTasks().keys()].map((taskName) => parseTaskName(taskName)!.job));
  const jobs = world.users
    .open()
    .map((observed) => observed.spec.id)
    .filter((id) => running.has(id))
    .slice(0, count);
  for (const id of jobs) world.sim.after(world.sim.random() * withinMs, () => void world.users.cancel(id));
  return new Set(jobs);
}
