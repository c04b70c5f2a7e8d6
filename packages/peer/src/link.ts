// Messages between controllers over TCP.
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { errorMessage } from '@gingerlock/wire';
import { MalformedPayloadError } from './avro-scanner';
import { frame, frames, MalformedFrameError, MAX_FRAME_BYTES } from './frames';
import { decodePeer, encodePeer, PEER_VERSION, type PeerMessage, type PeerMessages } from './messages';

/** The address on which another controller accepts connections from its peers. */
export interface PeerAddress {
  /** The name of the controller. */
  readonly node: string;
  /** `HOST:PORT`. */
  readonly address: string;
}

/** The interface through which a controller exchanges messages with its peers. The testkit simulates it. */
export interface PeerLink {
  /** The names of all peers. */
  readonly nodes: readonly string[];
  /** Whether a message from that controller has arrived recently. */
  isAlive(node: string): boolean;
  /** The largest accepted message, in bytes. */
  readonly frameBytes: number;
  /** Sends a message, without retry. Returns false if the controller is unreachable or too many bytes are queued. */
  send(node: string, message: PeerMessage): boolean;
  /**
   * Sends messages that are useful only together. Returns false if none was sent because that controller is unreachable
   * or too many bytes are queued for it.
   */
  sendBatch(node: string, messages: readonly PeerMessage[]): boolean;
  /** Called with each received message. */
  onMessage: (from: string, message: PeerMessage) => void;
}

/** The options of a `TcpLink`. */
export interface LinkOptions {
  /** The name of this controller. */
  readonly node: string;
  /** The address on which it accepts connections from its peers, `HOST:PORT`. */
  readonly listen: string;
  readonly peers: readonly PeerAddress[];
  /** A peer counts as dead after no message from it has arrived for this long, in milliseconds. */
  readonly silenceMs: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
  /** Called when a connection is closed because of what arrived on it. */
  readonly onMalformed?: (received: MalformedPeerMessage) => void;
}

/** Bytes that are no message, or a message that does not belong where it arrived. */
export interface MalformedPeerMessage {
  /** The peer's name, or the address of the connection if the peer has not told its name. */
  readonly from: string;
  /** Size that the message declares or has, in bytes. */
  readonly bytes: number;
  readonly reason: string;
}

/**
 * Bytes that may be queued in a socket before further messages are dropped. Dropping is safe because every message is
 * either repeated or may be lost. The last batch may be queued in addition, whatever its size, so that the status of a
 * fleet of any size is sent completely and the messages after it are not dropped.
 */
export const MAX_QUEUED_BYTES = MAX_FRAME_BYTES;

/** Number of checks for received messages per `silenceMs`. */
const CHECKS_PER_SILENCE = 4;

/** A connection is closed after more than this many consecutive checks without a received message. */
const MAX_SILENT_CHECKS = 2 * CHECKS_PER_SILENCE;

/** Delay before the first retry of a failed connection, as a share of `silenceMs`. */
const FIRST_BACKOFF_SHARE = 1 / 16;

/** Largest payload that is accepted before the other side has told who it is, in bytes. */
const MAX_HELLO_BYTES = 1024;

/** A connection whose peer has sent its `Hello`. */
interface Connection {
  readonly socket: Socket;
  /** Steady time (ms) at which the last message arrived. */
  receivedAt: number;
  /** Size of the last batch that was sent. This many bytes may be queued on top of `MAX_QUEUED_BYTES`. */
  batchBytes: number;
}

/** Holds one TCP connection per peer. Of each pair, the controller with the lower name dials. */
export class TcpLink implements PeerLink {
  readonly nodes: readonly string[];
  readonly frameBytes = MAX_FRAME_BYTES;
  onMessage: (from: string, message: PeerMessage) => void = () => undefined;
  /** By node. */
  readonly #connections = new Map<string, Connection>();
  #server: Server | null = null;
  #stopped = false;
  /** Encoded frames by message, because most messages are sent to several peers. */
  readonly #frameByMessage = new WeakMap<PeerMessage, Buffer>();

  constructor(readonly options: LinkOptions) {
    this.nodes = options.peers.map(({ node }) => node);
  }

  /** Starts listening and dialling the peers. Rejects if it can't listen. */
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

  /** Closes all connections permanently. */
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
    if (connection === undefined || !mayQueue(connection, connection.batchBytes)) return false;
    connection.socket.write(this.#frameOf(message));
    return true;
  }

