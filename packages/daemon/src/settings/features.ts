// The features that are built on the scheduler and switched on by name in a file of their own (deploy/features.yaml):
// its schema, and the mapping of its keys to the code's names. Without the file, or with a feature off, nothing
// differs.
import { BORROWING_DEFAULTS, type BorrowingSettings } from '@gingerlock/borrowing';
import { REPLICA_GROUP_DEFAULTS, type ReplicaGroupSettings } from '@gingerlock/replica-groups';
import { type Static, Type } from '@sinclair/typebox';
import type { ClusterConfig } from '@gingerlock/core';
import type { PlatformFile } from './platform-settings';
import { checkSettings, SettingsError } from './settings-error';

const FeaturesFile = Type.Object(
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

/** The file of features as it is written. */
type FeaturesFile = Static<typeof FeaturesFile>;

type Teams = PlatformFile['facts']['teams'];

/** The settings of each feature; null: it is off. */
export interface Features {
  readonly borrowing: BorrowingSettings | null;
  readonly replicaGroups: ReplicaGroupSettings | null;
}

/**
 * Checks the file of features against its schema and against the platform's settings; null and undefined are an empty
 * file.
 * @param knownClasses the classes of jobs that the platform names; null: it names none
 * @throws SettingsError naming the first key that is wrong
 */
export function checkFeatures(value: unknown, teams: Teams, knownClasses: ReadonlySet<string> | null): Features {
  const file = checkSettings(FeaturesFile, value ?? {}, 'features');
  const features = featuresOf(file);
  const declaredClasses = features.replicaGroups === null ? [] : file.replica_groups!.classes;
  const classFault = findClassFault(declaredClasses, knownClasses);
  if (classFault !== null) throw new SettingsError(`features: ${classFault}`);
  const teamFault = features.borrowing === null ? null : findTeamFault(teams);
  if (teamFault !== null) throw new SettingsError(`settings: ${teamFault}, which borrowing can not work with`);
  return features;
}

/** Maps the file of features to the code's names, and fills in the defaults. */
export function featuresOf({ borrowing, replica_groups: replicaGroups }: FeaturesFile): Features {
  return {
    borrowing: borrowing?.enabled === true ? borrowingOf(borrowing) : null,
    replicaGroups: replicaGroups?.enabled === true ? replicaGroupsOf(replicaGroups) : null,
  };
}

function borrowingOf({ max_share: maxShare }: NonNullable<FeaturesFile['borrowing']>): BorrowingSettings {
  return { maxShare: maxShare ?? BORROWING_DEFAULTS.maxShare };
}

function replicaGroupsOf(file: NonNullable<FeaturesFile['replica_groups']>): ReplicaGroupSettings {
  return {
    classes: new Set(file.classes),
    holdIntervals: file.hold_reports ?? REPLICA_GROUP_DEFAULTS.holdIntervals,
    startFetches: file.start_fetches ?? REPLICA_GROUP_DEFAULTS.startFetches,
    backoffIntervals: file.backoff_reports ?? REPLICA_GROUP_DEFAULTS.backoffIntervals,
    serveLeaseShare: file.serve_lease_share ?? REPLICA_GROUP_DEFAULTS.serveLeaseShare,
  };
}

/** What is wrong with the classes that are declared as replica groups, as path and reason; null: nothing. */
function findClassFault(classes: readonly string[], knownClasses: ReadonlySet<string> | null): string | null {
  for (const [i, name] of classes.entries()) {
    const path = `replica_groups.classes.${i}`;
    if (classes.indexOf(name) !== i) return `${path}: ${name} stands twice`;
    if (knownClasses !== null && !knownClasses.has(name))
      return `${path}: the platform's settings have no class ${name}`;
  }
  return null;
}

/** Which of the platform's teams borrowing can't work with, as path and reason; null: none. */
function findTeamFault(teams: Teams): string | null {
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

/** The GPUs that all teams together are guaranteed. */
export function guaranteedGpus({ teams }: ClusterConfig): number {
  return [...teams.values()].reduce((sum, team) => sum + team.gpus, 0);
}
