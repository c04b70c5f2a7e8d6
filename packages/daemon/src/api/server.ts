// The HTTP interface of a controller for users, workers and members of replica groups, without any scheduling logic.
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { MAX_BODY_BYTES, RENDEZVOUS_PATH } from '@gingerlock/wire';
import type { Controller } from '../controller/controller';
import type { Log } from '../controller/log';
import { RefusalLog, type RefusedMessage } from '../controller/refusal-log';
import type { Reply } from './reply';
import { BodyReader, PAYLOAD_TOO_LARGE, RefusedBodyError } from './request-body';

/** Share of the sockets for users and workers. The rest is for the store, the cloud and the peers. */
const SOCKETS_SHARE = 0.85;

/** Above this share of its connection limit, the server closes a worker's connection after each heartbeat. */
const NEAR_LIMIT_SHARE = 0.75;

/**
 * Creates the server, which does not listen yet. `sockets`: how many sockets the process may have open. Requests that
 * are too large or not valid HTTP get 400 without a body; an exception in the controller is logged and gets 503.
 */
export function openServer(controller: Controller, log: Log, sockets: number): FastifyInstance {
  const app = fastify({ logger: false, bodyLimit: MAX_BODY_BYTES, exposeHeadRoutes: false, trustProxy: false });
  const isNearConnectionLimit = limitConnections(app, Math.floor(sockets * SOCKETS_SHARE));
  // Bodies are passed on undecoded, whatever their content type.
  const bodies = new BodyReader(MAX_BODY_BYTES);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', (request, stream, done) => bodies.read(stream, declaredBytes(request), done));
  const refusals = new RefusalLog(log, controller.clock);
  app.setErrorHandler((error: Error & { statusCode?: number }, request, reply) => {
    const status = error.statusCode ?? 500;
    const isClientError = status >= 400 && status < 500;
    if (!isClientError && !(error instanceof RefusedBodyError)) {
      log.error({ error: error.stack }, 'request failed');
      return send(reply, { status: 503, body: null });
    }
    const refused = refusedMessage(request, declaredBytes(request), error.message);
    if (status === PAYLOAD_TOO_LARGE) refusals.tooLarge(refused);
    else refusals.malformed(refused);
    // The rest of a body would have to be read before the next request.
    void reply.header('connection', 'close');
    // Bodies that are too large or truncated count as malformed.
    return send(reply, { status: isClientError ? 400 : status, body: null });
  });
  addRoutes(app, controller, isNearConnectionLimit, refusals);
  return app;
}

/**
 * Limits the connections of the server. Returns a function that tells whether `NEAR_LIMIT_SHARE` is exceeded now.
 */
function limitConnections(app: FastifyInstance, maxConnections: number): () => boolean {
  let connections = 0;
  app.server.maxConnections = maxConnections;
  app.server.on('connection', (socket) => {
    connections++;
    socket.once('close', () => connections--);
  });
  return () => connections > maxConnections * NEAR_LIMIT_SHARE;
}

function addRoutes(
  app: FastifyInstance,
  controller: Controller,
  isNearConnectionLimit: () => boolean,
  refusals: RefusalLog,
): void {
  /** Sends the answer to a request whose body the controller has decoded. */
  const sendDecoded = (request: FastifyRequest, reply: FastifyReply, answer: Reply): FastifyReply => {
    const { malformedReason } = answer;
    if (malformedReason !== undefined)
      refusals.malformed(refusedMessage(request, bodyOf(request.body).length, malformedReason));
    return send(reply, answer);
  };
  app.get('/up', (_request, reply) => send(reply, controller.up()));
  app.post('/checkin', async (request, reply) => {
    const answer = await controller.checkin(bodyOf(request.body));
    // If there are more workers than sockets, connections that stay open would lock out the remaining workers.
    if (isNearConnectionLimit()) void reply.header('connection', 'close');
    return sendDecoded(request, reply, answer);
  });
  app.post('/submissions', async (request, reply) =>
    sendDecoded(request, reply, await controller.submit(bodyOf(request.body))),
  );
  app.get('/submissions/:id', async (request, reply) => send(reply, await controller.poll(idIn(request.params))));
  app.post('/submissions/:id/cancel', async (request, reply) =>
    send(reply, await controller.cancel(idIn(request.params))),
  );
  const { rendezvous } = controller;
  if (rendezvous !== null)
    app.post(RENDEZVOUS_PATH, async (request, reply) =>
      sendDecoded(request, reply, await rendezvous.ask(bodyOf(request.body))),
    );
}

/** The length that a request declares for its body, in bytes; NaN if it declares none. */
function declaredBytes(request: FastifyRequest): number {
  return Number(request.headers['content-length'] ?? NaN);
}

function refusedMessage(request: FastifyRequest, bytes: number, reason: string): RefusedMessage {
  const path = request.routeOptions.url ?? 'unknown path';
  return { path, from: request.ip, bytes: Number.isNaN(bytes) ? null : bytes, reason };
}

/** The body of a request; empty if it has none. */
function bodyOf(body: unknown): Buffer {
  return Buffer.isBuffer(body) ? body : Buffer.alloc(0);
}

function idIn(params: unknown): string {
  return (params as { id: string }).id;
}

function send(reply: FastifyReply, answer: Reply): FastifyReply {
  void reply.code(answer.status);
  if (answer.retryAfterS !== undefined) void reply.header('retry-after', String(answer.retryAfterS));
  if (answer.body === null) return reply.send();
  return reply.header('content-type', 'application/msgpack').send(answer.body);
}
