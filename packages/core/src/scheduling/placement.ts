// The smallest exceptions to "the first reporter wins", and preemption: see docs/design.md.
//
// For every waiting task the owner estimates how soon each machine of its part could run it: at once but for the fetch of
// the image, or after stopping work of lower priority. A machine that reports passes on a task only if another machine of
// the part would run it sooner than this one could.
import type { ClaimView } from '../claims/claim-view';
import { type Resources, fitsIn, addResources } from '../cluster/resources';
import { allowsMachine } from '../cluster/placement-constraints';
import type { Machine, PlannedPlacement, TaskEntry } from '../claims/task-entry';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';
import { tightnessCostMs } from './tightness';

/** Whether a task could be bound to the machine if it had the room. */
export function suits(claimTable: ClaimView, task: TaskEntry, m: Machine, now: number): boolean {
  return (
    (task.zone === null || task.zone === m.zone) &&
    allowsMachine(task.job.spec, m.type, m.zone, m.spot) &&
    !claimTable.failures.isExcluded(task.job.id, m.name, now)
  );
}

/** The machine of the part that would run the task soonest, given what is left of each room; null: none could. */
export function bestPlacement(
  claimTable: ClaimView,
  task: TaskEntry,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  preempted: ReadonlySet<TaskEntry>,
  now: number,
): PlannedPlacement | null {
  const spec = task.job.spec;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const mayPreempt = claimTable.preempts && !claimTable.isCrashLooping(task.job);
  let best: PlannedPlacement | null = null;
  let bestCost = Infinity;
  for (const [machine, available] of freeByMachine) {
    if (!suits(claimTable, task, machine, now)) continue;
    const type = claimTable.typeOf(machine);
    const fetch = fetchMs(spec.imageGb, machine.cache.has(spec.image), type);
    let ms = fetch + claimTable.nextHeartbeatInMs(machine, now);
    if (ms >= bestCost) continue;
    let victims: readonly TaskEntry[] = [];
    if (!fitsIn(spec, available)) {
      if (!mayPreempt) continue;
      const found = leastVictims(machine, task, available, preempted);
      if (found === null) continue;
      victims = found;
      // Until they have stopped, and their lost work. A replica that is stopped is missed at once, so that is for when
      // there is no other room at all.
      ms += STOP_MS + heartbeatIntervalMs * (victims.length / 2);
      for (const v of victims) if (v.job.spec.kind === 'service') ms += SERVICE_VICTIM_MS;
    }
    const cost = ms + tightnessCostMs(heartbeatIntervalMs, available, type);
    if (cost < bestCost) {
      best = { machine, ms, victims };
      bestCost = cost;
    }
  }
  return best;
}

/**
 * The least that has to stop on a machine so that what the task needs fits: the least urgent and latest started first. Members of replica
 * groups are stopped for nobody. What a job is
 * needed for protects it, but lets it stop nobody: else pipelines whose last job has come stop the early jobs of
 * others, whose last job comes a moment later, and all of them begin again and again.
 */
export function leastVictims(
  machine: Machine,
  task: TaskEntry,
  free: Resources,
  preempted: ReadonlySet<TaskEntry>,
  need: Resources = task.job.spec,
): TaskEntry[] | null {
  const candidates = [...machine.claims.values()]
    .filter(
      (s) =>
        s.job.effectivePriority > task.job.ownPriority &&
        !s.job.isGroup &&
        s.claim!.stopGraceS === null &&
        !preempted.has(s),
    )
    .sort((a, b) => b.job.effectivePriority - a.job.effectivePriority || b.claim!.grantedAt - a.claim!.grantedAt);
  const victims: TaskEntry[] = [];
  let available = free;
  for (const candidate of candidates) {
    if (fitsIn(need, available)) break;
    victims.push(candidate);
    available = addResources(available, candidate.job.spec);
  }
  return fitsIn(need, available) ? victims : null;
}

/** Whether the reporting machine passes on a task that would run sooner on the machine it is planned for. */
export function betterElsewhere(claimTable: ClaimView, task: TaskEntry, m: Machine, now: number): boolean {
  const spec = task.job.spec;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const here = fetchMs(spec.imageGb, m.cache.has(spec.image), claimTable.typeOf(m));
  if (here <= heartbeatIntervalMs / 2 || task.plan?.machine === m) return false;
  // Not planned yet: that comes with the next tick.
  if (task.plan === null) return now - task.since < heartbeatIntervalMs / 2;
  return (
    task.plan.ms < here &&
    claimTable.takesWork(task.plan.machine, now) &&
    now - task.since < here + heartbeatIntervalMs * 2
  );
}