  sendBatch(node: string, messages: readonly PeerMessage[]): boolean {
    const connection = this.#connections.get(node);
    if (connection === undefined || !mayQueue(connection, 0)) return false;
    const framed = messages.map((message) => this.#frameOf(message));
    connection.batchBytes = framed.reduce((sum, bytes) => sum + bytes.length, 0);
    for (const bytes of framed) connection.socket.write(bytes);
    return true;
  }

  #frameOf(message: PeerMessage): Buffer {
    const cached = this.#frameByMessage.get(message);
    if (cached !== undefined) return cached;
    const bytes = frame(encodePeer(message));
    this.#frameByMessage.set(message, bytes);
    return bytes;
  }

  /** Connects to the peer, and reconnects with exponential backoff whenever the connection ends. */
  async #dial(peer: PeerAddress): Promise<void> {
    const [host, port] = splitAddress(peer.address);
    const { silenceMs } = this.options;
    const firstBackoffMs = silenceMs * FIRST_BACKOFF_SHARE;
    for (let backoffMs = firstBackoffMs; !this.#stopped; backoffMs = Math.min(backoffMs * 2, silenceMs)) {
      const socket = createConnection({ host, port });
      const connected = await this.#connectsInTime(socket);
      if (connected) {
        const connectedAt = performance.now();
        await this.#serve(socket, peer.node);
        if (performance.now() - connectedAt > silenceMs) backoffMs = firstBackoffMs;
      } else socket.destroy();
      // Jitter keeps the controllers from reconnecting all at once after a network partition.
      await new Promise((resolve) => setTimeout(resolve, backoffMs * (0.5 + Math.random())));
    }
  }

  /** Whether the socket connects within `silenceMs`. */
  #connectsInTime(socket: Socket): Promise<boolean> {
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

  /**
   * Reads messages until the connection ends.
   * @param expected the node that was dialled; null if the other side dialled
   */
  async #serve(socket: Socket, expected: string | null): Promise<void> {
    let node: string | null = null;
    let connection: Connection | null = null;
    const address = socket.remoteAddress ?? 'unknown';
    socket.setNoDelay(true);
    // A network failure can leave the connection open without an error. The socket's own timeout can't detect that,
    // because sent data resets it too. Checks are counted instead of time: after this process has stalled, the first
    // check runs before the data that has arrived meanwhile is read.
    let silentChecks = 0;
    const silenceTimer = setInterval(() => {
      if (++silentChecks > MAX_SILENT_CHECKS) socket.destroy();
    }, this.options.silenceMs / CHECKS_PER_SILENCE);
    socket.on('error', () => socket.destroy());
    socket.write(frame(encodePeer({ kind: 'Hello', version: PEER_VERSION, node: this.options.node })));
    try {
      const maxBytes = (): number => (node === null ? MAX_HELLO_BYTES : MAX_FRAME_BYTES);
      for await (const payload of frames(socket, maxBytes)) {
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
      this.#connectionFailed(error, node, address);
    } finally {
      clearInterval(silenceTimer);
      socket.destroy();
      if (node !== null && this.#connections.get(node) === connection) this.#connections.delete(node);
    }
  }

  /** Reports why a connection ended: for what arrived, or because it broke. */
  #connectionFailed(error: unknown, node: string | null, address: string): void {
    const { log, onMalformed } = this.options;
    if (error instanceof MalformedFrameError || error instanceof MalformedPayloadError)
      onMalformed?.({ from: node ?? address, bytes: error.payloadBytes, reason: error.message });
    else log('peer connection ended', { peer: node, error: errorMessage(error, 'failed') });
  }

  /** Whether the other side is a known peer with the same version and, if `expected` is set, the dialled one. */
  #accepts({ version, node }: PeerMessages['Hello'], expected: string | null): boolean {
    if (version === PEER_VERSION && this.nodes.includes(node) && (expected ?? node) === node) return true;
    this.options.log('peer refused', { peer: node, version });
    return false;
  }

  /** Makes this socket the connection to the peer, and closes the previous one. */
  #register(node: string, socket: Socket): Connection {
    this.#connections.get(node)?.socket.destroy();
    const connection = { socket, receivedAt: performance.now(), batchBytes: 0 };
    this.#connections.set(node, connection);
    return connection;
  }
}

/** Whether at most `MAX_QUEUED_BYTES` plus `extraBytes` are queued in the open socket. */
function mayQueue({ socket }: Connection, extraBytes: number): boolean {
  return !socket.destroyed && socket.writableLength <= MAX_QUEUED_BYTES + extraBytes;
}

function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
