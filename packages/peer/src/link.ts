// The link between controllers over TCP.
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { errorMessage } from '@gingerlock/wire';
import { frame, frames, MAX_FRAME_BYTES } from './frames';
import { decodePeer, encodePeer, PEER_VERSION, type PeerMessage, type PeerMessages } from './messages';

/** Where another controller listens for its peers. */
export interface PeerAddress {
  /** The name of the controller. */
  readonly node: string;
  /** `HOST:PORT`. */
  readonly address: string;
}

/** The port through which a controller reaches its peers; the testkit implements it in simulated time. */
export interface PeerLink {
  /** The names of all peers. */
  readonly nodes: readonly string[];
  /** Whether a message of that controller has arrived lately. */
  isAlive(node: string): boolean;
  /** The largest message that is accepted, in bytes. */
  readonly frameBytes: number;
  /** Sends a message; false: it was dropped, as the controller can't be reached now. Nothing is sent again. */
  send(node: string, message: PeerMessage): boolean;
  /**
   * Sends messages that are useful only together: all of them or, if too much waits to be sent to that controller,
   * none.
   */
  sendGroup(node: string, messages: readonly PeerMessage[]): boolean;
  /** Called with each message that arrives. */
  onMessage: (from: string, message: PeerMessage) => void;
}

/** The options of a `TcpLink`. */
export interface LinkOptions {
  /** The name of this controller. */
  readonly node: string;
  /** Where it listens for its peers, `HOST:PORT`. */
  readonly listen: string;
  readonly peers: readonly PeerAddress[];
  /** A peer that has been silent for this long, in milliseconds, is not alive. */
  readonly silenceMs: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
}

/**
 * Bytes that may wait in a socket before further messages are dropped; all messages are repeated or may be lost. The
 * last group may wait besides, whatever its size, so that the status of a fleet of any size is sent whole and messages
 * after it are not dropped.
 */
export const MAX_QUEUED_BYTES = MAX_FRAME_BYTES;

/** How many checks for silence fall into `silenceMs`. */
const CHECKS_PER_SILENCE = 4;

/** A connection on which nothing arrived for this many checks in a row is closed. */
const MAX_SILENT_CHECKS = 2 * CHECKS_PER_SILENCE;

/** The share of `silenceMs` after which a failed connection is dialled again at first. */
const FIRST_BACKOFF_SHARE = 1 / 16;

/** A connection whose other end has named itself. */
interface Connection {
  readonly socket: Socket;
  /** Steady time (ms) of the last message. */
  receivedAt: number;
  /** Size of the last group that was sent: that much more may wait in the socket. */
  groupBytes: number;
}

/** One TCP connection per pair of controllers; the one with the lower name dials. */
export class TcpLink implements PeerLink {
  readonly nodes: readonly string[];
  readonly frameBytes = MAX_FRAME_BYTES;
  onMessage: (from: string, message: PeerMessage) => void = () => undefined;
  /** By node. */
  readonly #connections = new Map<string, Connection>();
  #server: Server | null = null;
  #stopped = false;
  /** The frames of recent messages: most go to several peers, one after the other. */
  readonly #frameByMessage = new WeakMap<PeerMessage, Buffer>();

  constructor(readonly options: LinkOptions) {
    this.nodes = options.peers.map(({ node }) => node);
  }

