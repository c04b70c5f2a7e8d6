// Which waiting tasks the machine that reports now may take, in the order of their jobs.
import type { ClaimView } from './claim-view';
import { isMovingOn } from './claim-queries';
import { allowsMachine } from './facts';
import type { GrantCapacity } from './grant-capacity';
import type { Job } from './jobs';
import { betterElsewhere } from './placement';
import type { Machine, Slot } from './slots';

/** The tasks to be bound to the machine, one by one: the room is asked anew for each, after the one before has been taken out of it. */
export function* bindable(view: ClaimView, machine: Machine, capacity: GrantCapacity, now: number): Generator<Slot> {
  for (const job of view.wakes()) {
    if (!allowsMachine(job.spec, machine.type, machine.zone, machine.spot)) continue;
    if (view.failures.isExcluded(job.id, machine.name, now)) continue;
    yield* bindableOf(view, job, machine, capacity, now);
  }
}

function* bindableOf(
  view: ClaimView,
  job: Job,
  machine: Machine,
  capacity: GrantCapacity,
  now: number,
): Generator<Slot> {
  for (const slot of view.waitingSlots(job)) {
    if (!capacity.fits(slot)) {
      // Its tasks are all alike: where room is kept for none of them, none fits.
      if (capacity.hasReservations) continue;
      return;
    }
    if (mayBind(view, slot, machine, now)) yield slot;
  }
}

function mayBind(view: ClaimView, slot: Slot, machine: Machine, now: number): boolean {
  if (slot.notBefore > now || (slot.zone !== null && slot.zone !== machine.zone)) return false;
  if (slot.job.isGroup) return view.members.mayStart(slot, machine);
  if (!view.mayStart(slot) || betterElsewhere(view, slot, machine, now)) return false;
  return !isMovingOn(slot, now, view.clusterConfig) || machine.cache.has(slot.job.spec.image);
}
