// An owner's plan for the coming heartbeats of its partition: which machine takes which waiting task, which tasks are
// preempted for it, and which machines are asked for a heartbeat at once.
import type { ClaimView } from '../claims/claim-view';
import { freeAfterForgetting } from '../claims/free-resources';
import type { Machine } from '../claims/machine-entry';
import type { PlannedPlacement, TaskEntry } from '../claims/task-entry';
import { addResources, fitsIn, NO_RESOURCES, type Resources, subtractResources } from '../cluster/resources';
import type { PlacementContext } from './placement';
import { PlacementSearch } from './placement-search';
import { selectVictims, preempt } from './preemption';

/** The plan for all waiting tasks of a partition. */
export interface PlacementPlan {
  /** By machine that takes work: the resources that the planned tasks leave free. */
  readonly freeByMachine: Map<Machine, Resources>;
  /** Tasks that no machine of this partition can take. */
  readonly unschedulable: TaskEntry[];
  /** Preempted tasks that are marked to be stopped. */
  readonly stopped: TaskEntry[];
}

/** The state of a planning run, in which the tasks planned so far are counted. */
interface PlanningRun extends PlacementContext {
  readonly freeByMachine: Map<Machine, Resources>;
  readonly preempted: Set<TaskEntry>;
}

/**
 * Plans the waiting tasks on the machines' free resources as the coming heartbeats would grant them. Preempts work of
 * lower priority where a task would then run soonest. Sets `plan` of each waiting task.
 */
export function planPlacements(claimTable: ClaimView, now: number): PlacementPlan {
  const freeByMachine = plannableResources(claimTable, now);
  const run: PlanningRun = { claimTable, freeByMachine, preempted: new Set(), now };
  const unplacedShapes = new Set<string>();
  const unschedulable: TaskEntry[] = [];
  for (const job of claimTable.wakes()) {
    const search = new PlacementSearch(run, job, unplacedShapes);
    for (const task of claimTable.waitingTasks(job)) {
      task.plan = null;
      if (job.isGroup) planGroupMember(run, task);
      else if (!planTask(run, search, task)) unschedulable.push(task);
    }
  }
  const stopped = [...run.preempted].filter((task) => task.claim?.stopGraceS !== null);
  return { freeByMachine, unschedulable, stopped };
}

/** By machine that takes work: the resources that are free or will be free soon, without the reserved ones. */
function plannableResources(claimTable: ClaimView, now: number): Map<Machine, Resources> {
  const freeByMachine = new Map<Machine, Resources>();
  for (const machine of claimTable.machines.values()) {
    if (!claimTable.mayTakeWork(machine, now)) continue;
    let available = freeAfterForgetting(claimTable.freeResources(machine), machine);
    // Resources of stopping tasks count as free, so that no further task is preempted for the same waiting task.
    for (const task of machine.claims.values())
      if (task.claim!.stopGraceS !== null) available = addResources(available, task.job.need);
    freeByMachine.set(machine, subtractResources(available, claimTable.reservations.reservedOn(machine.name)));
  }
  return freeByMachine;
}

/** Plans a task outside replica groups; returns false if it may start but no machine of this partition fits it. */
function planTask(run: PlanningRun, search: PlacementSearch, task: TaskEntry): boolean {
  const { claimTable, freeByMachine, now } = run;
  // A task that may not start yet needs no machine: it is returned to the leader later.
  if (!claimTable.mayStart(task)) return true;
  task.plan = reservedPlacement(run, task);
  if (task.plan !== null) return true;
  const placement = search.find(task);
  if (placement === null) return false;
  task.plan = placement;
  const available = addVictims(run, placement.victims, freeByMachine.get(placement.machine)!);
  freeByMachine.set(placement.machine, subtractResources(available, task.job.need));
  search.changed(placement.machine);
  if (task.notBefore <= now) for (const victim of placement.victims) preempt(claimTable, victim, task);
  return true;
}

/** Counts the victims as preempted; returns the available resources including theirs. */
function addVictims(run: PlanningRun, victims: readonly TaskEntry[], available: Resources): Resources {
  for (const victim of victims) run.preempted.add(victim);
  return victims.reduce((sum, victim) => addResources(sum, victim.job.need), available);
}

/**
 * Plans a member of a replica group on the machine that has resources reserved for it, the only one that may run it.
 * If these resources are not free yet, preempts work of lower priority there, provided that this frees enough.
 */
function planGroupMember(run: PlanningRun, task: TaskEntry): void {
  const { claimTable, freeByMachine, preempted } = run;
  task.plan = reservedPlacement(run, task);
  if (task.plan === null || !claimTable.preempts) return;
  const { machine } = task.plan;
  // Reservations are already subtracted from `available`: if no resource is negative, they are covered.
  const available = freeByMachine.get(machine)!;
  if (fitsIn(NO_RESOURCES, available)) return;
  const victims = selectVictims(machine, task, available, preempted, NO_RESOURCES);
  if (victims === null) return;
  freeByMachine.set(machine, addVictims(run, victims, available));
  for (const victim of victims) preempt(claimTable, victim, task);
}

/** The placement on the machine with the task's reservation; null: there is none, or it takes no work now. */
function reservedPlacement({ claimTable, freeByMachine }: PlanningRun, task: TaskEntry): PlannedPlacement | null {
  const name = claimTable.reservations.reservedMachineFor(task.name);
  const machine = name === null ? undefined : claimTable.machines.get(name);
  return machine === undefined || !freeByMachine.has(machine) ? null : { machine, startsInMs: 0, victims: [] };
}

/** The machines on which waiting tasks could start and whose next heartbeat would come sooner if requested. */
export function machinesToRequestHeartbeatsFrom(claimTable: ClaimView, now: number): Set<Machine> {
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

/** The planned machine if the waiting task could start there with the next heartbeat; null: it could not. */
function machineToStartOn(claimTable: ClaimView, task: TaskEntry, now: number): Machine | null {
  const { job, plan } = task;
  if (plan === null || plan.victims.length > 0 || task.notBefore > now) return null;
  if (job.isGroup && !claimTable.members.mayStart(task, plan.machine)) return null;
  // The reserved resources may not be free yet.
  const isReserved = claimTable.reservations.reservedMachineFor(task.name) !== null;
  return isReserved && !fitsIn(job.need, claimTable.freeResources(plan.machine)) ? null : plan.machine;
}
