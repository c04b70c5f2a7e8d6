// What is built on the scheduler and switched on by name in a file of its own (deploy/features.yaml). Absent or off, nothing differs.
import { BORROWING_DEFAULTS, type BorrowingSettings } from '@gingerlock/borrowing';
import { REPLICA_GROUP_DEFAULTS, type ReplicaGroupSettings } from '@gingerlock/replica-groups';
import { type Static, Type } from '@sinclair/typebox';
import type { ClusterConfig } from '@gingerlock/core';

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
    replica_groups: Type.Optional(
      Type.Object(
        {
          enabled: Type.Boolean(),
          classes: Type.Array(Type.String({ minLength: 1 }), { minItems: 1 }),
          hold_reports: Type.Optional(Type.Number({ minimum: 2, maximum: 1000 })),
          start_fetches: Type.Optional(Type.Number({ minimum: 1, maximum: 1000 })),
          backoff_reports: Type.Optional(Type.Number({ minimum: 1, maximum: 1000 })),
          serve_lease_share: Type.Optional(Type.Number({ exclusiveMinimum: 0, maximum: 1 })),
        },
        { additionalProperties: false },
      ),
    ),
  },
  { additionalProperties: false },
);

type FeaturesInput = Static<typeof FeaturesFile>;

export interface Features {
  /** Null: off. */
  readonly borrowing: BorrowingSettings | null;
  /** Null: off. */
  readonly replicaGroups: ReplicaGroupSettings | null;
}

export const NO_FEATURES: Features = { borrowing: null, replicaGroups: null };

export function featuresOf({ borrowing, replica_groups: replicaGroups }: FeaturesInput): Features {
  return {
    borrowing: borrowing?.enabled === true ? borrowingOf(borrowing) : null,
    replicaGroups: replicaGroups?.enabled === true ? replicaGroupsOf(replicaGroups) : null,
  };
}

function borrowingOf({ max_share: maxShare }: NonNullable<FeaturesInput['borrowing']>): BorrowingSettings {
  return { maxShare: maxShare ?? BORROWING_DEFAULTS.maxShare };
}

function replicaGroupsOf(file: NonNullable<FeaturesInput['replica_groups']>): ReplicaGroupSettings {
  return {
    classes: new Set(file.classes),
    holdReports: file.hold_reports ?? REPLICA_GROUP_DEFAULTS.holdReports,
    startFetches: file.start_fetches ?? REPLICA_GROUP_DEFAULTS.startFetches,
    backoffReports: file.backoff_reports ?? REPLICA_GROUP_DEFAULTS.backoffReports,
    serveLeaseShare: file.serve_lease_share ?? REPLICA_GROUP_DEFAULTS.serveLeaseShare,
  };
}

/** What is wrong with the classes that are declared as replica groups, as path and reason; null: nothing. `known`: null: not listed. */
export function unfitClasses(classes: readonly string[], known: ReadonlySet<string> | null): string | null {
  for (const [i, name] of classes.entries()) {
    const path = `replica_groups.classes.${i}`;
    if (classes.indexOf(name) !== i) return `${path}: ${name} stands twice`;
    if (known !== null && !known.has(name)) return `${path}: the platform's settings have no class ${name}`;
  }
  return null;
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
export function guaranteedGpus({ teams }: ClusterConfig): number {
  return [...teams.values()].reduce((sum, team) => sum + team.gpus, 0);
}
