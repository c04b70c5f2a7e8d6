// Heartbeats of workers whose partition belongs to another controller: the workers are redirected to it, or their
// heartbeats are relayed if they can't reach it. The owner alone decides on the answer.
import { type Clock, sleep } from '@gingerlock/clients';
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import { decodeHeartbeat, encodeRedirect, type Heartbeat } from '@gingerlock/wire';
import type { PeerChannel } from './peer-channel';
import { refusal, type Reply } from '../api/reply';
import type { Settings } from '../settings/settings';

/** How long a worker waits for an answer, by the protocol. */
const WORKER_PATIENCE_MS = 4000;

/** The share of it for which a heartbeat may wait for its partition to get an owner: the answer takes time too. */
const HOLD_SHARE = 0.7;

/** The share of it for which a relayed heartbeat may wait for the owner's answer. */
const RELAY_SHARE = 0.5;

/** While a heartbeat waits for an owner, it is looked for so many times in a heartbeat interval. */
const OWNER_CHECKS_PER_HEARTBEAT = 10;

/** After how many worker leases a redirection is forgotten. */
const FORGET_LEASES = 4;

/** For how many worker leases heartbeats are relayed before the worker is redirected once more. */
const RELAY_LEASES = 2;

/** Where a worker's last heartbeat went. */
interface Redirection {
  readonly owner: string;
  readonly at: number;
  /** Since when its heartbeats are relayed; null: the worker was redirected. */
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
  /** Answers a heartbeat as the owner. */
  answer(partitionId: number, heartbeat: Heartbeat): Reply;
  /** A heartbeat for a partition of ours was relayed: its worker can't reach us. */
  onRelayed(partitionId: number): void;
  /** Whether, by the owner's status, it has had no heartbeat of the machine for a while. */
  missedByOwner(partitionId: number, machine: string): boolean;
}

/** Redirects and relays for one controller. */
export class HeartbeatRelay {
  readonly #redirectionByMachine = new Map<string, Redirection>();
  /** By id of the request: resolves a relayed heartbeat that waits for the owner's answer. */
  readonly #pendingRelays = new Map<string, (reply: Reply) => void>();
  #isStopped = false;

  constructor(
    readonly settings: Settings,
    readonly clock: Clock,
    readonly peers: PeerChannel,
    readonly routing: PartitionRouting,
  ) {}

