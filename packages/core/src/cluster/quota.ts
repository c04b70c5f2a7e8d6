// What a team's limit and guarantee allow.
import type { Team } from './cluster-config';
import { countFittingAmount, type Resources } from './resources';

/** Whether nothing is guaranteed to the team: its work uses what others leave. */
export function hasNoGuarantee({ cpus, gpus }: Team): boolean {
  return cpus <= 0 && gpus <= 0;
}

/** How many more tasks of this size a team's limit allows, given what it uses; Infinity: as many as there are. */
export function countWithinLimit(team: Team, used: Resources, need: Resources): number {
  return Math.max(
    0,
    Math.min(
      countWithinAmount(team.cpusMax, used.cpus, need.cpus),
      countWithinAmount(team.gpusMax, used.gpus, need.gpus),
    ),
  );
}

/**
 * How many more tasks of this size fit into a team's guarantee, given what it uses. A kind of which nothing is
 * guaranteed does not count; a task that needs nothing of the others is within no guarantee.
 */
export function countWithinGuarantee(team: Team, used: Resources, need: Resources): number {
  const count = Math.min(
    countWithinAmount(team.cpus, used.cpus, need.cpus),
    countWithinAmount(team.gpus, used.gpus, need.gpus),
  );
  return count === Infinity ? 0 : Math.max(0, count);
}

/**
 * How many more times `need` goes into what is left of one kind; Infinity: nothing is set for it, or none is needed.
 */
function countWithinAmount(total: number, used: number, need: number): number {
  return total <= 0 ? Infinity : countFittingAmount(need, total - used);
}
