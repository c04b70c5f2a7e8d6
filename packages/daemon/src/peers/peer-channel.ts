// The link to the other controllers, with the ids of the requests that this process sends over it.
import type { PeerLink, PeerMessage } from '@gingerlock/peer';

export class PeerChannel {
  #requests = 0;

  constructor(
    readonly link: PeerLink,
    /** Differs between two processes of one controller. */
    readonly process: string,
  ) {}

  get nodes(): readonly string[] {
    return this.link.nodes;
  }

  alive(node: string): boolean {
    return this.link.alive(node);
  }

  /** False: there is no connection to send it on. */
  send(node: string, message: PeerMessage): boolean {
    return this.link.send(node, message);
  }

  /** All of the messages or none; see `PeerLink.sendGroup`. */
  sendGroup(node: string, messages: readonly PeerMessage[]): boolean {
    return this.link.sendGroup(node, messages);
  }

  broadcast(message: PeerMessage): void {
    for (const node of this.nodes) this.link.send(node, message);
  }

  /**
   * The id of a request to other controllers. Counted from one in every process, a late answer to the process before
   * could match: one worker would get another's orders, or a peer would confirm what nobody had asked it.
   */
  nextRequestId(): string {
    return `${this.process}-${++this.#requests}`;
  }
}
