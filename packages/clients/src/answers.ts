// Decodes the answers of services. An answer that can't be decoded counts as none, and the request is repeated.
import { decode, errorMessage, MalformedMessageError, OversizedMessageError } from '@gingerlock/wire';
import type { HttpResponse } from './ports';

/**
 * Decodes an answer and reads its fields.
 * @param request method, service and path, for the message of the error
 * @param read returns the fields of the decoded body, or throws
 * @throws OversizedMessageError if the answer would take too much memory
 * @throws MalformedMessageError naming the request, the size of the answer and the reason
 */
export function readAnswer<T>(request: string, { body }: HttpResponse, read: (value: unknown) => T): T {
  try {
    return read(decode(body));
  } catch (error) {
    if (error instanceof OversizedMessageError) throw error;
    const reason = errorMessage(error, 'unreadable');
    throw new MalformedMessageError('', `${request}: malformed answer of ${body.length} bytes: ${reason}`, {
      cause: error,
    });
  }
}
