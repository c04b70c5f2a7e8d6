import { nodeHttp, type Clock } from '@gingerlock/clients';
import { TcpLink } from '@gingerlock/peer';
import { Controller } from './controller/controller';
import { openLog } from './controller/log';
import { openServer } from './api/server';
import type { Settings } from './settings/settings';

const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  random: () => Math.random(),
};

/** Share of the sockets for connections to other hosts that are kept open between two requests. */
const KEEP_ALIVE_HOSTS_SHARE = 0.12;

/** Runs one controller until the process is killed. */
export async function serve(settings: Settings): Promise<void> {
  const log = openLog(settings.node);
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled rejection'));
  const link = new TcpLink({
    node: settings.node,
    listen: settings.peerListen,
    peers: settings.peers,
    silenceMs: settings.clusterConfig.heartbeatIntervalMs * 2,
    log: (message, detail) => log.debug(detail, message),
  });
  const controller = new Controller({
    settings,
    clock: realClock,
    http: nodeHttp(Math.floor(settings.sockets * KEEP_ALIVE_HOSTS_SHARE)),
    link,
    log,
  });
  const app = openServer(controller, log, settings.sockets);
  const colon = settings.clientListen.lastIndexOf(':');
  await link.start();
  controller.start();
  await app.listen({
    host: settings.clientListen.slice(0, colon),
    port: Number(settings.clientListen.slice(colon + 1)),
  });
  log.info({ clients: settings.clientListen, peers: settings.peerListen }, 'serving');
}
