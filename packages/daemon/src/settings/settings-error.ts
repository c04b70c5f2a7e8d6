// The error for invalid settings, and the check of a settings file against its schema.
import { type Static, type TSchema } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { GingerlockError } from '@gingerlock/wire';

/**
 * Settings that are invalid or can't be read. The message names the file, the path of the key and the reason; the
 * command exits with status 2.
 */
export class SettingsError extends GingerlockError {
  override readonly name = 'SettingsError';
  override readonly code = 'INVALID_SETTINGS';
}

/**
 * Returns the value with its type if it matches the schema.
 * @param file name of the file in messages
 * @throws SettingsError naming the first invalid key
 */
export function checkSettings<T extends TSchema>(schema: T, value: unknown, file: string): Static<T> {
  if (Value.Check(schema, value)) return value;
  const error = Value.Errors(schema, value).First();
  const path = error?.path.slice(1).replaceAll('/', '.') ?? '';
  throw new SettingsError(`${file}: ${path === '' ? 'the whole' : path}: ${error?.message ?? 'invalid'}`);
}
