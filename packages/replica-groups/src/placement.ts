// Chooses machines for all members of a replica group at once, or finds how many members do not fit. All members need
// the same resources, so the choice is exact: if there is a placement within the limits on zones, it finds one.
import type { GroupCandidate, GroupChoice, Job } from '@gingerlock/core';

/**
 * The machines of least cost for the job's members: in one zone, spread over zones or anywhere, as the job requires.
 * @param avoid a machine that is chosen only if there is no placement without it; null if there is none to avoid
 */
export function chooseMachines(
  { spec }: Job,
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
  avoid: string | null,
): GroupChoice {
  const allowedZones = spec.zone === null ? zones : [spec.zone];
  const choose = (among: readonly string[]): GroupChoice => chooseAvoiding(spec, candidates, among, avoid);
  if (!spec.oneZone) return choose(allowedZones);
  // The zone in which the fewest members find no machine; among equals, the zone of least cost.
  const choices = allowedZones.map((zone) => choose([zone]));
  const best = choices.reduce<GroupChoice | null>((least, choice) => (isBetter(choice, least) ? choice : least), null);
  return best ?? { chosen: [], missing: spec.tasks, zones: allowedZones, cost: 0 };
}

function isBetter(a: GroupChoice, b: GroupChoice | null): boolean {
  return b === null || a.missing < b.missing || (a.missing === b.missing && a.cost < b.cost);
}

function chooseAvoiding(
  spec: Job['spec'],
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
  avoid: string | null,
): GroupChoice {
  const without = candidates.filter(({ machine }) => machine !== avoid);
  const choice = chooseIn(spec, without, zones);
  if (choice.missing === 0 || without.length === candidates.length) return choice;
  const choiceWithAvoided = chooseIn(spec, candidates, zones);
  return choiceWithAvoided.missing === 0 ? choiceWithAvoided : choice;
}

function chooseIn(
  { tasks, spread }: Job['spec'],
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
): GroupChoice {
  const maxPerZone = spread ? Math.ceil(tasks / 2) : tasks;
  const membersByZone = new Map<string, number>(zones.map((zone) => [zone, 0]));
  const chosen: GroupCandidate[] = [];
  const byCost = [...candidates].sort((a, b) => a.costMs - b.costMs || (a.machine < b.machine ? -1 : 1));
  for (const candidate of byCost) {
    const inZone = membersByZone.get(candidate.zone);
    if (inZone === undefined) continue;
    const placed = Math.min(candidate.capacity, maxPerZone - inZone, tasks - chosen.length);
    for (let i = 0; i < placed; i++) chosen.push(candidate);
    membersByZone.set(candidate.zone, inZone + placed);
  }
  return {
    chosen,
    missing: tasks - chosen.length,
    zones: zones.filter((zone) => membersByZone.get(zone)! < maxPerZone),
    cost: chosen.reduce((most, { costMs: cost }) => Math.max(most, cost), 0),
  };
}
