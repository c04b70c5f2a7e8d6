/** Selects the waiting tasks to grant to the machine whose heartbeat is being answered, in the order of their jobs. */
import { allowsMachine } from '../cluster/placement-constraints';
import type { Job } from '../jobs/jobs';
import { startsSoonerElsewhere } from '../scheduling/placement';
import type { ClaimView } from './claim-view';
import { waitsForCachedImage } from './claim-queries';
import type { GrantCapacity } from './grant-capacity';
import type { Machine } from './machine-entry';
import type { TaskEntry } from './task-entry';

/**
 * Yields the tasks to grant to the machine. The caller takes each one from `capacity` before it asks for the next,
 * which is checked against the rest.
 */
export function* grantableTasks(
  view: ClaimView,
  machine: Machine,
  capacity: GrantCapacity,
  now: number,
): Generator<TaskEntry> {
  for (const job of view.wakes()) {
    if (!allowsMachine(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (view.failures.isExcluded(job.id, machine.name, now)) continue;
    yield* grantableTasksOf(view, job, machine, capacity, now);
  }
}

/** Yields the tasks of one job to grant to the machine. */
function* grantableTasksOf(
  view: ClaimView,
  job: Job,
  machine: Machine,
  capacity: GrantCapacity,
  now: number,
): Generator<TaskEntry> {
  for (const task of view.waitingTasks(job)) {
    if (!capacity.fits(task)) {
      // All tasks of a job are of equal size: without reservations on the machine, no other one of them fits either.
      if (capacity.hasReservations) continue;
      return;
    }
    if (mayGrantTask(view, task, machine, now)) yield task;
  }
}

/** Whether a task that fits may be started on the machine now. */
function mayGrantTask(view: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  if (task.notBefore > now || (task.zone !== null && task.zone !== machine.zone)) return false;
  if (task.job.isGroup) return view.members.mayStart(task, machine);
  if (!view.mayStart(task) || startsSoonerElsewhere(view, task, machine, now)) return false;
  return !waitsForCachedImage(task, now, view.clusterConfig) || machine.cache.has(task.job.spec.image);
}
