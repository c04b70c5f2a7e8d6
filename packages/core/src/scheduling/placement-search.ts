// The owner's search for machines for the waiting tasks of one job, one task after the other.
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import type { Job } from '../jobs/jobs';
import { taskShapeIn } from './job-shape';
import { LowestCostQueue } from './lowest-cost-queue';
import { bestPlacement, placementOn, type PlacementContext, placementCostMs, readyMsOn } from './placement';

/**
 * Finds for each task of a job the placement that `bestPlacement` would find. All machines are compared for the first
 * task of each zone; after that only the machines that took tasks have changed, so the cost of a task grows little with
 * the number of machines.
 */
export class PlacementSearch {
  /** By zone that tasks are bound to, null for any: the machines that may take a further task. */
  readonly #queueByZone = new Map<string | null, LowestCostQueue<Machine>>();
  /** By zone that tasks are bound to, null for any: whether a machine could take the first of them. */
  readonly #isPlaceableByZone = new Map<string | null, boolean>();

  constructor(
    readonly context: PlacementContext,
    readonly job: Job,
    /** Shapes of tasks that no machine can take. Free resources only shrink: the search is not repeated. */
    readonly unplacedShapes: Set<string>,
  ) {}

  /** The placement that would run the task soonest, the first one on a tie; null: no machine could run it. */
  find(task: TaskEntry): PlannedPlacement | null {
    const isPlaceable = this.#isPlaceableByZone.get(task.zone);
    if (isPlaceable !== undefined) return isPlaceable ? this.#findNext(task) : null;
    const placement = this.#findFirst(task);
    this.#isPlaceableByZone.set(task.zone, placement !== null);
    return placement;
  }

  #findFirst(task: TaskEntry): PlannedPlacement | null {
    const shape = taskShapeIn(this.job, [task.zone]);
    if (this.unplacedShapes.has(shape)) return null;
    const placement = bestPlacement(this.context, task);
    // For other jobs of the shape, only the machines on which this job has failed may differ.
    if (placement === null && !this.context.claimTable.failures.hasFailed(this.job.id)) this.unplacedShapes.add(shape);
    return placement;
  }

  #findNext(task: TaskEntry): PlannedPlacement | null {
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
