// The error of settings that can't be used, and the check of a settings file against its schema.
import { type Static, type TSchema } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { GingerlockError } from '@gingerlock/wire';

/**
 * Settings that can't be used. The message names the file, the path of the key and what is wrong; the command exits
 * with 2.
 */
export class SettingsError extends GingerlockError {
  override readonly name = 'SettingsError';
  override readonly code = 'INVALID_SETTINGS';
}

/**
 * Returns the value with its type if it has the schema's form.
 * @param file what the file is called in messages
 * @throws SettingsError naming the first key that is wrong
 */
export function checkSettings<T extends TSchema>(schema: T, value: unknown, file: string): Static<T> {
  if (Value.Check(schema, value)) return value;
  const error = Value.Errors(schema, value).First();
  const path = error?.path.slice(1).replaceAll('/', '.') ?? '';
  throw new SettingsError(`${file}: ${path === '' ? 'the whole' : path}: ${error?.message ?? 'invalid'}`);
}