  /** Listens and dials the peers. Rejects if it can't listen. */
  start(): Promise<void> {
    for (const peer of this.options.peers) if (this.options.node < peer.node) void this.#dial(peer);
    const [host, port] = splitAddress(this.options.listen);
    const server = createServer((socket) => void this.#serve(socket, null));
    server.maxConnections = this.options.peers.length * 4 + 4;
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  /** Closes all connections for good. */
  stop(): void {
    this.#stopped = true;
    this.#server?.close();
    for (const { socket } of this.#connections.values()) socket.destroy();
  }

  isAlive(node: string): boolean {
    const connection = this.#connections.get(node);
    return connection !== undefined && performance.now() - connection.receivedAt < this.options.silenceMs;
  }

  send(node: string, message: PeerMessage): boolean {
    const connection = this.#connections.get(node);
    if (connection === undefined || !mayQueue(connection, connection.groupBytes)) return false;
    connection.socket.write(this.#frameOf(message));
    return true;
  }

  sendGroup(node: string, messages: readonly PeerMessage[]): boolean {
    const connection = this.#connections.get(node);
    if (connection === undefined || !mayQueue(connection, 0)) return false;
    const framed = messages.map((message) => this.#frameOf(message));
    connection.groupBytes = framed.reduce((sum, bytes) => sum + bytes.length, 0);
    for (const bytes of framed) connection.socket.write(bytes);
    return true;
  }

  #frameOf(message: PeerMessage): Buffer {
    const known = this.#frameByMessage.get(message);
    if (known !== undefined) return known;
    const bytes = frame(encodePeer(message));
    this.#frameByMessage.set(message, bytes);
    return bytes;
  }

  /** Keeps a connection to the peer, with exponential backoff between the attempts. */
  async #dial(peer: PeerAddress): Promise<void> {
    const [host, port] = splitAddress(peer.address);
    const { silenceMs } = this.options;
    const firstBackoffMs = silenceMs * FIRST_BACKOFF_SHARE;
    for (let backoffMs = firstBackoffMs; !this.#stopped; backoffMs = Math.min(backoffMs * 2, silenceMs)) {
      const socket = createConnection({ host, port });
      const connected = await this.#connected(socket);
      if (connected) {
        const connectedAt = performance.now();
        await this.#serve(socket, peer.node);
        if (performance.now() - connectedAt > silenceMs) backoffMs = firstBackoffMs;
      } else socket.destroy();
      // Jitter: after a network partition not all links come back in the same moment.
      await new Promise((resolve) => setTimeout(resolve, backoffMs * (0.5 + Math.random())));
    }
  }

  /** Whether the socket connects in time. */
  #connected(socket: Socket): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), this.options.silenceMs);
      const finish = (isConnected: boolean): void => {
        clearTimeout(timer);
        resolve(isConnected);
      };
      socket.once('connect', () => finish(true));
      socket.once('error', () => finish(false));
    });
  }

  /** Reads messages until the connection ends. `expected`: the node that was dialled; null: the other side dialled. */
  async #serve(socket: Socket, expected: string | null): Promise<void> {
    let node: string | null = null;
    let connection: Connection | null = null;
    socket.setNoDelay(true);
    // A network cut leaves connections that hang without an error. The socket's own timeout would not do: what is sent
    // resets it too. Checks are counted rather than time: after a stall of this process, the first one runs before what
    // has arrived is read.
    let silentChecks = 0;
    const watch = setInterval(() => {
      if (++silentChecks > MAX_SILENT_CHECKS) socket.destroy();
    }, this.options.silenceMs / CHECKS_PER_SILENCE);
    socket.on('error', () => socket.destroy());
    socket.write(frame(encodePeer({ kind: 'Hello', version: PEER_VERSION, node: this.options.node })));
    try {
      for await (const payload of frames(socket)) {
        silentChecks = 0;
        const message = decodePeer(payload);
        if (message.kind === 'Hello') {
          if (!this.#accepts(message, expected)) break;
          node = message.node;
          connection = this.#register(node, socket);
        } else if (node === null || connection === null) break;
        else connection.receivedAt = performance.now();
        this.onMessage(node, message);
      }
    } catch (error) {
      this.options.log('peer connection ended', { peer: node, error: errorMessage(error, 'failed') });
    } finally {
      clearInterval(watch);
      socket.destroy();
      if (node !== null && this.#connections.get(node) === connection) this.#connections.delete(node);
    }
  }

  /** Whether the other side is a peer of this version, and the one that was dialled. */
  #accepts({ version, node }: PeerMessages['Hello'], expected: string | null): boolean {
    if (version === PEER_VERSION && this.nodes.includes(node) && (expected ?? node) === node) return true;
    this.options.log('peer refused', { peer: node, version });
    return false;
  }

  /** Makes this the connection to the peer, in place of an older one. */
  #register(node: string, socket: Socket): Connection {
    this.#connections.get(node)?.socket.destroy();
    const connection = { socket, receivedAt: performance.now(), groupBytes: 0 };
    this.#connections.set(node, connection);
    return connection;
  }
}

/** Whether little enough waits in the socket to add to it; `besidesBytes` more may wait. */
function mayQueue({ socket }: Connection, besidesBytes: number): boolean {
  return !socket.destroyed && socket.writableLength <= MAX_QUEUED_BYTES + besidesBytes;
}

function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
