// Chooses the tasks that an owner preempts on a machine for a more urgent one, and marks them to be stopped.
import type { ClaimView } from '../claims/claim-view';
import type { Machine } from '../claims/machine-entry';
import type { TaskEntry } from '../claims/task-entry';
import { addResources, fitsIn, type Resources } from '../cluster/resources';

/** Safety factor on the time that a preempted task's job declares for saving its checkpoint. */
const SAVE_TIME_FACTOR = 1.25;

/**
 * Selects tasks to stop on a machine, the least urgent and latest started first, until `need` fits there; null: it does
 * not fit even if all preemptable tasks stop. Members of replica groups are never preempted. The priority that a job
 * inherits from its dependents protects it from preemption, but does not let it preempt others: otherwise a pipeline
 * whose last job has been submitted would preempt the early jobs of another pipeline, whose last job is submitted a
 * moment later, and both would restart again and again.
 */
export function selectVictims(
  machine: Machine,
  task: TaskEntry,
  free: Resources,
  preempted: ReadonlySet<TaskEntry>,
  need: Resources = task.job.need,
): TaskEntry[] | null {
  const victims: TaskEntry[] = [];
  let available = free;
  for (const candidate of preemptableTasks(machine, task, preempted)) {
    if (fitsIn(need, available)) break;
    victims.push(candidate);
    available = addResources(available, candidate.job.need);
  }
  return fitsIn(need, available) ? victims : null;
}

/** The tasks on a machine that may be preempted for the task, in the order of preemption. */
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

/** Marks the victim to be stopped for the task. */
export function preempt(claimTable: ClaimView, victim: TaskEntry, task: TaskEntry): void {
  const { spec } = victim.job;
  // A service must not wait for a victim's checkpoint; an array task does, as the saved work is worth the time.
  victim.claim!.stopGraceS = task.job.spec.kind === 'array' && spec.checkpointS > 0 ? spec.saveS * SAVE_TIME_FACTOR : 0;
  claimTable.log('task preempted', { task: victim.name, machine: victim.claim!.machine.name, for: task.name });
}
