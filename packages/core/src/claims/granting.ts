/** Which waiting tasks are granted to the machine whose heartbeat is being answered, in the order of their jobs. */
import type { ClaimView } from './claim-view';
import { waitsForCachedImage } from './claim-queries';
import { allowsMachine } from '../cluster/placement-constraints';
import type { GrantCapacity } from './grant-capacity';
import type { Job } from '../jobs/jobs';
import { startsSoonerElsewhere } from '../scheduling/placement';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/**
 * The tasks to be bound to the machine, one by one. The caller takes each out of `capacity` before it asks for the
 * next, which is checked against what is left.
 */
export function* bindable(
  view: ClaimView,
  machine: Machine,
  capacity: GrantCapacity,
  now: number,
): Generator<TaskEntry> {
  for (const job of view.wakes()) {
    if (!allowsMachine(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (view.failures.isExcluded(job.id, machine.name, now)) continue;
    yield* bindableOf(view, job, machine, capacity, now);
  }
}

/** The tasks of one job that are to be bound to the machine. */
function* bindableOf(
  view: ClaimView,
  job: Job,
  machine: Machine,
  capacity: GrantCapacity,
  now: number,
): Generator<TaskEntry> {
  for (const task of view.waitingTasks(job)) {
    if (!capacity.fits(task)) {
      // The tasks of a job are all alike: where nothing is reserved for any task, no other of them fits either.
      if (capacity.hasReservations) continue;
      return;
    }
    if (mayBind(view, task, machine, now)) yield task;
  }
}

/** Whether a task that fits may be started on the machine now. */
function mayBind(view: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  if (task.notBefore > now || (task.zone !== null && task.zone !== machine.zone)) return false;
  if (task.job.isGroup) return view.members.mayStart(task, machine);
  if (!view.mayStart(task) || startsSoonerElsewhere(view, task, machine, now)) return false;
  return !waitsForCachedImage(task, now, view.clusterConfig) || machine.cache.has(task.job.spec.image);
}
