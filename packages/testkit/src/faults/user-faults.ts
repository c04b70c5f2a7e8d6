// Unusual behaviour of users: mass cancellations, odd requests and frequent polling.
import { parseTaskName } from '@gingerlock/wire';
import type { World } from '../simulation/world';
import { type FaultTargets, repeatFor } from './fault-targets';
import { type FaultOfKind, type FaultTable, statedDurationMs } from './fault-table';

/** Unusual behaviour of users. `node` is the index of a controller. */
export type UserFault =
  /** Users cancel running jobs, all within `CANCEL_WITHIN_MS`; some machines of these jobs hang for `hangMs`. */
  | { readonly kind: 'cancel now'; readonly count: number; readonly hangMs: number }
  /** A share of the jobs is cancelled at the moment when the last task completes. */
  | { readonly kind: 'cancel at end'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'odd requests'; readonly forMs: number }
  /** On each change of a job's status, its user polls and resubmits at all controllers, and some users cancel. */
  | { readonly kind: 'close looks'; readonly forMs: number }
  /** The state service refuses one controller while users cancel jobs, and after `afterMs` fails entirely. */
  | {
      readonly kind: 'gap';
      readonly node: number;
      readonly cancels: number;
      readonly afterMs: number;
      readonly forMs: number;
    };

/** Unusual behaviour of users by kind. */
export const USER_FAULTS: FaultTable<UserFault> = {
  'cancel now': { inject: cancelNow, durationMs: ({ hangMs }) => hangMs },
  'cancel at end': {
    inject: (world, { share, forMs }) => {
      world.cancelOnCompletionShare = share;
      world.sim.after(forMs, () => {
        world.cancelOnCompletionShare = 0;
      });
    },
    durationMs: statedDurationMs,
  },
  'odd requests': {
    inject: (world, { forMs }) => {
      const sendOne = (): void => void world.users.sendUnusualRequest(world.randomJob());
      repeatFor(world, forMs, sendOne, () => 100 + world.sim.random() * 600);
    },
    durationMs: statedDurationMs,
  },
  'close looks': {
    inject: ({ sim, users }, { forMs }) => {
      users.frequentPollsUntil = Math.max(users.frequentPollsUntil, sim.now + forMs);
    },
    durationMs: statedDurationMs,
  },
  gap: { inject: cancelBeforeOutage, durationMs: ({ afterMs, forMs }) => afterMs + forMs },
};

/** The period within which a 'cancel now' fault cancels all its jobs. */
const CANCEL_WITHIN_MS = 200;

/** The maximum number of machines that a 'cancel now' fault freezes. */
const MAX_HANGING_MACHINES = 8;

function cancelNow(world: World, { count, hangMs }: FaultOfKind<UserFault, 'cancel now'>): void {
  const jobs = cancelSome(world, count, CANCEL_WITHIN_MS);
  world.recordOccurrence('cancelled', jobs.size);
  if (hangMs <= 0) return;
  const machines = new Set<string>();
  for (const [taskName, machine] of world.runningTasks()) {
    if (jobs.has(parseTaskName(taskName)!.job)) machines.add(machine);
  }
  for (const machine of [...machines].slice(0, MAX_HANGING_MACHINES)) world.network.freeze(machine, hangMs);
}

function cancelBeforeOutage(
  world: World,
  { node, cancels, afterMs, forMs }: FaultOfKind<UserFault, 'gap'>,
  targets: FaultTargets,
): void {
  const { sim, state } = world;
  const name = targets.node(node);
  state.refusedControllers.add(name);
  world.recordOccurrence('cancelled', cancelSome(world, cancels, afterMs).size);
  sim.after(afterMs, () => state.setOutage(true));
  sim.after(afterMs + forMs, () => {
    state.refusedControllers.delete(name);
    state.setOutage(false);
  });
}

/** Users cancel up to `count` running jobs, each within `withinMs`; returns the ids of these jobs. */
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
