// Redirects workers whose partition is owned by another controller to that owner, or relays their heartbeats if they
// can't reach it. Only the owner decides on the answer.
import { type Clock, sleep } from '@gingerlock/clients';
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import { decodeHeartbeat, encodeRedirect, errorMessage, type Heartbeat } from '@gingerlock/wire';
import { refusal, type Reply } from '../api/reply';
import type { ControllerContext } from '../controller/controller-context';
import type { RefusalLog } from '../controller/refusal-log';
import type { Settings } from '../settings/settings';
import type { PeerChannel } from './peer-channel';

/** How long a worker waits for an answer, as set by the protocol. */
const WORKER_TIMEOUT_MS = 4000;

/** Share of `WORKER_TIMEOUT_MS` for which a heartbeat may wait for an owner; the rest is left for the answer. */
const OWNER_WAIT_SHARE = 0.7;

/** Share of `WORKER_TIMEOUT_MS` for which a relayed heartbeat may wait for the owner's answer. */
const RELAY_TIMEOUT_SHARE = 0.5;

/** While a heartbeat waits for an owner, the owner is looked up this many times in a heartbeat interval. */
const OWNER_CHECKS_PER_HEARTBEAT = 10;

/** A redirection is forgotten after this many worker leases. */
const REDIRECTION_TTL_LEASES = 4;

/** Heartbeats are relayed for this many worker leases before the worker is redirected again. */
const MAX_RELAY_LEASES = 2;

/** The statuses with which an owner answers a heartbeat. */
const OWNER_STATUSES: ReadonlySet<number> = new Set([200, 400, 421, 503]);

/** What the log names in place of a path for relayed heartbeats. */
const RELAY_PATH = 'relayed heartbeat';

/** The owner that a worker's last heartbeat was redirected or relayed to. */
interface Redirection {
  readonly owner: string;
  readonly at: number;
  /** Since when the worker's heartbeats are relayed; null if it was redirected. */
  readonly relayedSince: number | null;
}

/** Looks up partitions and their owners for the relay. */
export interface PartitionRouting {
  /** Returns the partition of the machine; undefined if it is not known yet. */
  partitionOf(heartbeat: Heartbeat): number | undefined;
  /** Returns the owner of the partition as far as this controller knows; null if there is none now. */
  ownerOf(partitionId: number): string | null;
  /** Whether this controller owns the partition. */
  owns(partitionId: number): boolean;
  /** Answers a heartbeat as the owner of the partition. */
  answer(partitionId: number, heartbeat: Heartbeat): Reply;
  /** Called when a heartbeat for a partition owned here was relayed: its worker can't reach this controller. */
  onRelayed(partitionId: number): void;
  /** Whether the owner's status shows that it has received no heartbeat from the machine for a while. */
  isSilentToOwner(partitionId: number, machine: string): boolean;
}

/** Redirects workers and relays heartbeats for one controller. */
export class HeartbeatRelay {
  readonly #redirectionByMachine = new Map<string, Redirection>();
  /** Functions that resolve relayed heartbeats waiting for the owner's answer, by request id. */
  readonly #pendingRelays = new Map<string, (reply: Reply) => void>();
  #isStopped = false;

  readonly settings: Settings;
  readonly clock: Clock;
  readonly #refusals: RefusalLog;

  constructor(
    { settings, clock, refusals }: Pick<ControllerContext, 'settings' | 'clock' | 'refusals'>,
    readonly peers: PeerChannel,
    readonly routing: PartitionRouting,
  ) {
    this.settings = settings;
    this.clock = clock;
    this.#refusals = refusals;
  }

