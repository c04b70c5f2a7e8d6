// Where a waiting task of the partition would run soonest. For every waiting task the owner estimates how soon each
// machine could run it: at once but for the fetch of its image, or after preempting work of lower priority. A machine
// that sends a heartbeat gets the tasks that it has free resources for, and passes on one only if another machine of
// the partition would run it sooner. See docs/design.md.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import { allowsMachine } from '../cluster/placement-constraints';
import { fitsIn, type Resources } from '../cluster/resources';
import { leastVictims } from './preemption';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';
import { tightnessCostMs } from './tightness';

/** A task is passed on only while it has waited for less than the fetch takes and so many heartbeat intervals. */
const PASS_ON_INTERVALS = 2;

/** What the placement of one task depends on besides the task. */
export interface PlacementContext {
  readonly claimTable: ClaimView;
  /** By machine that takes work: what the placements so far leave free. */
  readonly freeByMachine: ReadonlyMap<Machine, Resources>;
  /** Tasks that are preempted for the placements so far. */
  readonly preempted: ReadonlySet<TaskEntry>;
  /** On the owner's clock, in milliseconds. */
  readonly now: number;
}

/** Whether the task may run on the machine, whatever is free there. */
function mayRunOn(claimTable: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  return (
    (task.zone === null || task.zone === machine.zone) &&
    allowsMachine(task.job.spec, machine.type, machine.zone, machine.spot) &&
    !claimTable.failures.isExcluded(task.job.id, machine.name, now)
  );
}

/** The machine of the partition that would run the task soonest, the first of those alike; null: none could. */
export function bestPlacement(context: PlacementContext, task: TaskEntry): PlannedPlacement | null {
  const { claimTable, freeByMachine, now } = context;
  const { spec } = task.job;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const mayPreempt = claimTable.preempts && !claimTable.isCrashLooping(task.job);
  let best: PlannedPlacement | null = null;
  let bestCostMs = Infinity;
  for (const [machine, available] of freeByMachine) {
    if (!mayRunOn(claimTable, task, machine, now)) continue;
    const type = claimTable.typeOf(machine);
    const imageMs = fetchMs(spec.imageGb, machine.cache.has(spec.image), type);
    const readyMs = imageMs + claimTable.nextHeartbeatInMs(machine, now);
    if (readyMs >= bestCostMs) continue;
    const placement = placementOn(context, task, machine, available, readyMs, mayPreempt);
    if (placement === null) continue;
    const costMs = placement.startsInMs + tightnessCostMs(heartbeatIntervalMs, available, type);
    if (costMs < bestCostMs) {
      best = placement;
      bestCostMs = costMs;
    }
  }
  return best;
}

/** The placement on a machine that could run the task in `readyMs` once it fits; null: it can't be made to fit. */
function placementOn(
  { claimTable, preempted }: PlacementContext,
  task: TaskEntry,
  machine: Machine,
  available: Resources,
  readyMs: number,
  mayPreempt: boolean,
): PlannedPlacement | null {
  if (fitsIn(task.job.spec, available)) return { machine, startsInMs: readyMs, victims: [] };
  const victims = mayPreempt ? leastVictims(machine, task, available, preempted) : null;
  if (victims === null) return null;
  // Until they have stopped, and their lost work. A preempted replica is missed at once, so that is for when the task
  // fits nowhere else.
  let ms = readyMs + (STOP_MS + claimTable.clusterConfig.heartbeatIntervalMs * (victims.length / 2));
  for (const victim of victims) if (victim.job.spec.kind === 'service') ms += SERVICE_VICTIM_MS;
  return { machine, startsInMs: ms, victims };
}

/** Whether the machine whose heartbeat came passes on a task that would run sooner on the machine it is planned for. */
export function startsSoonerElsewhere(claimTable: ClaimView, task: TaskEntry, machine: Machine, now: number): boolean {
  const { spec } = task.job;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const imageMs = fetchMs(spec.imageGb, machine.cache.has(spec.image), claimTable.typeOf(machine));
  if (imageMs <= heartbeatIntervalMs / 2 || task.plan?.machine === machine) return false;
  // Not planned yet: that comes with the next tick.
  if (task.plan === null) return now - task.since < heartbeatIntervalMs / 2;
  return (
    task.plan.startsInMs < imageMs &&
    claimTable.mayTakeWork(task.plan.machine, now) &&
    now - task.since < imageMs + heartbeatIntervalMs * PASS_ON_INTERVALS
  );
}
