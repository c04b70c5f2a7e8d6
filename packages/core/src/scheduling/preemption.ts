// Which tasks an owner preempts on a machine for a more urgent one, and how they are stopped.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { TaskEntry } from '../claims/task-entry';
import { addResources, fitsIn, type Resources } from '../cluster/resources';

/** A preempted task gets a little more time than it says it needs to save its checkpoint. */
const SAVE_SLACK = 1.25;

/**
 * The fewest tasks that have to be stopped on a machine so that what the task needs fits there, the least urgent and
 * latest started first; null: it does not fit even without all that may be stopped. Members of replica groups are
 * never preempted. The priority that a job inherits from the jobs that depend on it protects it, but lets it preempt
 * nobody: otherwise a pipeline whose last job has been submitted would preempt the early jobs of another, whose last
 * job comes a moment later, and all of them would begin again and again.
 */
export function leastVictims(
  machine: Machine,
  task: TaskEntry,
  free: Resources,
  preempted: ReadonlySet<TaskEntry>,
  need: Resources = task.job.spec,
): TaskEntry[] | null {
  const victims: TaskEntry[] = [];
  let available = free;
  for (const candidate of preemptableTasks(machine, task, preempted)) {
    if (fitsIn(need, available)) break;
    victims.push(candidate);
    available = addResources(available, candidate.job.spec);
  }
  return fitsIn(need, available) ? victims : null;
}

/** The tasks on a machine that may be preempted for the task, in the order in which they are. */
function preemptableTasks(machine: Machine, { job }: TaskEntry, preempted: ReadonlySet<TaskEntry>): TaskEntry[] {
  return [...machine.claims.values()]
    .filter(
      (candidate) =>
        candidate.job.effectivePriority > job.ownPriority &&
        !candidate.job.isGroup &&
        candidate.claim!.stopGraceS === null &&
        !preempted.has(candidate),
    )
    .sort((a, b) => b.job.effectivePriority - a.job.effectivePriority || b.claim!.grantedAt - a.claim!.grantedAt);
}

/** Has the victim stopped for the task. */
export function preempt(claimTable: ClaimView, victim: TaskEntry, task: TaskEntry): void {
  const { spec } = victim.job;
  // A service must not wait for a checkpoint; between batch jobs the saved work is worth the time.
  victim.claim!.stopGraceS = task.job.spec.kind === 'array' && spec.checkpointS > 0 ? spec.saveS * SAVE_SLACK : 0;
  claimTable.log('task preempted', { task: victim.name, machine: victim.claim!.machine.name, for: task.name });
}
