// Settings of the optional features: the schema of their file (deploy/features.yaml), and the mapping of its keys to
// the code's names. Features that the file does not enable are off and change nothing.
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

/** Content of the features file. */
type FeaturesFile = Static<typeof FeaturesFile>;

type Teams = PlatformFile['facts']['teams'];

/** The settings of each feature; null if it is off. */
export interface Features {
  readonly borrowing: BorrowingSettings | null;
  readonly replicaGroups: ReplicaGroupSettings | null;
}

/**
 * Checks the features file against its schema and the platform's settings. Null and undefined mean an empty file.
 * @param knownClasses the classes of jobs in the platform's settings; null if these name none, so that any is accepted
 * @throws SettingsError naming the first invalid key
 */
export function checkFeatures(value: unknown, teams: Teams, knownClasses: ReadonlySet<string> | null): Features {
  const file = checkSettings(FeaturesFile, value ?? {}, 'features');
  const features = featuresOf(file);
  const declaredClasses = features.replicaGroups === null ? [] : file.replica_groups!.classes;
  const classFault = findClassFault(declaredClasses, knownClasses);
  if (classFault !== null) throw new SettingsError(`features: ${classFault}`);
  const teamFault = features.borrowing === null ? null : findTeamFault(teams);
  if (teamFault !== null) throw new SettingsError(`settings: ${teamFault}, which borrowing does not support`);
  return features;
}

/** Maps the features file to the code's names, and fills in the defaults. */
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

/** Returns the first invalid class of `replica_groups.classes`, as path and reason, or null if there is none. */
function findClassFault(classes: readonly string[], knownClasses: ReadonlySet<string> | null): string | null {
  for (const [i, name] of classes.entries()) {
    const path = `replica_groups.classes.${i}`;
    if (classes.indexOf(name) !== i) return `${path}: ${name} is listed twice`;
    if (knownClasses !== null && !knownClasses.has(name))
      return `${path}: the platform's settings have no class ${name}`;
  }
  return null;
}

/** Returns the first team setting that borrowing does not support, as path and reason, or null if there is none. */
function findTeamFault(teams: Teams): string | null {
  const names = new Set<string>();
  for (const [i, team] of teams.entries()) {
    const path = `facts.teams.${i}`;
    if (names.has(team.name)) return `${path}.name: ${team.name} is listed twice`;
    names.add(team.name);
    if (team.gpus_max > 0 && team.gpus_max < team.gpus) return `${path}.gpus_max: below the guarantee`;
    if (team.cpus_max > 0 && team.cpus_max < team.cpus) return `${path}.cpus_max: below the guarantee`;
  }
  return null;
}

/** Returns the sum of all teams' guaranteed GPUs. */
export function guaranteedGpus({ teams }: ClusterConfig): number {
  return [...teams.values()].reduce((sum, team) => sum + team.gpus, 0);
}