  /** Heartbeats that wait for an owner are refused at their next check. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Forgets old redirections. */
  tick(now: number): void {
    const forgetMs = this.settings.clusterConfig.workerLeaseMs * FORGET_LEASES;
    for (const [machine, { at }] of this.#redirectionByMachine)
      if (now - at > forgetMs) this.#redirectionByMachine.delete(machine);
  }

  /**
   * Answers a heartbeat for a partition of another controller, or of none now. Refused without an owner's name, the
   * worker would try the next controller, which may be dead or cut off too: that costs it seconds of its lease at each.
   * So its heartbeat waits here, for as long as the worker waits, until the partition has an owner that the worker can
   * be redirected to.
   */
  async forward(partitionId: number, heartbeat: Heartbeat, body: Buffer): Promise<Reply> {
    const { clock, routing } = this;
    const waitUntil = clock.now() + WORKER_PATIENCE_MS * HOLD_SHARE;
    for (;;) {
      const owner = routing.ownerOf(partitionId);
      const reply = await this.#redirectOrRelay(owner, partitionId, heartbeat, body);
      if (reply.status !== 503) return reply;
      do {
        if (clock.now() >= waitUntil || this.#isStopped) return reply;
        await sleep(clock, this.settings.clusterConfig.heartbeatIntervalMs / OWNER_CHECKS_PER_HEARTBEAT);
        if (routing.owns(partitionId)) return routing.answer(partitionId, heartbeat);
      } while (routing.ownerOf(partitionId) === owner);
    }
  }

  /** Status 503: there is no owner, or it can't be reached. */
  async #redirectOrRelay(
    owner: string | null,
    partitionId: number,
    heartbeat: Heartbeat,
    body: Buffer,
  ): Promise<Reply> {
    const { clusterConfig, node } = this.settings;
    if (owner === null || owner === node) return refusal(503, 'part has no owner now');
    const now = this.clock.now();
    const last = this.#redirectionByMachine.get(heartbeat.machine);
    const relayedSince = last?.relayedSince ?? null;
    const mayRelay = relayedSince === null || now - relayedSince < clusterConfig.workerLeaseMs * RELAY_LEASES;
    if (mayRelay && this.#isCutOff(owner, partitionId, heartbeat.machine, last, now)) {
      this.#redirectionByMachine.set(heartbeat.machine, { owner, at: now, relayedSince: relayedSince ?? now });
      return this.#relay(owner, body);
    }
    this.#redirectionByMachine.set(heartbeat.machine, { owner, at: now, relayedSince: null });
    return { status: 421, body: encodeRedirect(owner) };
  }

  /**
   * Whether the worker can't reach the owner, but we may: it is back within its lease after it was redirected, or the
   * owner's status says that it has had no heartbeat of it for a while. Also if the owner seems dead while other
   * controllers are alive: redirected to a dead owner, a worker would lose several seconds of its lease.
   */
  #isCutOff(owner: string, partitionId: number, machine: string, last: Redirection | undefined, now: number): boolean {
    if (last?.owner === owner && now - last.at < this.settings.clusterConfig.workerLeaseMs) return true;
    const { peers } = this;
    const seemsDead = !peers.isAlive(owner) && peers.nodes.some((node) => peers.isAlive(node));
    return seemsDead || this.routing.missedByOwner(partitionId, machine);
  }

  /** Sends the heartbeat to the owner, through another controller if need be. */
  #relay(owner: string, body: Buffer): Promise<Reply> {
    const { peers } = this;
    const id = peers.nextRequestId();
    const message: PeerMessage = { kind: 'Relay', id, from: this.settings.node, to: owner, body };
    const via = peers.isAlive(owner) ? owner : peers.nodes.find((node) => node !== owner && peers.isAlive(node));
    if (via === undefined || !peers.send(via, message)) {
      return Promise.resolve(refusal(503, 'owner is out of reach'));
    }
    return this.#awaitAnswer(id);
  }

  #awaitAnswer(id: string): Promise<Reply> {
    const timeoutMs = Math.min(this.settings.clusterConfig.heartbeatIntervalMs, WORKER_PATIENCE_MS * RELAY_SHARE);
    return new Promise((resolve) => {
      const cancel = this.clock.after(timeoutMs, () => {
        this.#pendingRelays.delete(id);
        resolve(refusal(503, 'owner did not answer'));
      });
      this.#pendingRelays.set(id, (reply) => {
        cancel();
        this.#pendingRelays.delete(id);
        resolve(reply);
      });
    });
  }

  /** Another controller relays a heartbeat: to us as the owner, or through us. */
  onRelay(from: string, message: PeerMessages['Relay']): void {
    const { peers } = this;
    if (message.to === this.settings.node) {
      this.#answer(from, message, this.#replyAsOwner(message.body));
    } else if (from === message.from && peers.nodes.includes(message.to)) {
      if (peers.isAlive(message.to) && peers.send(message.to, { kind: 'Relay', ...message })) return;
      this.#answer(from, message, refusal(503, 'owner is out of reach'));
    }
  }

  /** The owner's answer to a relayed heartbeat: for us, or to be passed on. */
  onAnswer(message: PeerMessages['RelayAnswer']): void {
    if (message.to !== this.settings.node) this.peers.send(message.to, { kind: 'RelayAnswer', ...message });
    else this.#pendingRelays.get(message.id)?.({ status: message.status, body: Buffer.from(message.body) });
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
