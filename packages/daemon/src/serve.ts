// Runs a controller with the real clock, network and log.
import { nodeHttp, type Clock } from '@gingerlock/clients';
import { TcpLink } from '@gingerlock/peer';
import { Controller } from './controller/controller';
import { openLog } from './controller/log';
import { openServer } from './api/server';
import type { Settings } from './settings/settings';

const realClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  random: () => Math.random(),
};

/** Number of hosts to which connections are kept alive, as a share of the sockets. */
const KEEP_ALIVE_HOSTS_SHARE = 0.12;

/** A peer counts as not alive after this many heartbeat intervals without a message. */
const PEER_SILENCE_INTERVALS = 2;

/** What the log names in place of a path for messages of peers. */
const PEER_PATH = 'peer link';

/**
 * Starts one controller, which runs until the process is killed. Resolves once it serves; rejects if it can't listen.
 */
export async function serve(settings: Settings): Promise<void> {
  const log = openLog(settings.node);
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled rejection'));
  const link = new TcpLink({
    node: settings.node,
    listen: settings.peerListen,
    peers: settings.peers,
    silenceMs: settings.clusterConfig.heartbeatIntervalMs * PEER_SILENCE_INTERVALS,
    log: (message, detail) => log.debug(detail, message),
    onMalformed: (message) => controller.context.refusals.malformed({ path: PEER_PATH, ...message }),
  });
  const controller = new Controller({
    settings,
    clock: realClock,
    http: nodeHttp(Math.floor(settings.sockets * KEEP_ALIVE_HOSTS_SHARE)),
    link,
    log,
  });
  const server = openServer(controller, log, settings.sockets);
  await link.start();
  controller.start();
  await server.listen(listenOptions(settings.clientListen));
  log.info({ clients: settings.clientListen, peers: settings.peerListen }, 'serving');
}

/** Splits `host:port` at the last colon. */
function listenOptions(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
