// How many tasks a team's limit and guarantee allow.
import type { Team } from './cluster-config';
import { countFittingAmount, type Resources } from './resources';

/** Whether the team has no guarantee, so that its work only uses resources that other teams leave. */
export function hasNoGuarantee({ cpus, gpus }: Team): boolean {
  return cpus <= 0 && gpus <= 0;
}

/** How many more tasks of this size a team's limit allows, given what it uses; Infinity if unlimited. */
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
 * How many more tasks of this size fit into a team's guarantee, given what it uses. Resources without a guarantee are
 * ignored; the result is 0 for a task that needs none of the guaranteed resources.
 */
export function countWithinGuarantee(team: Team, used: Resources, need: Resources): number {
  const count = Math.min(
    countWithinAmount(team.cpus, used.cpus, need.cpus),
    countWithinAmount(team.gpus, used.gpus, need.gpus),
  );
  return count === Infinity ? 0 : Math.max(0, count);
}

/** How many more times `need` fits into the rest of one resource; Infinity if `total` is not set or `need` is 0. */
function countWithinAmount(total: number, used: number, need: number): number {
  return total <= 0 ? Infinity : countFittingAmount(need, total - used);
}
