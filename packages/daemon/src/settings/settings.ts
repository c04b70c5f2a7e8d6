// All settings of a controller, put together from the files of the platform, the operators and the features.
import { checkFeatures, type Features } from './features';
import { type OperatorSettings, operatorSettingsOf } from './operator-settings';
import { checkPlatformFile, knownClassesOf, type PlatformSettings, platformSettingsOf } from './platform-settings';
import { readJsonFile, readYamlFile } from './settings-files';

export { OPERATOR_DEFAULTS, type OperatorSettings } from './operator-settings';
export { SettingsError } from './settings-error';

/** All settings of a controller. They stay the same while it runs. */
export interface Settings extends PlatformSettings {
  readonly operators: OperatorSettings;
  readonly features: Features;
}

/**
 * Checks the contents of the three files and puts them together; null and undefined are an empty file, but for the
 * platform's.
 * @throws SettingsError naming the file, the key and what is wrong
 */
export function settingsOf(platform: unknown, operators: unknown, features: unknown = {}): Settings {
  const platformFile = checkPlatformFile(platform);
  const operatorSettings = operatorSettingsOf(operators);
  return {
    ...platformSettingsOf(platformFile),
    operators: operatorSettings,
    features: checkFeatures(features, platformFile.facts.teams, knownClassesOf(platformFile)),
  };
}

/** The files that hold settings; null: there is no such file. */
export interface SettingsPaths {
  /** JSON. */
  readonly platform: string;
  /** YAML. */
  readonly operators: string | null;
  /** YAML. */
  readonly features: string | null;
}

/**
 * Reads and checks all settings.
 * @throws SettingsError naming the file, the key and what is wrong
 */
export function loadSettings(paths: SettingsPaths): Settings {
  const platform = readJsonFile(paths.platform, 'settings');
  const operators = paths.operators === null ? {} : readYamlFile(paths.operators, "operators' settings");
  const features = paths.features === null ? {} : readYamlFile(paths.features, 'features');
  return settingsOf(platform, operators, features);
}
