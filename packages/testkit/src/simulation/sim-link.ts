// Peer links between simulated controllers.
import { decodePeer, encodePeer, MAX_FRAME_BYTES, type PeerLink, type PeerMessage } from '@gingerlock/peer';
import type { Invariant } from '../audits/invariants';
import type { Network } from './network';
import type { Sim } from './sim';

/** The parts of the deployment that a link uses. */
export interface LinkedWorld {
  readonly sim: Sim;
  readonly network: Network;
  readonly heartbeatIntervalMs: number;
  readonly nodes: readonly { readonly name: string; readonly link: SimLink | null }[];
  readonly options: {
    readonly frameBytes?: number;
    readonly falsify?: (message: PeerMessage) => PeerMessage | null;
  };
  /** Total bytes and messages sent by all links. */
  peerBytes: number;
  peerMessages: number;
  reportViolation(rule: Invariant, detail: string): void;
  recordOccurrence(what: string): void;
}

/** The link of one controller over the simulated network. Messages in flight are lost when the receiver ends. */
export class SimLink implements PeerLink {
  readonly nodes: readonly string[];
  onMessage: (from: string, message: PeerMessage) => void = () => undefined;
  readonly #lastContacts = new Map<string, { link: SimLink; at: number }>();

  readonly frameBytes: number;

  constructor(
    readonly world: LinkedWorld,
    readonly node: string,
  ) {
    this.nodes = world.nodes.map(({ name }) => name).filter((name) => name !== node);
    this.frameBytes = world.options.frameBytes ?? MAX_FRAME_BYTES;
  }

  isAlive(node: string): boolean {
    const lastContact = this.#lastContacts.get(node);
    // A contact with an earlier process of the node does not count.
    if (lastContact === undefined || this.world.nodes.find(({ name }) => name === node)!.link !== lastContact.link)
      return false;
    return this.world.sim.now - lastContact.at < this.world.heartbeatIntervalMs * 2;
  }

  send(node: string, sent: PeerMessage): boolean {
    const { falsify } = this.world.options;
    const message = falsify === undefined ? sent : falsify(sent);
    if (message === null) return true;
    const bytes = encodePeer(message);
    if (bytes.length > this.frameBytes)
      this.world.reportViolation('frame_too_large', `${message.kind}: ${bytes.length} bytes`);
    if (message.kind === 'PartitionStatusFragment') this.world.recordOccurrence('summary piece');
    const to = this.world.nodes.find(({ name }) => name === node)!;
    const { link } = to;
    const { network } = this.world;
    const route = { from: this.node, to: node, request: '', body: bytes };
    network.observe({ what: 'frame sent', ...route });
    // A connection ends with its process: a message for one process is not delivered to the next.
    if (link === null) return false;
    this.world.peerBytes += bytes.length;
    this.world.peerMessages++;
    network.sendOneWay(`peer:${this.node}`, `peer:${node}`, () =>
      network.on(node, () => {
        if (to.link !== link) return;
        network.observe({ what: 'frame received', ...route });
        link.#lastContacts.set(this.node, { link: this, at: this.world.sim.now });
        link.onMessage(this.node, decodePeer(bytes));
      }),
    );
    return true;
  }

  /** Receives bytes that are no message: the connection on which they arrive is closed, and then opened again. */
  receiveMalformed(bytes: Buffer): void {
    try {
      decodePeer(bytes);
    } catch {
      const [first] = this.#lastContacts.keys();
      if (first !== undefined) this.#lastContacts.delete(first);
    }
  }

  sendBatch(node: string, messages: readonly PeerMessage[]): boolean {
    return messages.every((message) => this.send(node, message));
  }
}
