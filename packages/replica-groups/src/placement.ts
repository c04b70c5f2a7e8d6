// Machines for all members of a replica group at once, or what is missing. Members are alike, so the choice is exact: if there is any
// placement within the zones' bounds, one is found.
import type { GroupCandidate, GroupChoice, Job } from '@gingerlock/core';

/** Machines for the job's members: in one zone, spread over zones, or anywhere, as the job asks; those of least cost. */
export function chooseMachines(
  { spec }: Job,
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
  avoid: string | null,
): GroupChoice {
  const open = spec.zone === null ? zones : [spec.zone];
  const choose = (among: readonly string[]): GroupChoice => chooseAvoiding(spec, candidates, among, avoid);
  if (!spec.oneZone) return choose(open);
  // The zone that lacks least; of those that lack nothing, the one of least cost.
  const choices = open.map((zone) => choose([zone]));
  const best = choices.reduce<GroupChoice | null>((least, choice) => (isBetter(choice, least) ? choice : least), null);
  return best ?? { chosen: [], missing: spec.tasks, zones: open, cost: 0 };
}

function isBetter(a: GroupChoice, b: GroupChoice | null): boolean {
  return b === null || a.missing < b.missing || (a.missing === b.missing && a.cost < b.cost);
}

/** The machine for which the last generation ended is taken only where there is no whole placement without it. */
function chooseAvoiding(
  spec: Job['spec'],
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
  avoid: string | null,
): GroupChoice {
  const without = candidates.filter(({ machine }) => machine !== avoid);
  const choice = chooseIn(spec, without, zones);
  if (choice.missing === 0 || without.length === candidates.length) return choice;
  const withIt = chooseIn(spec, candidates, zones);
  return withIt.missing === 0 ? withIt : choice;
}

function chooseIn(
  { tasks, spread }: Job['spec'],
  candidates: readonly GroupCandidate[],
  zones: readonly string[],
): GroupChoice {
  const perZone = spread ? Math.ceil(tasks / 2) : tasks;
  const counts = new Map<string, number>(zones.map((zone) => [zone, 0]));
  const chosen: GroupCandidate[] = [];
  const byCost = [...candidates].sort((a, b) => a.cost - b.cost || (a.machine < b.machine ? -1 : 1));
  for (const candidate of byCost) {
    const inZone = counts.get(candidate.zone);
    if (inZone === undefined) continue;
    const taken = Math.min(candidate.capacity, perZone - inZone, tasks - chosen.length);
    for (let i = 0; i < taken; i++) chosen.push(candidate);
    counts.set(candidate.zone, inZone + taken);
  }
  return {
    chosen,
    missing: tasks - chosen.length,
    zones: zones.filter((zone) => counts.get(zone)! < perZone),
    cost: chosen.reduce((most, { cost }) => Math.max(most, cost), 0),
  };
}
