// Reports of workers whose partition belongs to another controller: sent there, or relayed for workers that can't reach
// it. The owner is still the only one who decides.
import { type Clock, sleep } from '@gingerlock/clients';
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import { decodeHeartbeat, encodeRedirect, type Heartbeat } from '@gingerlock/wire';
import type { PeerChannel } from './peer-channel';
import { refusal, type Reply } from '../api/reply';
import type { Settings } from '../settings/settings';

/** A worker waits this long for an answer, says the protocol. */
const WORKER_PATIENCE_MS = 4000;

/** Of that, how much a report may wait for its partition to get an owner: the answer has to get there in time. */
const HOLD_SHARE = 0.7;

/** After how many leases it is forgotten where a worker was sent. */
const FORGET_LEASES = 4;

/** For how many leases a worker's reports are relayed before it is sent to the owner once more. */
const RELAY_LEASES = 2;

/** Where a worker was sent. */
interface Redirection {
  readonly owner: string;
  readonly at: number;
  /** Since when its reports are relayed; null: they are not. */
  readonly relayedSince: number | null;
}

/** What the relay needs to know of partitions and their owners. */
export interface PartitionRouting {
  /** The partition of the machine; undefined: not known yet. */
  partitionOf(heartbeat: Heartbeat): number | undefined;
  /** Who owns the partition, as far as we know; null: nobody now. */
  ownerOf(partitionId: number): string | null;
  /** Whether this controller owns it. */
  owns(partitionId: number): boolean;
  /** Answers a report as the owner. */
  answer(partitionId: number, heartbeat: Heartbeat): Reply;
  /** A report has come for a partition of ours that its worker could not bring here itself. */
  onRelayed(partitionId: number): void;
  /** Whether the owner says that it has not heard the machine for a while. */
  missedByOwner(partitionId: number, machine: string): boolean;
}

export class HeartbeatRelay {
  readonly #redirected = new Map<string, Redirection>();
  /** Relayed reports that wait for the owner's answer. */
  readonly #waiting = new Map<string, (reply: Reply) => void>();
  #stopped = false;

  constructor(
    readonly settings: Settings,
    readonly clock: Clock,
    readonly peers: PeerChannel,
    readonly routing: PartitionRouting,
  ) {}

  stop(): void {
    this.#stopped = true;
  }

  tick(now: number): void {
    const forgetMs = this.settings.clusterConfig.workerLeaseMs * FORGET_LEASES;
    for (const [machine, { at }] of this.#redirected) if (now - at > forgetMs) this.#redirected.delete(machine);
  }

  /**
   * The worker belongs to a partition of another controller, or of none now. Sent away without an owner's name it would
   * try the next controller, which may be dead or cut off too: that costs it seconds of its lease at each. So its
   * report waits here for as long as it waits itself, until the partition has an owner that it can be sent to.
   */
  async forward(partitionId: number, heartbeat: Heartbeat, body: Buffer): Promise<Reply> {
    const { clock, routing } = this;
    const until = clock.now() + WORKER_PATIENCE_MS * HOLD_SHARE;
    for (;;) {
      const before = routing.ownerOf(partitionId);
      const reply = await this.#pointTo(before, partitionId, heartbeat, body);
      if (reply.status !== 503) return reply;
      do {
        if (clock.now() >= until || this.#stopped) return reply;
        await sleep(clock, this.settings.clusterConfig.heartbeatIntervalMs / 10);
        if (routing.owns(partitionId)) return routing.answer(partitionId, heartbeat);
      } while (routing.ownerOf(partitionId) === before);
    }
  }

  async #pointTo(owner: string | null, partitionId: number, heartbeat: Heartbeat, body: Buffer): Promise<Reply> {
    const { clusterConfig, node } = this.settings;
    if (owner === null || owner === node) return refusal(503, 'part has no owner now');
    const now = this.clock.now();
    const last = this.#redirected.get(heartbeat.machine);
    const relayedSince = last?.relayedSince ?? null;
    const relayed = relayedSince === null || now - relayedSince < clusterConfig.workerLeaseMs * RELAY_LEASES;
    if (relayed && this.#isCutOff(owner, partitionId, heartbeat.machine, last, now)) {
      this.#redirected.set(heartbeat.machine, { owner, at: now, relayedSince: relayedSince ?? now });
      return this.#relay(owner, body);
    }
    this.#redirected.set(heartbeat.machine, { owner, at: now, relayedSince: null });
    return { status: 421, body: encodeRedirect(owner) };
  }

  /**
   * Whether the worker can't reach the owner, but we may. It is back within its lease after it was sent there, or the
   * owner says that it has not heard it for a while. The same when we ourselves hear nothing of the owner though others
   * are there: sent to a dead owner, a worker would lose several seconds of its lease.
   */
  #isCutOff(owner: string, partitionId: number, machine: string, last: Redirection | undefined, now: number): boolean {
    if (last?.owner === owner && now - last.at < this.settings.clusterConfig.workerLeaseMs) return true;
    const { peers } = this;
    const dead = !peers.alive(owner) && peers.nodes.some((node) => peers.alive(node));
    return dead || this.routing.missedByOwner(partitionId, machine);
  }

  #relay(owner: string, body: Buffer): Promise<Reply> {
    const { peers, clock } = this;
    const id = peers.nextRequestId();
    const message: PeerMessage = { kind: 'Relay', id, from: this.settings.node, to: owner, body };
    const via = peers.alive(owner) ? owner : peers.nodes.find((node) => node !== owner && peers.alive(node));
    if (via === undefined || !peers.send(via, message)) {
      return Promise.resolve(refusal(503, 'owner is out of reach'));
    }
    return new Promise((resolve) => {
      const cancel = clock.after(
        Math.min(this.settings.clusterConfig.heartbeatIntervalMs, WORKER_PATIENCE_MS / 2),
        () => {
          this.#waiting.delete(id);
          resolve(refusal(503, 'owner did not answer'));
        },
      );
      this.#waiting.set(id, (reply) => {
        cancel();
        this.#waiting.delete(id);
        resolve(reply);
      });
    });
  }

  /** A report that another controller relays: to us as the owner, or through us. */
  onRelay(from: string, message: PeerMessages['Relay']): void {
    const { peers } = this;
    if (message.to === this.settings.node) {
      this.#answer(from, message, this.#replyAsOwner(message.body));
    } else if (from === message.from && peers.nodes.includes(message.to)) {
      if (peers.alive(message.to) && peers.send(message.to, { kind: 'Relay', ...message })) return;
      this.#answer(from, message, refusal(503, 'owner is out of reach'));
    }
  }

  onAnswer(message: PeerMessages['RelayAnswer']): void {
    if (message.to !== this.settings.node) this.peers.send(message.to, { kind: 'RelayAnswer', ...message });
    else this.#waiting.get(message.id)?.({ status: message.status, body: Buffer.from(message.body) });
  }

  #replyAsOwner(body: Buffer): Reply {
    try {
      const heartbeat = decodeHeartbeat(body);
      const partitionId = this.routing.partitionOf(heartbeat);
      if (partitionId === undefined || !this.routing.owns(partitionId)) return refusal(503, 'not the owner');
      this.routing.onRelayed(partitionId);
      return this.routing.answer(partitionId, heartbeat);
    } catch {
      return refusal(400, 'malformed');
    }
  }

  #answer(via: string, { id, from }: PeerMessages['Relay'], reply: Reply): void {
    const { status } = reply;
    this.peers.send(via, { kind: 'RelayAnswer', id, to: from, status, body: reply.body ?? Buffer.alloc(0) });
  }
}
