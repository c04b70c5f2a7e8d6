// The smallest exceptions to "the first reporter wins", and preemption: see docs/design.md.
//
// For every waiting task the owner estimates how soon each machine of its part could run it: at once but for the fetch of
// the image, or after stopping work of lower priority. A machine that reports passes on a task only if another machine of
// the part would run it sooner than this one could.
import type { MachineType } from '@gingerlock/wire';
import type { ClaimView } from './claim-view';
import { type Resources, fitsIn, addResources, allowsMachine } from './facts';
import type { Machine, Plan, Slot } from './slots';
import { fetchMs, SERVICE_VICTIM_MS, STOP_MS } from './start-time';

/** Whether a task could be bound to the machine if it had the room. */
export function suits(claimTable: ClaimView, slot: Slot, m: Machine, now: number): boolean {
  return (
    (slot.zone === null || slot.zone === m.zone) &&
    allowsMachine(slot.job.spec, m.type, m.zone, m.spot) &&
    !claimTable.failures.isExcluded(slot.job.id, m.name, now)
  );
}

/** Breaks ties: a fuller machine leaves the larger gaps to others. */
function tightness(available: Resources, type: MachineType | undefined): number {
  return type === undefined || type.gpus <= 0 ? 0 : available.gpus / type.gpus;
}

/** The machine of the part that would run the task soonest, given what is left of each room; null: none could. */
export function bestPlan(
  claimTable: ClaimView,
  slot: Slot,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  doomed: ReadonlySet<Slot>,
  now: number,
): Plan | null {
  const spec = slot.job.spec;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const mayPreempt = claimTable.preempts && !claimTable.isFailing(slot.job);
  let best: Plan | null = null;
  let bestCost = Infinity;
  for (const [machine, available] of freeByMachine) {
    if (!suits(claimTable, slot, machine, now)) continue;
    const type = claimTable.typeOf(machine);
    const fetch = fetchMs(spec.imageGb, machine.cache.has(spec.image), type);
    let ms = fetch + claimTable.reportsInMs(machine, now);
    if (ms >= bestCost) continue;
    let victims: readonly Slot[] = [];
    if (!fitsIn(spec, available)) {
      if (!mayPreempt) continue;
      const found = leastVictims(machine, slot, available, doomed);
      if (found === null) continue;
      victims = found;
      // Until they have stopped, and their lost work. A replica that is stopped is missed at once, so that is for when
      // there is no other room at all.
      ms += STOP_MS + heartbeatIntervalMs * (victims.length / 2);
      for (const v of victims) if (v.job.spec.kind === 'service') ms += SERVICE_VICTIM_MS;
    }
    const cost = ms + (heartbeatIntervalMs / 10) * tightness(available, type);
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
  slot: Slot,
  free: Resources,
  doomed: ReadonlySet<Slot>,
  need: Resources = slot.job.spec,
): Slot[] | null {
  const candidates = [...machine.claims.values()]
    .filter((s) => s.job.rank > slot.job.ownRank && !s.job.isGroup && s.claim!.stopGraceS === null && !doomed.has(s))
    .sort((a, b) => b.job.rank - a.job.rank || b.claim!.grantedAt - a.claim!.grantedAt);
  const victims: Slot[] = [];
  let available = free;
  for (const candidate of candidates) {
    if (fitsIn(need, available)) break;
    victims.push(candidate);
    available = addResources(available, candidate.job.spec);
  }
  return fitsIn(need, available) ? victims : null;
}

/** Whether the reporting machine passes on a task that would run sooner on the machine it is planned for. */
export function betterElsewhere(claimTable: ClaimView, slot: Slot, m: Machine, now: number): boolean {
  const spec = slot.job.spec;
  const { heartbeatIntervalMs } = claimTable.clusterConfig;
  const here = fetchMs(spec.imageGb, m.cache.has(spec.image), claimTable.typeOf(m));
  if (here <= heartbeatIntervalMs / 2 || slot.plan?.machine === m) return false;
  // Not planned yet: that comes with the next tick.
  if (slot.plan === null) return now - slot.since < heartbeatIntervalMs / 2;
  return (
    slot.plan.ms < here &&
    claimTable.takesWork(slot.plan.machine, now) &&
    now - slot.since < here + heartbeatIntervalMs * 2
  );
}
