// What is built on the scheduler and switched on by name in a file of its own (deploy/features.yaml). Absent or off, nothing differs.
import { BORROWING_DEFAULTS, type BorrowingSettings } from '@gingerlock/borrowing';
import { Type } from '@sinclair/typebox';
import type { Facts } from '@gingerlock/core';

export const FeaturesFile = Type.Object(
  {
    borrowing: Type.Optional(
      Type.Object(
        {
          enabled: Type.Boolean(),
          max_share: Type.Optional(Type.Number({ exclusiveMinimum: 0, maximum: 1 })),
        },
        { additionalProperties: false },
      ),
    ),
  },
  { additionalProperties: false },
);

interface FeaturesInput {
  readonly borrowing?: { readonly enabled: boolean; readonly max_share?: number };
}

export interface Features {
  /** Null: off. */
  readonly borrowing: BorrowingSettings | null;
}

export const NO_FEATURES: Features = { borrowing: null };

export function featuresOf({ borrowing }: FeaturesInput): Features {
  if (borrowing?.enabled !== true) return NO_FEATURES;
  return { borrowing: { maxShare: borrowing.max_share ?? BORROWING_DEFAULTS.maxShare } };
}

/** What of the platform's settings borrowing can not work with, as path and reason; null: nothing. */
export function unfitForBorrowing(
  teams: readonly { name: string; cpus: number; cpus_max: number; gpus: number; gpus_max: number }[],
): string | null {
  const names = new Set<string>();
  for (const [i, team] of teams.entries()) {
    const path = `facts.teams.${i}`;
    if (names.has(team.name)) return `${path}.name: ${team.name} stands twice`;
    names.add(team.name);
    if (team.gpus_max > 0 && team.gpus_max < team.gpus) return `${path}.gpus_max: below the guarantee`;
    if (team.cpus_max > 0 && team.cpus_max < team.cpus) return `${path}.cpus_max: below the guarantee`;
  }
  return null;
}

/** What all teams together are guaranteed. */
export function guaranteedGpus({ teams }: Facts): number {
  return [...teams.values()].reduce((sum, team) => sum + team.gpus, 0);
}
