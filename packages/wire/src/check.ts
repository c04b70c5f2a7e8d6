import { type Static, type TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import { MalformedMessageError } from './codec';

/** Compiles a schema into a function that returns the typed value or throws a `Malformed` naming the first bad field. */
export function checker<T extends TSchema>(schema: T): (value: unknown) => Static<T> {
  // Compiling generates code, so it waits until the first message of its kind: start-up time is scarce.
  let compiled: ReturnType<typeof TypeCompiler.Compile<T>> | undefined;
  return (value) => {
    compiled ??= TypeCompiler.Compile(schema);
    if (compiled.Check(value)) return value;
    const error = compiled.Errors(value).First();
    throw new MalformedMessageError(error?.path.slice(1).replaceAll('/', '.') ?? '', error?.message ?? 'invalid');
  };
}
