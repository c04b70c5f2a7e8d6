// Validation of decoded bodies and records against their schemas.
import { type Static, type TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import { MalformedMessageError } from './codec';

/**
 * A function that returns a value with its type if the schema holds, or throws a `MalformedMessageError` naming the
 * first bad field.
 */
export function compileValidator<T extends TSchema>(schema: T): (value: unknown) => Static<T> {
  // Compiling generates code, so it waits until the first message of its kind: start-up time is scarce.
  let compiled: ReturnType<typeof TypeCompiler.Compile<T>> | undefined;
  return (value) => {
    compiled ??= TypeCompiler.Compile(schema);
    if (compiled.Check(value)) return value;
    const error = compiled.Errors(value).First();
    throw new MalformedMessageError(error?.path.slice(1).replaceAll('/', '.') ?? '', error?.message ?? 'invalid');
  };
}
