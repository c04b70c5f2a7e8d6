// What the owner of a partition plans for the coming heartbeats: which machine would take which waiting task, what is
// preempted for it, and which machines are asked for a heartbeat at once.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import { addResources, fitsIn, NO_RESOURCES, type Resources, subtractResources } from '../cluster/resources';
import { bestPlacement, type PlacementContext } from './placement';
import { leastVictims, preempt } from './preemption';

/** What planning all waiting tasks of a partition has led to. */
export interface PlacementPlan {
  /** By machine that takes work: what the planned tasks leave free. */
  readonly freeByMachine: Map<Machine, Resources>;
  /** Tasks that no machine of this partition can take. */
  readonly unschedulable: TaskEntry[];
  /** Tasks that were preempted and are to be stopped. */
  readonly stopped: TaskEntry[];
}

/** A planning run: what it has placed so far is counted in. */
interface PlanningRun extends PlacementContext {
  readonly freeByMachine: Map<Machine, Resources>;
  readonly preempted: Set<TaskEntry>;
}

/**
 * Packs the waiting tasks into the machines' free resources as the coming heartbeats would, preempting work of lower
 * priority where that is the soonest. Sets the plan of each waiting task.
 */
export function planPlacements(claimTable: ClaimView, now: number): PlacementPlan {
  const freeByMachine = plannableResources(claimTable, now);
  const run: PlanningRun = { claimTable, freeByMachine, preempted: new Set(), now };
  const unschedulable: TaskEntry[] = [];
  for (const job of claimTable.wakes()) {
    for (const task of claimTable.waitingTasks(job)) {
      task.plan = null;
      if (job.isGroup) planGroupMember(run, task);
      else if (!planTask(run, task)) unschedulable.push(task);
    }
  }
  const stopped = [...run.preempted].filter((task) => task.claim?.stopGraceS !== null);
  return { freeByMachine, unschedulable, stopped };
}

/** By machine that takes work: what is free, or will be soon, and is not reserved. */
function plannableResources(claimTable: ClaimView, now: number): Map<Machine, Resources> {
  const freeByMachine = new Map<Machine, Resources>();
  for (const machine of claimTable.machines.values()) {
    if (!claimTable.mayTakeWork(machine, now)) continue;
    let available = claimTable.freeResources(machine);
    // What is stopping is free soon: counted now, so that nothing more is preempted for the same task.
    for (const task of machine.claims.values())
      if (task.claim!.stopGraceS !== null) available = addResources(available, task.job.spec);
    freeByMachine.set(machine, subtractResources(available, claimTable.reservations.reservedOn(machine.name)));
  }
  return freeByMachine;
}

/** Plans a task that is in no replica group; false: it may start, and no machine of this partition can take it. */
function planTask(run: PlanningRun, task: TaskEntry): boolean {
  const { claimTable, freeByMachine, now } = run;
  // It is held back, and returned to the leader in time: no machine is kept or asked for.
  if (!claimTable.mayStart(task)) return true;
  task.plan = reservedPlacement(run, task);
  if (task.plan !== null) return true;
  const placement = bestPlacement(run, task);
  if (placement === null) return false;
  task.plan = placement;
  const available = addVictims(run, placement.victims, freeByMachine.get(placement.machine)!);
  freeByMachine.set(placement.machine, subtractResources(available, task.job.spec));
  if (task.notBefore <= now) for (const victim of placement.victims) preempt(claimTable, victim, task);
  return true;
}

/** Counts the victims as preempted; returns what is available with what they hold. */
function addVictims(run: PlanningRun, victims: readonly TaskEntry[], available: Resources): Resources {
  for (const victim of victims) run.preempted.add(victim);
  return victims.reduce((sum, victim) => addResources(sum, victim.job.spec), available);
}

/**
 * Plans a member of a replica group: it waits for the machine on which resources are reserved for it, and for no other.
 * Where these are not free yet, work of lower priority is preempted, if that is enough.
 */
function planGroupMember(run: PlanningRun, task: TaskEntry): void {
  const { claimTable, freeByMachine, preempted } = run;
  task.plan = reservedPlacement(run, task);
  if (task.plan === null || !claimTable.preempts) return;
  const { machine } = task.plan;
  // The reservation is subtracted already: it is covered if nothing is lacking.
  const available = freeByMachine.get(machine)!;
  if (fitsIn(NO_RESOURCES, available)) return;
  const victims = leastVictims(machine, task, available, preempted, NO_RESOURCES);
  if (victims === null) return;
  freeByMachine.set(machine, addVictims(run, victims, available));
  for (const victim of victims) preempt(claimTable, victim, task);
}

/** The machine on which resources are reserved for the task; null: there is none, or it takes no work now. */
function reservedPlacement({ claimTable, freeByMachine }: PlanningRun, task: TaskEntry): PlannedPlacement | null {
  const name = claimTable.reservations.reservedMachineFor(task.name);
  const machine = name === null ? undefined : claimTable.machines.get(name);
  return machine === undefined || !freeByMachine.has(machine) ? null : { machine, startsInMs: 0, victims: [] };
}

/**
 * The machines that waiting tasks are planned for, and whose next heartbeat would come later than it could if asked
 * for.
 */
export function machinesToSolicit(claimTable: ClaimView, now: number): Set<Machine> {
  const machines = new Set<Machine>();
  for (const job of claimTable.wakes()) {
    for (const task of claimTable.waitingTasks(job)) {
      const machine = machineToStartOn(claimTable, task, now);
      if (machine === null || !machine.isMember) continue;
      if (claimTable.mayTakeWork(machine, now) && claimTable.mayRequestHeartbeat(machine, now)) machines.add(machine);
    }
  }
  return machines;
}

/** The machine on which the waiting task could start with the next heartbeat, as planned; null: there is none. */
function machineToStartOn(claimTable: ClaimView, task: TaskEntry, now: number): Machine | null {
  const { job, plan } = task;
  if (plan === null || plan.victims.length > 0 || task.notBefore > now) return null;
  if (job.isGroup && !claimTable.members.mayStart(task, plan.machine)) return null;
  // What is reserved for it may not be free yet.
  const isReserved = claimTable.reservations.reservedMachineFor(task.name) !== null;
  return isReserved && !fitsIn(job.spec, claimTable.freeResources(plan.machine)) ? null : plan.machine;
}
