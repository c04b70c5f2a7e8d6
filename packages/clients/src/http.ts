import { Agent, request } from 'node:http';
import { AnswerTooLarge, type Http, type HttpAnswer, NoAnswer } from './ports';

/**
 * Largest answer that is read. A page of a list holds 512 KiB; changes to follow have no limit, and when they are more than this, all is
 * read again by pages.
 */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * HTTP over Node's own client: it is loaded anyway for the server side, while a second one would cost start-up time and
 * memory that a controller does not have.
 */
export function nodeHttp(): Http {
  const agent = new Agent({ keepAlive: true, maxSockets: 8, maxFreeSockets: 4, scheduling: 'lifo' });
  return (addr, method, path, body, timeoutMs) =>
    new Promise<HttpAnswer>((resolve, reject) => {
      const colon = addr.lastIndexOf(':');
      const req = request(
        {
          agent,
          host: addr.slice(0, colon),
          port: Number(addr.slice(colon + 1)),
          method,
          path,
          headers:
            body === null ? {} : { 'content-type': 'application/msgpack', 'content-length': String(body.length) },
        },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (size > MAX_ANSWER_BYTES) req.destroy(new AnswerTooLarge(MAX_ANSWER_BYTES));
            else chunks.push(chunk);
          });
          res.on('end', () => {
            clearTimeout(timer);
            resolve({ status: res.statusCode ?? 0, body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) });
          });
          res.on('error', fail);
          res.on('aborted', () => fail(new NoAnswer('answer cut off')));
        },
      );
      const fail = (error: Error): void => {
        clearTimeout(timer);
        reject(error instanceof NoAnswer ? error : new NoAnswer(error.message));
      };
      const timer = setTimeout(() => req.destroy(new NoAnswer('no answer in time')), timeoutMs);
      req.on('error', fail);
      req.end(body ?? undefined);
    });
}
