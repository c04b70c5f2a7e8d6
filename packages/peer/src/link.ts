import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { frame, frames, MAX_FRAME_BYTES } from './frames';
import { decodePeer, encodePeer, PEER_VERSION, type PeerMessage } from './messages';

export interface PeerAddress {
  readonly node: string;
  readonly address: string;
}

/** What the controller needs of the link; the testkit has a stand-in. */
export interface PeerLink {
  readonly nodes: readonly string[];
  /** Whether anything has come from that controller lately. */
  alive(node: string): boolean;
  /** The largest message that is taken, in bytes. */
  readonly frameBytes: number;
  /** Sends if the controller can be reached now; false: it was dropped. */
  send(node: string, message: PeerMessage): boolean;
  /** Sends messages that are of use together only: all of them or, if the controller is slow to take what it was sent, none. */
  sendGroup(node: string, messages: readonly PeerMessage[]): boolean;
  onMessage: (from: string, message: PeerMessage) => void;
}

export interface LinkOptions {
  readonly node: string;
  readonly listen: string;
  readonly peers: readonly PeerAddress[];
  /** A peer that was silent for this long is not alive. */
  readonly silenceMs: number;
  readonly log: (message: string, detail: Record<string, unknown>) => void;
}

/**
 * Bytes that may wait in a socket before messages are dropped: they are all repeated or may be lost. A group of messages may wait
 * beside them, whatever its size, so that what a fleet of any size takes is told whole, and what comes after it is not dropped.
 */
export const MAX_QUEUED_BYTES = MAX_FRAME_BYTES;

/** How often, in the time after which a peer counts as silent, it is looked whether a connection still brings anything. */
const CHECKS_PER_SILENCE = 4;

/** A connection that has brought nothing for so many checks in a row is closed. */
const MOST_SILENT_CHECKS = 2 * CHECKS_PER_SILENCE;

interface Connection {
  readonly socket: Socket;
  heardAt: number;
  /** Size of the last group that was sent: so much more may wait in the socket. */
  groupBytes: number;
}

/** One TCP connection per pair of controllers; the one with the lower name dials. */
export class TcpLink implements PeerLink {
  readonly nodes: readonly string[];
  readonly frameBytes = MAX_FRAME_BYTES;
  onMessage: (from: string, message: PeerMessage) => void = () => undefined;
  readonly #connections = new Map<string, Connection>();
  #server: Server | null = null;
  #stopped = false;
  /** Frames of messages that mostly go to several peers, one after the other. */
  readonly #framed = new WeakMap<PeerMessage, Buffer>();

  constructor(readonly options: LinkOptions) {
    this.nodes = options.peers.map((p) => p.node);
  }

  start(): Promise<void> {
    for (const peer of this.options.peers) if (this.options.node < peer.node) void this.#dial(peer);
    const [host, port] = split(this.options.listen);
    const server = createServer((socket) => void this.#serve(socket, null));
    server.maxConnections = this.options.peers.length * 4 + 4;
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  stop(): void {
    this.#stopped = true;
    this.#server?.close();
    for (const c of this.#connections.values()) c.socket.destroy();
  }

  alive(node: string): boolean {
    const c = this.#connections.get(node);
    return c !== undefined && performance.now() - c.heardAt < this.options.silenceMs;
  }

  send(node: string, message: PeerMessage): boolean {
    const c = this.#connections.get(node);
    if (c === undefined || c.socket.destroyed || c.socket.writableLength > MAX_QUEUED_BYTES + c.groupBytes)
      return false;
    c.socket.write(this.#frameOf(message));
    return true;
  }

  sendGroup(node: string, messages: readonly PeerMessage[]): boolean {
    const c = this.#connections.get(node);
    if (c === undefined || c.socket.destroyed || c.socket.writableLength > MAX_QUEUED_BYTES) return false;
    const framed = messages.map((message) => this.#frameOf(message));
    c.groupBytes = framed.reduce((sum, bytes) => sum + bytes.length, 0);
    for (const bytes of framed) c.socket.write(bytes);
    return true;
  }

  #frameOf(message: PeerMessage): Buffer {
    const known = this.#framed.get(message);
    if (known !== undefined) return known;
    const bytes = frame(encodePeer(message));
    this.#framed.set(message, bytes);
    return bytes;
  }

  async #dial(peer: PeerAddress): Promise<void> {
    const [host, port] = split(peer.address);
    for (
      let backoff = this.options.silenceMs / 16;
      !this.#stopped;
      backoff = Math.min(backoff * 2, this.options.silenceMs)
    ) {
      const socket = createConnection({ host, port });
      const connected = await this.#connected(socket);
      if (connected) {
        const since = performance.now();
        await this.#serve(socket, peer.node);
        if (performance.now() - since > this.options.silenceMs) backoff = this.options.silenceMs / 16;
      } else socket.destroy();
      // Jitter: after a cut all links come back, but not at once.
      await new Promise((resolve) => setTimeout(resolve, backoff * (0.5 + Math.random())));
    }
  }

  #connected(socket: Socket): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), this.options.silenceMs);
      const settle = (ok: boolean): void => {
        clearTimeout(timer);
        resolve(ok);
      };
      socket.once('connect', () => settle(true));
      socket.once('error', () => settle(false));
    });
  }

  async #serve(socket: Socket, expected: string | null): Promise<void> {
    let node: string | null = null;
    let connection: Connection | null = null;
    socket.setNoDelay(true);
    // A cut leaves connections that hang without an error. A timeout of the socket counts what is sent as well as what comes: while
    // messages went out, a connection of which the other end was gone stood until the system gave it up. Checks are counted rather
    // than time: after a stall of this process the first one runs before what has come is read.
    let silentChecks = 0;
    const watch = setInterval(() => {
      if (++silentChecks > MOST_SILENT_CHECKS) socket.destroy();
    }, this.options.silenceMs / CHECKS_PER_SILENCE);
    socket.on('error', () => socket.destroy());
    socket.write(frame(encodePeer({ kind: 'Hello', version: PEER_VERSION, node: this.options.node })));
    try {
      for await (const payload of frames(socket)) {
        silentChecks = 0;
        const message = decodePeer(payload);
        if (message.kind === 'Hello') {
          if (
            message.version !== PEER_VERSION ||
            !this.nodes.includes(message.node) ||
            (expected ?? message.node) !== message.node
          ) {
            this.options.log('peer refused', { peer: message.node, version: message.version });
            break;
          }
          node = message.node;
          this.#connections.get(node)?.socket.destroy();
          connection = { socket, heardAt: performance.now(), groupBytes: 0 };
          this.#connections.set(node, connection);
          this.onMessage(node, message);
          continue;
        }
        if (node === null || connection === null) break;
        connection.heardAt = performance.now();
        this.onMessage(node, message);
      }
    } catch (error) {
      this.options.log('peer connection ended', {
        peer: node,
        error: error instanceof Error ? error.message : 'failed',
      });
    } finally {
      clearInterval(watch);
      socket.destroy();
      if (node !== null && this.#connections.get(node) === connection) this.#connections.delete(node);
    }
  }
}

function split(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
