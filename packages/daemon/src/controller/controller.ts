// One controller: its entry points for users, workers and peers, and the tick that drives its modules.
import type { Clock, KeyValueStore, WatchCache } from '@gingerlock/clients';
import type { PeerLink } from '@gingerlock/peer';
import type { Rendezvous } from '../api/rendezvous';
import type { Reply } from '../api/reply';
import type { PartitionOwner } from '../owner/partition-owner';
import type { Settings } from '../settings/settings';
import type { ClusterState } from '../state/cluster-state';
import { composeController, type ControllerModules, type ControllerPorts } from './composition';
import type { ControllerContext } from './controller-context';
import type { Log } from './log';

export type { ControllerPorts } from './composition';

/** Random bits in the name of a process. */
const PROCESS_NAME_BITS = 48;

/** A controller, which runs from `start` to `stop`. It receives messages from its peers once it is constructed. */
export class Controller {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly link: PeerLink;
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clusterState: ClusterState;
  readonly context: ControllerContext;
  /** A random name that differs between two processes of one controller. */
  readonly process: string;
  readonly #modules: ControllerModules;
  #stopped = false;
  #tickedAt: number;

  constructor(ports: ControllerPorts) {
    this.settings = ports.settings;
    this.clock = ports.clock;
    this.log = ports.log;
    this.link = ports.link;
    this.#tickedAt = ports.clock.now();
    this.process = Math.floor(ports.clock.random() * 2 ** PROCESS_NAME_BITS).toString(36);
    this.#modules = composeController(ports, this.process);
    this.keyValueStore = this.#modules.keyValueStore;
    this.watchCache = this.#modules.watchCache;
    this.clusterState = this.#modules.clusterState;
    this.context = this.#modules.context;
    this.link.onMessage = (from, message) => this.#modules.dispatcher.dispatch(from, message);
  }

  /** Starts reading the store, renewing the store lease, and ticking. */
  start(): void {
    this.watchCache.start(() => this.#modules.ownership.synced());
    this.#modules.leaseKeeper.start();
    this.#scheduleTick();
  }

  /** Stops all timers. It does not wait for pending requests, and leaves the ownership of partitions to expire. */
  stop(): void {
    const { leaseKeeper, ownership, owned, relay } = this.#modules;
    this.#stopped = true;
    leaseKeeper.stop();
    ownership.stop();
    owned.leader?.stop();
    relay.stop();
    this.watchCache.stop();
  }

  /** The owner objects of the partitions that this controller owns now. */
  owned(): readonly PartitionOwner[] {
    return [...this.#modules.owned.owners()];
  }

  #scheduleTick(): void {
    if (this.#stopped) return;
    this.clock.after(this.context.tickMs, () => {
      try {
        this.#tick();
      } catch (error) {
        this.log.error({ error: error instanceof Error ? error.stack : String(error) }, 'tick failed');
      }
      this.#scheduleTick();
    });
  }

  /** Detects that this process stalled while its clocks ran: two ticks were more than a heartbeat interval apart. */
  #detectStall(now: number): void {
    const stalledMs = now - this.#tickedAt;
    const longest = this.context.workTimer.takeLongest();
    this.#tickedAt = now;
    if (stalledMs <= this.settings.clusterConfig.heartbeatIntervalMs) return;
    const detail = {
      stalledMs: Math.round(stalledMs),
      work: longest?.name,
      workMs: Math.round(longest?.durationMs ?? 0),
    };
    this.log.info(detail, 'event loop stalled');
    this.#modules.owned.resumedAfterStall(now);
    this.#modules.peerFailureDetector.resumedAfterStall();
  }

  #tick(): void {
    const { peerFailureDetector, owned, previousOwners, releases, confirmation, rateSharing, relay } = this.#modules;
    const { workTimer } = this.context;
    const now = this.clock.now();
    this.#detectStall(now);
    peerFailureDetector.tick();
    for (const owner of owned.owners()) workTimer.run('partition owner', () => owner.tick(now));
    previousOwners.tick(now);
    releases.tick(owned.ownersById, now);
    workTimer.run('status', () => this.#publishStatus(now));
    owned.leader?.tick();
    confirmation.tick(now, owned.ownersById.size > 0);
    rateSharing.tick(now);
    relay.tick(now);
  }

  /** Publishes the statuses of the partitions owned here and, on the leader, its directives about machines. */
  #publishStatus(now: number): void {
    const { publisher, storeContact, owned, peers } = this.#modules;
    if (!publisher.publish(this.owned(), storeContact.ageMs(now), now)) return;
    const { leader } = owned;
    if (leader === null || !leader.ownershipTerm.isCurrent) return;
    const { drain, gone } = leader.directives();
    owned.applyDirectives(drain, gone);
    peers.broadcast({
      kind: 'MachineDirectives',
      term: leader.ownershipTerm.term,
      drain: [...drain],
      gone: [...gone],
    });
  }

  /** Answers a worker's heartbeat; see `WorkerEndpoint.checkin`. */
  checkin(body: Buffer): Promise<Reply> {
    return this.#modules.workers.checkin(body);
  }

  /** Answers a health check; see `HealthCheck.up`. */
  up(): Reply {
    return this.#modules.health.up();
  }

  /** Answers a request for the state of a job; see `JobApi.poll`. */
  poll(id: string): Promise<Reply> {
    return this.#modules.jobApi.poll(id);
  }

  /** Accepts or refuses a job; see `JobApi.submit`. */
  submit(body: Buffer): Promise<Reply> {
    return this.#modules.jobApi.submit(body);
  }

  /** Cancels a job; see `JobApi.cancel`. */
  cancel(id: string): Promise<Reply> {
    return this.#modules.jobApi.cancel(id);
  }

  /** Answers members of replica groups; null if replica groups are off, which removes the endpoint. */
  get rendezvous(): Rendezvous | null {
    return this.#modules.rendezvous;
  }
}
