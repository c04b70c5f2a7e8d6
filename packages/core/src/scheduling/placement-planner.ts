// What the owner of a part expects of the coming reports: which machine would take which waiting task, what is stopped for
// it, which machines are called for it, and which replicas leave machines that are to go.
import type { ClaimView } from '../claims/claim-view';
import { type Resources, fitsIn, NO_RESOURCES, addResources, subtractResources } from '../cluster/resources';
import { allowsMachine } from '../cluster/placement-constraints';
import { bestPlacement, leastVictims } from './placement';
import type { Machine, PlannedPlacement, SpareCapacity, TaskEntry } from '../claims/task-entry';

/** A task that is stopped gets a little more than it says it needs for saving. */
const SAVE_SLACK = 1.25;

/** A start counts for the users if nothing stops the task within 30 s, says the protocol: no replica is moved before. */
const MIN_RUN_BEFORE_RELOCATION_MS = 30_000;

/**
 * Packs the waiting tasks into the rooms as the coming reports would, stopping work of lower priority where that is
 * the soonest. Returns what is left of each room, the tasks that no machine of this part can take, and what was told
 * to stop.
 */
export function planPlacements(
  claimTable: ClaimView,
  now: number,
): { freeByMachine: Map<Machine, Resources>; unschedulable: TaskEntry[]; stopped: TaskEntry[] } {
  const freeByMachine = new Map<Machine, Resources>();
  for (const m of claimTable.machines.values()) {
    if (!claimTable.takesWork(m, now)) continue;
    let available = claimTable.freeResources(m);
    // What is stopping is free soon: counted now, so that nothing more is stopped for the same task.
    for (const task of m.claims.values())
      if (task.claim!.stopGraceS !== null) available = addResources(available, task.job.spec);
    freeByMachine.set(m, subtractResources(available, claimTable.reservations.reservedOn(m.name)));
  }
  const unschedulable: TaskEntry[] = [];
  const preempted = new Set<TaskEntry>();
  for (const job of claimTable.wakes()) {
    for (const task of claimTable.waitingTasks(job)) {
      task.plan = null;
      if (job.isGroup) {
        planMember(claimTable, task, freeByMachine, preempted);
        continue;
      }
      // Held back, and given back in time: no machine is kept for it, none is asked for.
      if (!claimTable.mayStart(task)) continue;
      task.plan = reservedPlacement(claimTable, task, freeByMachine);
      if (task.plan !== null) continue;
      task.plan = bestPlacement(claimTable, task, freeByMachine, preempted, now);
      if (task.plan === null) {
        unschedulable.push(task);
        continue;
      }
      let available = freeByMachine.get(task.plan.machine)!;
      for (const victim of task.plan.victims) {
        preempted.add(victim);
        available = addResources(available, victim.job.spec);
      }
      freeByMachine.set(task.plan.machine, subtractResources(available, job.spec));
      if (task.notBefore <= now) for (const victim of task.plan.victims) preempt(claimTable, victim, task);
    }
  }
  return { freeByMachine, unschedulable, stopped: [...preempted].filter((s) => s.claim?.stopGraceS !== null) };
}

/**
 * A member of a replica group waits for the machine on which its room is kept, and for no other. Where that is not free yet, work of lower
 * priority makes way, if enough of it does.
 */
function planMember(
  claimTable: ClaimView,
  task: TaskEntry,
  freeByMachine: Map<Machine, Resources>,
  preempted: Set<TaskEntry>,
): void {
  task.plan = reservedPlacement(claimTable, task, freeByMachine);
  if (task.plan === null || !claimTable.preempts) return;
  const { machine } = task.plan;
  // What is kept there is counted in already: nothing may be lacking.
  const available = freeByMachine.get(machine)!;
  const victims = fitsIn(NO_RESOURCES, available)
    ? []
    : leastVictims(machine, task, available, preempted, NO_RESOURCES);
  if (victims === null || victims.length === 0) return;
  for (const victim of victims) {
    preempted.add(victim);
    preempt(claimTable, victim, task);
  }
  freeByMachine.set(
    machine,
    victims.reduce((sum, victim) => addResources(sum, victim.job.spec), available),
  );
}

