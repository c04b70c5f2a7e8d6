// What a team's limit and guarantee allow.
import { type Team } from './cluster-config';
import { type Resources, EPSILON } from './resources';

/** Whether nothing is guaranteed to the team: its work takes what others leave. */
export function hasNoGuarantee({ cpus, gpus }: Team): boolean {
  return cpus <= 0 && gpus <= 0;
}

/** How many more tasks of this size a team's limit allows, given what it uses. */
export function countWithinLimit(team: Team, used: Resources, need: Resources): number {
  const left = (max: number, usedOf: number, needOf: number): number =>
    max <= 0 || needOf <= 0 ? Infinity : Math.floor((max - usedOf + EPSILON) / needOf);
  return Math.max(0, Math.min(left(team.cpusMax, used.cpus, need.cpus), left(team.gpusMax, used.gpus, need.gpus)));
}

/**
 * How many more tasks of this size fit into a team's guarantee, given what it uses. A kind of which nothing is guaranteed does not count;
 * a task that takes nothing of the others is within no guarantee.
 */
export function countWithinGuarantee(team: Team, used: Resources, need: Resources): number {
  const left = (guaranteed: number, usedOf: number, needOf: number): number =>
    guaranteed <= 0 || needOf <= 0 ? Infinity : Math.floor((guaranteed - usedOf + EPSILON) / needOf);
  const least = Math.min(left(team.cpus, used.cpus, need.cpus), left(team.gpus, used.gpus, need.gpus));
  return least === Infinity ? 0 : Math.max(0, least);
}
