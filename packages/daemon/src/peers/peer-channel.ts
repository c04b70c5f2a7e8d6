// The link to the other controllers, with the ids of the requests that this process sends over it.
import type { PeerLink, PeerMessage } from '@gingerlock/peer';

/** Sends messages to the other controllers. */
export class PeerChannel {
  #requestCount = 0;

  constructor(
    readonly link: PeerLink,
    /** Identifies this process; each process of a controller has a different value. */
    readonly process: string,
  ) {}

  /** The names of the other controllers. */
  get nodes(): readonly string[] {
    return this.link.nodes;
  }

  /** Whether the connection to the controller is alive. */
  isAlive(node: string): boolean {
    return this.link.isAlive(node);
  }

  /** Sends one message; returns false if there is no connection. */
  send(node: string, message: PeerMessage): boolean {
    return this.link.send(node, message);
  }

  /** Sends all of the messages or none; see `PeerLink.sendBatch`. */
  sendBatch(node: string, messages: readonly PeerMessage[]): boolean {
    return this.link.sendBatch(node, messages);
  }

  /** Sends the message to every controller that is connected. */
  broadcast(message: PeerMessage): void {
    for (const node of this.nodes) this.link.send(node, message);
  }

  /**
   * Returns a new id for a request to other controllers. It contains the process: with a number alone, a late answer to
   * an earlier process could match a request of this one, so that a worker would get the commands of another, or an old
   * confirmation would count for a new request.
   */
  nextRequestId(): string {
    return `${this.process}-${++this.#requestCount}`;
  }
}