/** The machine on which room is kept for the task, which is counted in already; null: it has none, or it takes no work now. */
function reservedPlacement(
  claimTable: ClaimView,
  task: TaskEntry,
  freeByMachine: ReadonlyMap<Machine, Resources>,
): PlannedPlacement | null {
  const kept = claimTable.reservations.reservedMachineFor(task.name);
  const machine = kept === null ? undefined : claimTable.machines.get(kept);
  return machine === undefined || !freeByMachine.has(machine) ? null : { machine, ms: 0, victims: [] };
}

/** The machines that waiting tasks are planned for and that would report later than need be. */
export function machinesToSolicit(claimTable: ClaimView, now: number): Set<Machine> {
  const machines = new Set<Machine>();
  for (const job of claimTable.wakes()) {
    for (const task of claimTable.waitingTasks(job)) {
      if (task.plan === null || task.plan.victims.length > 0 || task.notBefore > now) continue;
      const { machine } = task.plan;
      if (job.isGroup && !claimTable.members.mayStart(task, machine)) continue;
      // What is kept for it may have yet to be freed.
      const isKept = claimTable.reservations.reservedMachineFor(task.name) !== null;
      if (isKept && !fitsIn(job.spec, claimTable.freeResources(machine))) continue;
      if (machine.isMember && claimTable.takesWork(machine, now) && claimTable.mayRequestHeartbeat(machine, now))
        machines.add(machine);
    }
  }
  return machines;
}

/**
 * Stops the replicas of draining machines that would be up again elsewhere within a moment: where there is room and
 * their image is, in this part if the machine can be called, or in another. A machine is left as it is unless all can
 * move, and one is emptied at a time. Returns what is to be stopped.
 */
export function relocateReplicas(
  claimTable: ClaimView,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  remoteSpareCapacity: () => readonly SpareCapacity[],
  now: number,
): TaskEntry[] {
  for (const job of claimTable.wakes()) {
    if (job.spec.kind !== 'service' || job.isGroup || claimTable.isCrashLooping(job)) continue;
    if (claimTable.waitingTasks(job).next().done !== true) return [];
  }
  let spareCapacity: SpareCapacity[] | null = null;
  for (const m of claimTable.machines.values()) {
    if (!m.draining || m.evictionNotice || m.spot || claimTable.isSuspect(m, now)) continue;
    const replicas = [...m.claims.values()].filter((s) => s.job.spec.kind === 'service');
    // A replica group moves as a whole or not at all.
    if (replicas.length === 0 || replicas.some((s) => s.job.isGroup)) continue;
    if (replicas.some((s) => s.claim!.stopGraceS !== null || s.claim!.stage !== 'running')) continue;
    if (replicas.some((s) => now - s.claim!.grantedAt < MIN_RUN_BEFORE_RELOCATION_MS)) continue;
    spareCapacity ??= [...spareCapacityIn(claimTable, freeByMachine, now), ...remoteSpareCapacity()];
    const left = new Map<SpareCapacity, Resources>();
    const canRelocateAll = replicas.every(({ job: { spec }, zone }) => {
      for (const r of spareCapacity!) {
        const free = left.get(r) ?? r.free;
        if (!fitsIn(spec, free) || !r.images.includes(spec.image)) continue;
        if ((zone !== null && zone !== r.zone) || !allowsMachine(spec, r.type, r.zone, r.spot)) continue;
        left.set(r, subtractResources(free, spec));
        return true;
      }
      return false;
    });
    if (!canRelocateAll) continue;
    for (const task of replicas) {
      task.claim!.stopGraceS = 0;
      task.isRelocating = true;
      claimTable.log('replica relocated', { task: task.name, machine: m.name });
    }
    return replicas;
  }
  return [];
}

function* spareCapacityIn(
  claimTable: ClaimView,
  freeByMachine: ReadonlyMap<Machine, Resources>,
  now: number,
): Generator<SpareCapacity> {
  for (const [m, free] of freeByMachine) {
    if (m.spot || claimTable.nextHeartbeatInMs(m, now) > 0) continue;
    yield { type: m.type, zone: m.zone, spot: m.spot, free, images: m.cache.images() };
  }
}

function preempt(claimTable: ClaimView, victim: TaskEntry, task: TaskEntry): void {
  const spec = victim.job.spec;
  // A service must not wait for a save; between batch jobs the saved work is worth the time.
  victim.claim!.stopGraceS = task.job.spec.kind === 'array' && spec.checkpointS > 0 ? spec.saveS * SAVE_SLACK : 0;
  claimTable.log('task preempted', { task: victim.name, machine: victim.claim!.machine.name, for: task.name });
}
