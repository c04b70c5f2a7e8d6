// The owner's search for machines for the waiting tasks of one job, one task after the other.
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import type { Job } from '../jobs/jobs';
import { LowestCostQueue } from './lowest-cost-queue';
import { bestPlacement, placementOn, type PlacementContext, placementCostMs, readyMsOn } from './placement';

/**
 * Finds for each task of a job the placement that `bestPlacement` would find. All machines are compared for the first
 * task of each zone; after that only the machines that took tasks have changed, so the cost of a task grows little with
 * the number of machines.
 */
export class PlacementSearch {
  /** The zones that a first task has been placed in; null stands for tasks that are bound to no zone. */
  readonly #searchedZones = new Set<string | null>();
  readonly #queueByZone = new Map<string | null, LowestCostQueue<Machine>>();

  constructor(
    readonly context: PlacementContext,
    readonly job: Job,
  ) {}

  /** The placement that would run the task soonest, the first one on a tie; null: no machine could run it. */
  find(task: TaskEntry): PlannedPlacement | null {
    if (!this.#searchedZones.has(task.zone)) {
      this.#searchedZones.add(task.zone);
      return bestPlacement(this.context, task);
    }
    const queue = this.#queueByZone.get(task.zone) ?? this.#newQueue(task);
    this.#queueByZone.set(task.zone, queue);
    const lowest = queue.best();
    return lowest === undefined ? null : placementOn(this.context, task, lowest.candidate);
  }

  /** Has to be called after the available resources of a machine have changed. */
  changed(machine: Machine): void {
    for (const queue of this.#queueByZone.values()) queue.refresh(machine);
  }

  /** All tasks of the job in one zone have the same costs, so any of them stands for the others. */
  #newQueue(task: TaskEntry): LowestCostQueue<Machine> {
    const { context } = this;
    return new LowestCostQueue(context.freeByMachine.keys(), {
      lowerBound: (machine) => readyMsOn(context, task, machine),
      exact: (machine) => {
        const placement = placementOn(context, task, machine);
        return placement === null ? Infinity : placementCostMs(context, placement);
      },
    });
  }
}
