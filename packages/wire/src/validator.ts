// Validation of decoded bodies and stored records against their schemas.
import { type Static, type TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import { MalformedMessageError } from './codec';

/**
 * Returns a function that returns a value with its type if it matches the schema, or throws a `MalformedMessageError`
 * naming the first invalid field.
 */
export function compileValidator<T extends TSchema>(schema: T): (value: unknown) => Static<T> {
  // Compiled at the first use, because compilation generates code and would slow down start-up.
  let compiled: ReturnType<typeof TypeCompiler.Compile<T>> | undefined;
  return (value) => {
    compiled ??= TypeCompiler.Compile(schema);
    if (compiled.Check(value)) return value;
    const error = compiled.Errors(value).First();
    throw new MalformedMessageError(error?.path.slice(1).replaceAll('/', '.') ?? '', error?.message ?? 'invalid');
  };
}
