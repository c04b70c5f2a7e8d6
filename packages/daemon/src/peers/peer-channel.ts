// The link to the other controllers, with the ids of the requests that this process sends over it.
import type { PeerLink, PeerMessage } from '@gingerlock/peer';

/** Sends messages to the other controllers. */
export class PeerChannel {
  #requestCount = 0;

  constructor(
    readonly link: PeerLink,
    /** Identifies this process: differs from that of the controller's process before. */
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

  /** Sends one message; false: there is no connection. */
  send(node: string, message: PeerMessage): boolean {
    return this.link.send(node, message);
  }

  /** Sends all of the messages or none; see `PeerLink.sendGroup`. */
  sendGroup(node: string, messages: readonly PeerMessage[]): boolean {
    return this.link.sendGroup(node, messages);
  }

  /** Sends the message to every controller that is connected. */
  broadcast(message: PeerMessage): void {
    for (const node of this.nodes) this.link.send(node, message);
  }

  /**
   * A new id for a request to other controllers. It contains the process, since a late answer to an earlier process
   * could match a number alone: a worker would get the commands of another, or a peer would confirm what it was not
   * asked.
   */
  nextRequestId(): string {
    return `${this.process}-${++this.#requestCount}`;
  }
}
