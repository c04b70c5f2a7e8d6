// All settings of a controller, combined from the files of the platform, the operators and the features.
import { getHeapStatistics } from 'node:v8';
import { checkFeatures, type Features } from './features';
import { type OperatorSettings, operatorSettingsOf } from './operator-settings';
import { checkPlatformFile, knownClassesOf, type PlatformSettings, platformSettingsOf } from './platform-settings';
import { readJsonFile, readYamlFile } from './settings-files';

export { OPERATOR_DEFAULTS, type OperatorSettings } from './operator-settings';
export { SettingsError } from './settings-error';

/** All settings of a controller. They don't change while it runs. */
export interface Settings extends PlatformSettings {
  readonly operators: OperatorSettings;
  readonly features: Features;
}

/**
 * Checks and combines the contents of the three files. Null and undefined mean an empty file, except for the platform's
 * file, which is required. `heapBytes`: the limit of this process's heap.
 * @throws SettingsError naming the file, the key and the reason
 */
export function settingsOf(
  platform: unknown,
  operators: unknown,
  features: unknown = {},
  heapBytes = Infinity,
): Settings {
  const platformFile = checkPlatformFile(platform);
  const operatorSettings = operatorSettingsOf(operators);
  return {
    ...platformSettingsOf(platformFile, heapBytes),
    operators: operatorSettings,
    features: checkFeatures(features, platformFile.facts.teams, knownClassesOf(platformFile)),
  };
}

/** Paths of the settings files; null if there is no such file. */
export interface SettingsPaths {
  /** JSON file. */
  readonly platform: string;
  /** YAML file. */
  readonly operators: string | null;
  /** YAML file. */
  readonly features: string | null;
}

/**
 * Reads and checks all settings.
 * @throws SettingsError naming the file, the key and the reason
 */
export function loadSettings(paths: SettingsPaths): Settings {
  const platform = readJsonFile(paths.platform, 'settings');
  const operators = paths.operators === null ? {} : readYamlFile(paths.operators, "operators' settings");
  const features = paths.features === null ? {} : readYamlFile(paths.features, 'features');
  return settingsOf(platform, operators, features, getHeapStatistics().heap_size_limit);
}
