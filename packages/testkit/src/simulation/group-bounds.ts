// Computes how long a replica group may take between two states, for audits that check whether it makes progress.
import { featuresOf, settingsOf } from '@gingerlock/daemon';
import { holdBoundMs, longestBackoffMs, type ReplicaGroupSettings, startBoundMs } from '@gingerlock/replica-groups';
import type { JobSpec, MachineType } from '@gingerlock/wire';

/** Returns the settings of replica groups in a parsed features file; null: replica groups are off. */
export function groupSettingsOf(features: unknown): ReplicaGroupSettings | null {
  return featuresOf(features ?? {}).replicaGroups;
}

/** The values that the time bound of a replica group depends on. */
export interface GroupBoundInput {
  readonly settings: ReplicaGroupSettings;
  /** The parsed settings file of any controller. */
  readonly controllerSettings: unknown;
  /** All jobs submitted so far; must contain at least one. */
  readonly jobs: readonly JobSpec[];
  readonly types: readonly MachineType[];
  readonly longestSaveMs: number;
}

/** Returns how long a group may take from one state to the next, including its longest backoff, in milliseconds. */
export function groupBoundMs({ settings, controllerSettings, jobs, types, longestSaveMs }: GroupBoundInput): number {
  const { clusterConfig } = settingsOf(controllerSettings, {});
  const withLargestImage = jobs.reduce((a, b) => (a.imageGb > b.imageGb ? a : b));
  const largest = { ...withLargestImage, kind: 'service' as const };
  const typesByName = new Map(types.map((type) => [type.name, type]));
  return (
    startBoundMs(settings, clusterConfig, largest, typesByName) +
    holdBoundMs(settings, clusterConfig, longestSaveMs / 1000) +
    longestBackoffMs(settings, clusterConfig)
  );
}
