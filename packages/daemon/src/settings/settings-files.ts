// Reads and parses settings files. Their content is checked elsewhere.
import { readFileSync } from 'node:fs';
import { errorMessage } from '@gingerlock/wire';
import { parse as parseYaml } from 'yaml';
import { SettingsError } from './settings-error';

/**
 * Reads a JSON file.
 * @param file name of the file in messages
 * @throws SettingsError if it can't be read or parsed
 */
export function readJsonFile(path: string, file: string): unknown {
  return readAndParse(path, file, (text) => JSON.parse(text) as unknown);
}

/** Reads a YAML file; otherwise like `readJsonFile`. */
export function readYamlFile(path: string, file: string): unknown {
  return readAndParse(path, file, (text) => parseYaml(text) as unknown);
}

function readAndParse(path: string, file: string, parse: (text: string) => unknown): unknown {
  const text = readText(path, file);
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: ${path}: ${errorMessage(error, 'can not be parsed')}`, { cause: error });
  }
}

function readText(path: string, file: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: can not read ${path}: ${errorMessage(error, 'failed')}`, { cause: error });
  }
}
