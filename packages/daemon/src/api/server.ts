import { fastify, type FastifyInstance, type FastifyReply } from 'fastify';
import { MAX_BODY_BYTES, RENDEZVOUS_PATH } from '@gingerlock/wire';
import type { Controller } from '../controller/controller';
import type { Log } from '../controller/log';
import type { Reply } from './reply';

/** Share of the sockets for users and workers: some stay free for the state service, the cloud and the peers. */
const SOCKETS_SHARE = 0.85;

/** Above this share of the connections that it takes, the server keeps none of workers open between two reports. */
const CROWDED_SHARE = 0.75;

/** The users' and workers' interface. It knows HTTP and nothing else. */
export function openServer(controller: Controller, log: Log, sockets: number): FastifyInstance {
  const app = fastify({ logger: false, bodyLimit: MAX_BODY_BYTES, exposeHeadRoutes: false, trustProxy: false });
  const mostConnections = Math.floor(sockets * SOCKETS_SHARE);
  app.server.maxConnections = mostConnections;
  let connections = 0;
  app.server.on('connection', (socket) => {
    connections++;
    socket.once('close', () => connections--);
  });

  const send = (reply: FastifyReply, answer: Reply): FastifyReply => {
    void reply.code(answer.status);
    if (answer.retryAfterS !== undefined) void reply.header('retry-after', String(answer.retryAfterS));
    if (answer.body === null) return reply.send();
    return reply.header('content-type', 'application/msgpack').send(answer.body);
  };

  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => {
    const status = error.statusCode ?? 500;
    // A body that is too large, or cut off, is malformed to its sender.
    if (status >= 400 && status < 500) return send(reply, { status: 400, body: null });
    log.error({ error: error.stack }, 'request failed');
    return send(reply, { status: 503, body: null });
  });

  const body = (value: unknown): Buffer => (Buffer.isBuffer(value) ? value : Buffer.alloc(0));
  const id = (params: unknown): string => (params as { id: string }).id;

  app.get('/up', (_request, reply) => send(reply, controller.up()));
  app.post('/checkin', async (request, reply) => {
    const answer = await controller.checkin(body(request.body));
    // With more workers than sockets each keeps its connection for one report only: else those that come last never get one.
    if (connections > mostConnections * CROWDED_SHARE) void reply.header('connection', 'close');
    return send(reply, answer);
  });
  app.post('/submissions', async (request, reply) => send(reply, await controller.submit(body(request.body))));
  app.get('/submissions/:id', async (request, reply) => send(reply, await controller.poll(id(request.params))));
  app.post('/submissions/:id/cancel', async (request, reply) =>
    send(reply, await controller.cancel(id(request.params))),
  );
  const { rendezvous } = controller;
  if (rendezvous !== null)
    app.post(RENDEZVOUS_PATH, async (request, reply) => send(reply, await rendezvous.ask(body(request.body))));
  return app;
}
