// Finds the machine on which a waiting task of the partition would run soonest. For every waiting task the owner
// estimates how soon each machine could run it: after the fetch of its image, and after preempting work of lower
// priority if necessary. A machine that sends a heartbeat gets the tasks that fit its free resources; it passes on a
// task only if another machine of the partition would run it sooner. See docs/design.md.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import { allowsMachine } from '../cluster/placement-constraints';
import { fitsIn, type Resources } from '../cluster/resources';
import { selectVictims } from './preemption';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';
import { tightnessCostMs } from './tightness';

/** A task is passed on only until it has waited for the image fetch plus this many heartbeat intervals. */
const PASS_ON_INTERVALS = 2;

/** Input for the placement of a task, apart from the task. */
export interface PlacementContext {
  readonly claimTable: ClaimView;
  /** By machine that takes work: the resources that the placements so far leave free. */
  readonly freeByMachine: ReadonlyMap<Machine, Resources>;
  /** Tasks that are preempted for the placements so far. */
  readonly preempted: ReadonlySet<TaskEntry>;
  /** Time on the owner's clock, in milliseconds. */
  readonly now: number;
}

/** Whether the task may run on the machine, regardless of its free resources. */
function mayRunOn(claimTable: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  return (
    (task.zone === null || task.zone === machine.zone) &&
    allowsMachine(task.job.spec, machine.type, machine.zone, machine.spot) &&
    !claimTable.failures.isExcluded(task.job.id, machine.name, now)
  );
}

/** The placement that would run the task soonest, the first one on a tie; null: no machine could run it. */
export function bestPlacement(context: PlacementContext, task: TaskEntry): PlannedPlacement | null {
  let best: PlannedPlacement | null = null;
  let bestCostMs = Infinity;
  for (const machine of context.freeByMachine.keys()) {
    const readyMs = readyMsOn(context, task, machine);
    if (readyMs >= bestCostMs) continue;
    const placement = placementReadyIn(context, task, machine, readyMs);
    if (placement === null) continue;
    const costMs = placementCostMs(context, placement);
    if (costMs < bestCostMs) {
      best = placement;
      bestCostMs = costMs;
    }
  }
  return best;
}

/**
 * The time until the machine could start the task if nothing had to be preempted, in milliseconds; Infinity: the task
 * may not run there.
 */
export function readyMsOn({ claimTable, now }: PlacementContext, task: TaskEntry, machine: Machine): number {
  if (!mayRunOn(claimTable, task, machine, now)) return Infinity;
  const { spec } = task.job;
  const imageMs = fetchMs(spec.imageGb, machine.cache.has(spec.image), claimTable.typeOf(machine));
  return imageMs + claimTable.nextHeartbeatInMs(machine, now);
}

/** The placement of the task on the machine; null: it does not fit, even with allowed preemption. */
export function placementOn(context: PlacementContext, task: TaskEntry, machine: Machine): PlannedPlacement | null {
  return placementReadyIn(context, task, machine, readyMsOn(context, task, machine));
}

/** The cost by which placements of one task are compared, in milliseconds. */
export function placementCostMs(
  { claimTable, freeByMachine }: PlacementContext,
  { machine, startsInMs }: PlannedPlacement,
): number {
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  return startsInMs + tightnessCostMs(heartbeatIntervalMs, freeByMachine.get(machine)!, claimTable.typeOf(machine));
}

/** The placement on a machine that is ready in `readyMs`; null: the task does not fit, even with allowed preemption. */
function placementReadyIn(
  { claimTable, freeByMachine, preempted }: PlacementContext,
  task: TaskEntry,
  machine: Machine,
  readyMs: number,
): PlannedPlacement | null {
  const available = freeByMachine.get(machine)!;
  if (fitsIn(task.job.need, available)) return { machine, startsInMs: readyMs, victims: [] };
  const mayPreempt = claimTable.preempts && !claimTable.isCrashLooping(task.job);
  const victims = mayPreempt ? selectVictims(machine, task, available, preempted) : null;
  if (victims === null) return null;
  // Adds the time until the victims have stopped, and a cost for their lost work. Users notice a preempted service
  // replica at once, so its cost is so high that it is preempted only if the task fits nowhere else.
  let ms = readyMs + (STOP_MS + claimTable.clusterConfig.heartbeatIntervalMs * (victims.length / 2));
  for (const victim of victims) if (victim.job.spec.kind === 'service') ms += SERVICE_VICTIM_MS;
  return { machine, startsInMs: ms, victims };
}

/** Whether the machine that sent a heartbeat passes on the task, as its planned machine would run it sooner. */
export function startsSoonerElsewhere(claimTable: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  const { spec } = task.job;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const imageMs = fetchMs(spec.imageGb, machine.cache.has(spec.image), claimTable.typeOf(machine));
  if (imageMs <= heartbeatIntervalMs / 2 || task.plan?.machine === machine) return false;
  // A task without a plan gets one with the next tick.
  if (task.plan === null) return now - task.since < heartbeatIntervalMs / 2;
  return (
    task.plan.startsInMs < imageMs &&
    claimTable.mayTakeWork(task.plan.machine, now) &&
    now - task.since < imageMs + heartbeatIntervalMs * PASS_ON_INTERVALS
  );
}