  /** Stops the relay: heartbeats that wait for an owner are refused at their next check. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Forgets old redirections. */
  tick(now: number): void {
    const forgetMs = this.settings.clusterConfig.workerLeaseMs * REDIRECTION_TTL_LEASES;
    for (const [machine, { at }] of this.#redirectionByMachine)
      if (now - at > forgetMs) this.#redirectionByMachine.delete(machine);
  }

  /**
   * Answers a heartbeat for a partition that this controller does not own. If the owner is unknown or out of reach, the
   * heartbeat waits here until there is another owner, for as long as the worker waits. If it were refused at once, the
   * worker would try the next controller, which may be dead or cut off too, and lose seconds of its lease with each.
   */
  async forward(partitionId: number, heartbeat: Heartbeat, body: Buffer): Promise<Reply> {
    const { clock, routing } = this;
    const waitUntil = clock.now() + WORKER_TIMEOUT_MS * OWNER_WAIT_SHARE;
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

  /** Replies 503 if there is no owner or it can't be reached. */
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
    const mayRelay = relayedSince === null || now - relayedSince < clusterConfig.workerLeaseMs * MAX_RELAY_LEASES;
    if (mayRelay && this.#shouldRelay(owner, partitionId, heartbeat.machine, last, now)) {
      this.#redirectionByMachine.set(heartbeat.machine, { owner, at: now, relayedSince: relayedSince ?? now });
      return this.#relay(owner, body);
    }
    this.#redirectionByMachine.set(heartbeat.machine, { owner, at: now, relayedSince: null });
    return { status: 421, body: encodeRedirect(owner) };
  }

  /**
   * Whether the worker seems unable to reach the owner: it has come back within its lease after a redirection, or the
   * owner's status shows no heartbeat from it for a while. Also true if the owner seems dead while other controllers
   * are alive: a worker redirected to a dead owner would lose several seconds of its lease.
   */
  #shouldRelay(
    owner: string,
    partitionId: number,
    machine: string,
    last: Redirection | undefined,
    now: number,
  ): boolean {
    if (last?.owner === owner && now - last.at < this.settings.clusterConfig.workerLeaseMs) return true;
    const { peers } = this;
    const seemsDead = !peers.isAlive(owner) && peers.nodes.some((node) => peers.isAlive(node));
    return seemsDead || this.routing.isSilentToOwner(partitionId, machine);
  }

  /** Sends the heartbeat to the owner, through another controller if the owner can't be reached directly. */
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
    const timeoutMs = Math.min(
      this.settings.clusterConfig.heartbeatIntervalMs,
      WORKER_TIMEOUT_MS * RELAY_TIMEOUT_SHARE,
    );
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

  /** Handles a heartbeat that another controller relays: answers it as the owner, or forwards it to the owner. */
  onRelay(from: string, message: PeerMessages['Relay']): void {
    const { peers } = this;
    if (message.to === this.settings.node) {
      this.#answer(from, message, this.#replyAsOwner(message));
    } else if (from === message.from && peers.nodes.includes(message.to)) {
      if (peers.isAlive(message.to) && peers.send(message.to, { kind: 'Relay', ...message })) return;
      this.#answer(from, message, refusal(503, 'owner is out of reach'));
    }
  }

  /** Handles the owner's answer to a relayed heartbeat, or forwards it to the controller that relayed the heartbeat. */
  onAnswer(message: PeerMessages['RelayAnswer']): void {
    if (message.to !== this.settings.node) this.peers.send(message.to, { kind: 'RelayAnswer', ...message });
    else this.#pendingRelays.get(message.id)?.(this.#replyOf(message));
  }

  /** Returns the owner's reply; 503 if its status is none that an owner gives. */
  #replyOf({ status, body, to }: PeerMessages['RelayAnswer']): Reply {
    if (OWNER_STATUSES.has(status)) return { status, body: Buffer.from(body) };
    const reason = `status ${status}`;
    this.#refusals.malformed({ path: RELAY_PATH, from: to, bytes: body.length, reason });
    return refusal(503, 'owner is out of reach');
  }

  #replyAsOwner({ from, body }: PeerMessages['Relay']): Reply {
    try {
      const heartbeat = decodeHeartbeat(body);
      const partitionId = this.routing.partitionOf(heartbeat);
      if (partitionId === undefined || !this.routing.owns(partitionId)) return refusal(503, 'not the owner');
      this.routing.onRelayed(partitionId);
      return this.routing.answer(partitionId, heartbeat);
    } catch (error) {
      const reason = errorMessage(error, 'malformed');
      this.#refusals.malformed({ path: RELAY_PATH, from, bytes: body.length, reason });
      return refusal(400, 'malformed');
    }
  }

  #answer(via: string, { id, from }: PeerMessages['Relay'], reply: Reply): void {
    const { status } = reply;
    this.peers.send(via, { kind: 'RelayAnswer', id, to: from, status, body: reply.body ?? Buffer.alloc(0) });
  }
}
