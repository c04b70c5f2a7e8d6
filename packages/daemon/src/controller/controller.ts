// One controller: its view of the state service, the parts it owns, the lead if it has it, and the answers to users,
// workers and peers. Everything it needs of the world comes in through ports.
import { RateLimiter, type Clock, type Http, WatchCache, sleep, KeyValueStore } from '@gingerlock/clients';
import {
  maxAnswerContactAgeMs,
  MAX_CLOCK_DRIFT,
  timerMarginMs,
  stateLeaseMs,
  type OwnershipTerm,
} from '@gingerlock/core';
import type { PeerLink, PeerMessage } from '@gingerlock/peer';
import { isGroupSpec } from '@gingerlock/replica-groups';
import {
  decodeHeartbeat,
  encodeHeartbeatAnswer,
  encodeRedirect,
  LEADERSHIP,
  MalformedMessageError,
  PREFIX,
  type Heartbeat,
} from '@gingerlock/wire';
import { RateSharing } from '../peers/rate-sharing';
import { ClaimLists } from '../peers/claim-lists';
import { GroupReports } from '../peers/group-reports';
import { PreviousOwnerQueries } from '../ownership/previous-owners';
import { Leader } from '../leader/leader';
import { LeaderBorrowing } from '../leader/leader-borrowing';
import { LeaderGroups } from '../leader/leader-groups';
import type { Log } from './log';
import { PartitionOwner } from '../owner/partition-owner';
import { OwnershipManager } from '../ownership/ownership-manager';
import { PeerChannel } from '../peers/peer-channel';
import { PeerConfirmation } from '../peers/peer-confirmation';
import { PeerFailureDetector } from '../peers/peer-failure-detector';
import { Rendezvous } from '../api/rendezvous';
import { refusal, type Reply } from '../api/reply';
import { HeartbeatRelay } from '../peers/heartbeat-relay';
import type { Settings } from '../settings/settings';
import { type ControllerLimits, ControllerContext } from './controller-context';
import { ClusterState } from '../state/cluster-state';
import { PartitionStatuses } from '../peers/partition-statuses';
import { StatusPublisher } from '../peers/status-publisher';
import { JobApi } from '../api/job-api';
import { WorkerConnectivity } from '../ownership/worker-connectivity';

export interface ControllerPorts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly http: Http;
  readonly link: PeerLink;
  readonly log: Log;
  readonly limits?: Partial<ControllerLimits>;
}

export class Controller {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly link: PeerLink;
  readonly keyValueStore: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly clusterState: ClusterState;
  readonly context: ControllerContext;
  readonly process: string;
  readonly #http: Http;
  readonly #rateLimiter: RateLimiter;
  readonly #jobApi: JobApi;
  readonly #rendezvous: Rendezvous | null;
  readonly #owners = new Map<number, PartitionOwner>();
  readonly #ownership: OwnershipManager;
  readonly #peers: PeerChannel;
  readonly #statuses = new PartitionStatuses();
  readonly #claimLists = new ClaimLists();
  readonly #groupReports = new GroupReports();
  readonly #publisher: StatusPublisher;
  readonly #relay: HeartbeatRelay;
  readonly #workerConnectivity: WorkerConnectivity;
  readonly #confirmation: PeerConfirmation;
  readonly #rateSharing: RateSharing;
  readonly #previousOwners: PreviousOwnerQueries;
  readonly #peerFailureDetector: PeerFailureDetector;
  #leader: Leader | null = null;
  #lease: number | null = null;
  #stopped = false;
  #tickedAt: number;

  constructor(ports: ControllerPorts) {
    this.settings = ports.settings;
    this.clock = ports.clock;
    this.log = ports.log;
    this.link = ports.link;
    this.#http = ports.http;
    const { clusterConfig, features } = ports.settings;
    this.clusterState = new ClusterState((spec) => isGroupSpec(features.replicaGroups, spec));
    this.#tickedAt = ports.clock.now();
    this.process = Math.floor(ports.clock.random() * 2 ** 48).toString(36);
    this.#peers = new PeerChannel(ports.link, this.process);
    this.#peerFailureDetector = new PeerFailureDetector(ports.link, ports.clock, clusterConfig.heartbeatIntervalMs);
    const share = 0.95 / clusterConfig.controllerCount;
    this.#rateLimiter = new RateLimiter(
      ports.clock,
      this.settings.stateRps * share,
      this.settings.stateWriteRps * share,
    );
    this.keyValueStore = new KeyValueStore({
      http: ports.http,
      addr: this.settings.state,
      rateLimiter: this.#rateLimiter,
      clock: ports.clock,
      timeoutMs: Math.max(clusterConfig.heartbeatIntervalMs / 2, 1000),
    });
    this.watchCache = new WatchCache({
      keyValueStore: this.keyValueStore,
      clock: ports.clock,
      prefix: PREFIX,
      minIntervalMs: Math.max(clusterConfig.heartbeatIntervalMs / 15, 4000 / (this.settings.stateRps * share)),
      idleIntervalMs: clusterConfig.heartbeatIntervalMs / 5,
      onChange: (key, value, version) => {
        try {
          this.clusterState.apply(key, value, version);
        } catch (error) {
          this.log.error({ key, error: String(error) }, 'unreadable record');
        }
      },
      onSync: () => this.#ownership.synced(this.#lease),
      onError: (error) => this.log.info({ error: String(error) }, 'store read failed'),
    });
    this.context = new ControllerContext(
      this.settings,
      ports.clock,
      ports.log,
      this.keyValueStore,
      this.watchCache,
      this.clusterState,
      ports.http,
      ports.limits,
    );
    this.#workerConnectivity = new WorkerConnectivity(clusterConfig, ports.clock.now());
    this.#ownership = new OwnershipManager(
      this.context,
      this.process,
      {
        isAlive: (node) => this.link.alive(node),
        wasSeen: (node) => this.#peerFailureDetector.wasSeen(node),
        isHealthy: (node, forMs) => this.#peerFailureDetector.isHealthy(node, forMs),
      },
      this.#workerConnectivity,
      { opened: (ownershipTerm) => this.#opened(ownershipTerm), ended: (ownershipTerm) => this.#ended(ownershipTerm) },
    );
    this.#publisher = new StatusPublisher(
      this.context,
      this.#peers,
      this.#statuses,
      this.#claimLists,
      this.#groupReports,
    );
    this.#jobApi = new JobApi(this.context, (id) => this.#statuses.runningTasks(id));
    this.#rendezvous = features.replicaGroups === null ? null : new Rendezvous(this.context, features.replicaGroups);
    this.#rateSharing = new RateSharing(this.#rateLimiter, this.#peers, ports.clock, clusterConfig.heartbeatIntervalMs);
    this.#confirmation = new PeerConfirmation(
      this.keyValueStore,
      this.watchCache,
      this.#peers,
      clusterConfig.heartbeatIntervalMs,
    );
    this.#previousOwners = new PreviousOwnerQueries(this.#owners, this.#peers, clusterConfig.heartbeatIntervalMs);
    this.#relay = new HeartbeatRelay(this.settings, ports.clock, this.#peers, {
      partitionOf: (heartbeat) => this.clusterState.partitioner?.partitionOf(heartbeat.machine, heartbeat.zone),
      ownerOf: (partitionId) => this.#ownerOf(partitionId),
      owns: (partitionId) => this.#owners.has(partitionId),
      answer: (partitionId, heartbeat) => this.#answer(partitionId, heartbeat),
      onRelayed: (partitionId) => this.#workerConnectivity.recordRelayed(partitionId, this.clock.now()),
      missedByOwner: (partitionId, machine) => this.#missedByOwner(partitionId, machine),
    });
    this.context.announce = (revision) => {
      this.#peers.broadcast({ kind: 'RevisionHint', revision });
      this.watchCache.hint(revision);
    };
    this.context.announceCancelled = (job) => this.#peers.broadcast({ kind: 'JobCancelled', job });
    this.context.spareCapacity = (exceptPartitionId) =>
      this.#statuses.spareCapacity(exceptPartitionId, this.clock.now() - clusterConfig.heartbeatIntervalMs * 2);
    this.clusterState.onJob = (id) => {
      for (const owner of this.#owners.values()) owner.jobChanged(id);
    };
    this.clusterState.onReclaimEnded = (partitionId, revision) =>
      this.#leader?.borrowing?.reclaimEnded(partitionId, revision);
    this.clusterState.onMembership = (partitionId, machine, present) =>
      this.#owners.get(partitionId)?.claimTable.setMember(machine, present);
    this.link.onMessage = (from, message) => {
      try {
        this.#fromPeer(from, message);
      } catch (error) {
        this.log.error({ from, kind: message.kind, error: String(error) }, 'peer message failed');
      }
    };
  }

  start(): void {
    this.watchCache.start();
    void this.#leaseLoop();
    this.#tickLater();
  }

  stop(): void {
    this.#stopped = true;
    this.#ownership.stop();
    this.#leader?.stop();
    this.#relay.stop();
    this.watchCache.stop();
  }

  /** The parts that this controller owns now. */
  owned(): readonly PartitionOwner[] {
    return [...this.#owners.values()];
  }

  // --- time --------------------------------------------------------------------------------------------------------

  #tickLater(): void {
    if (this.#stopped) return;
    this.clock.after(this.context.tickMs, () => {
      try {
        this.#tick();
      } catch (error) {
        this.log.error({ error: error instanceof Error ? error.stack : String(error) }, 'tick failed');
      }
      this.#tickLater();
    });
  }

  /** Timers that fire late by more than a report interval show that this process stood still while its clocks ran on. */
  #noticeStall(now: number): void {
    const stalledMs = now - this.#tickedAt;
    this.#tickedAt = now;
    if (stalledMs <= this.settings.clusterConfig.heartbeatIntervalMs) return;
    this.log.info({ stalledMs: Math.round(stalledMs) }, 'event loop stalled');
    for (const { claimTable } of this.#owners.values()) claimTable.resumedAfterStall(now);
    this.#leader?.resumedAfterStall(now);
    this.#peerFailureDetector.resumedAfterStall();
  }

  #tick(): void {
    const now = this.clock.now();
    this.#noticeStall(now);
    this.#peerFailureDetector.tick();
    for (const owner of this.#owners.values()) owner.tick(now);
    this.#previousOwners.tick(now);
    this.#ownership.releaseUnreachable([...this.#owners.values()], now);
    this.#ownership.releaseExhausted(this.#owners.values());
    this.#ownership.returnToHome(this.#owners.values(), now);
    this.#publishStatus(now);
    this.#leader?.tick();
    this.#confirmation.tick(now, this.#owners.size > 0);
    this.#rateSharing.tick(now);
    this.#relay.tick(now);
  }

  async #leaseLoop(): Promise<void> {
    const { clusterConfig } = this.settings;
    const ttl = stateLeaseMs(clusterConfig);
    while (!this.#stopped) {
      const sent = this.clock.now();
      try {
        if (this.#lease === null) {
          this.#lease = await this.keyValueStore.grantLease(ttl);
          this.context.leaseSince = this.clock.now();
        } else if (!(await this.keyValueStore.renewLease(this.#lease))) {
          this.log.info({ lease: this.#lease }, 'store lease expired');
          this.#lease = null;
          this.context.leaseUntil = -Infinity;
          continue;
        }
        // Counted from the sending: the service may have started counting then.
        this.context.leaseUntil = sent + ttl * (1 - MAX_CLOCK_DRIFT) - timerMarginMs(clusterConfig) / 2;
      } catch (error) {
        this.log.info({ error: String(error) }, 'store lease renewal failed');
      }
      await sleep(this.clock, Math.max(0, sent + ttl / 4 - this.clock.now()) + 1);
    }
  }

  // --- ownership ---------------------------------------------------------------------------------------------------

  #opened(ownershipTerm: OwnershipTerm): void {
    if (ownershipTerm.resource === LEADERSHIP) {
      this.#leader = this.#newLeader(ownershipTerm);
      return;
    }
    const partitionId = Number(ownershipTerm.resource);
    const before = this.#statuses.of(partitionId)?.status.machines ?? [];
    this.#owners.set(
      partitionId,
      new PartitionOwner(this.context, partitionId, ownershipTerm, new Map(before.map((m) => [m.name, m] as const))),
    );
  }

  #newLeader(ownershipTerm: OwnershipTerm): Leader {
    const { borrowing, replicaGroups } = this.settings.features;
    return new Leader(
      this.context,
      ownershipTerm,
      () => this.#statuses.all(),
      this.#http,
      borrowing === null ? null : new LeaderBorrowing(this.context, ownershipTerm, borrowing, this.#claimLists),
      replicaGroups === null ? null : new LeaderGroups(this.context, replicaGroups, this.#groupReports),
    );
  }

  #ended(ownershipTerm: OwnershipTerm): void {
    if (this.#leader?.ownershipTerm === ownershipTerm) {
      this.#leader.stop();
      this.#leader = null;
    }
    const partitionId = Number(ownershipTerm.resource);
    if (this.#owners.get(partitionId)?.ownershipTerm === ownershipTerm) this.#owners.delete(partitionId);
  }

  // --- workers -----------------------------------------------------------------------------------------------------

  /** Up to when nothing can have been accepted, cancelled or taken that we have not seen. */
  #lastContactAt(): number {
    return Math.max(this.watchCache.lastContactAt ?? -Infinity, this.#confirmation.confirmedAt);
  }

  async checkin(body: Buffer): Promise<Reply> {
    let heartbeat: Heartbeat;
    try {
      heartbeat = decodeHeartbeat(body);
    } catch (error) {
      return refusal(400, error instanceof MalformedMessageError ? error.message : 'malformed');
    }
    this.#workerConnectivity.recordDirect(this.clock.now());
    const { partitioner } = this.clusterState;
    if (partitioner === null) return refusal(503, 'starting');
    const partitionId = partitioner.partitionOf(heartbeat.machine, heartbeat.zone);
    if (this.#owners.has(partitionId)) return this.#answer(partitionId, heartbeat);
    return this.#relay.forward(partitionId, heartbeat, body);
  }

  #answer(partitionId: number, heartbeat: Heartbeat): Reply {
    const owner = this.#owners.get(partitionId)!;
    const now = this.clock.now();
    // Between the two requests of a full reload the records may show the next owner before that is acted upon.
    if (!owner.isOwner()) return refusal(503, 'part was taken over');
    // The bound within which a part's next owner, and users who cancel, may count on our silence.
    if (now > this.#lastContactAt() + maxAnswerContactAgeMs(this.settings.clusterConfig))
      return refusal(503, 'no contact with the state service');
    const outcome = owner.claimTable.handleHeartbeat(heartbeat, now, owner.mayGrant(now));
    switch (outcome.kind) {
      case 'answer':
        return { status: 200, body: encodeHeartbeatAnswer(outcome.fencingToken, outcome.commands) };
      case 'refuse':
        this.log.debug({ machine: heartbeat.machine, why: outcome.why }, 'heartbeat refused');
        return refusal(503, outcome.why);
      case 'superseded':
        this.log.info(
          { partitionId, machine: heartbeat.machine, fencingToken: heartbeat.fencingToken },
          'fencing token superseded',
        );
        this.#ownership.superseded(owner.ownershipTerm);
        return { status: 421, body: encodeRedirect(null) };
    }
  }

  /**
   * Who owns the part, as far as we know; null: nobody now. What an owner says of itself may be newer than our replica:
   * a controller without the state service still sends workers the right way.
   */
  #ownerOf(partitionId: number): string | null {
    const owner = this.clusterState.owners.get(String(partitionId));
    const seen = this.#statuses.of(partitionId);
    if (seen !== undefined && seen.status.term > (owner?.record.term ?? 0)) return seen.owner;
    return this.clusterState.holds.has(String(partitionId)) ? (owner?.record.node ?? null) : null;
  }

  #missedByOwner(partitionId: number, machine: string): boolean {
    const seen = this.#statuses.of(partitionId);
    const machineStatus = seen?.status.machines.find((m) => m.name === machine);
    if (machineStatus === undefined) return false;
    const { heartbeatIntervalMs, workerLeaseMs } = this.settings.clusterConfig;
    return (
      machineStatus.silentMs > heartbeatIntervalMs * 2 &&
      machineStatus.silentMs < workerLeaseMs &&
      this.clock.now() - seen!.at < heartbeatIntervalMs
    );
  }

  // --- peers -------------------------------------------------------------------------------------------------------

  #fromPeer(from: string, message: PeerMessage): void {
    const now = this.clock.now();
    this.#peerFailureDetector.recordHeartbeat(from, now);
    switch (message.kind) {
      case 'Hello':
        // It may have just started: what we saw last of the parts tells it which images its machines have.
        this.#statuses.sendAll(this.#peers, from);
        return;
      case 'PeerHeartbeat':
        this.#peerFailureDetector.recordContact(from, message.contactAgeMs, now);
        this.watchCache.hint(message.revision);
        return;
      case 'BudgetRequest':
        this.#rateSharing.onRequest(from, message);
        return;
      case 'BudgetGrant':
        this.#rateSharing.onGrant(from, message);
        return;
      case 'RevisionHint':
        this.watchCache.hint(message.revision);
        return;
      case 'JobCancelled':
        // A stop is always safe, with or without the state service. It shortens no bound: the word may be lost.
        this.clusterState.markCancelled(message.job);
        return;
      case 'PartitionStatus':
        if (!this.#owners.has(message.partitionId)) this.#statuses.onStatus(message, now);
        return;
      case 'ClaimList':
        if (this.settings.features.borrowing !== null) this.#claimLists.onFragment(from, message, now);
        return;
      case 'GroupReports':
        if (this.settings.features.replicaGroups !== null) this.#groupReports.onFragment(from, message);
        return;
      case 'PartitionStatusFragment':
        if (!this.#owners.has(message.partitionId)) this.#statuses.onFragment(from, message, now);
        return;
      case 'MachineDirectives':
        if (this.clusterState.owners.get(LEADERSHIP)?.record.term === message.term)
          this.#applyDirectives(message.drain, message.gone);
        return;
      case 'ConfirmationRequest':
        this.#confirmation.onRequest(from, message, this.#contactAgeMs(now));
        return;
      case 'Confirmation':
        this.#confirmation.onAnswer(from, message);
        return;
      case 'OwnershipQuery': {
        const owns = this.#ownership.ownsAfterQuery(message.partitionId, message.term);
        this.link.send(from, { kind: 'OwnershipAnswer', id: message.id, owns });
        return;
      }
      case 'OwnershipAnswer':
        this.#previousOwners.onAnswer(from, message, now, this.clock.wall());
        return;
      case 'Relay':
        this.#relay.onRelay(from, message);
        return;
      case 'RelayAnswer':
        this.#relay.onAnswer(message);
        return;
    }
  }

  #applyDirectives(drain: readonly string[], gone: readonly string[]): void {
    const draining = new Set(drain);
    for (const owner of this.#owners.values()) {
      for (const m of owner.claimTable.machines.values()) m.draining = draining.has(m.name);
      for (const name of gone) {
        // Its zone is not told with it: what is gone is gone for every part.
        if (!owner.claimTable.isGone(name)) owner.gone(name);
      }
    }
  }

  /** Tells the peers how our parts stand, that we are there, and as the leader which machines get no more work. */
  #publishStatus(now: number): void {
    if (!this.#publisher.publish(this.owned(), this.#contactAgeMs(now), now)) return;
    const leader = this.#leader;
    if (leader === null || !leader.ownershipTerm.isCurrent) return;
    const { drain, gone } = leader.directives();
    this.#applyDirectives(drain, gone);
    this.#peers.broadcast({
      kind: 'MachineDirectives',
      term: leader.ownershipTerm.term,
      drain: [...drain],
      gone: [...gone],
    });
  }

  #contactAgeMs(now: number): number {
    return this.watchCache.lastContactAt === null ? 1e9 : now - this.watchCache.lastContactAt;
  }

  // --- users -------------------------------------------------------------------------------------------------------

  /** Whether to send users here: not while we alone lack the state service. */
  up(): Reply {
    const now = this.clock.now();
    const { heartbeatIntervalMs } = this.settings.clusterConfig;
    if (!this.watchCache.loaded || this.clusterState.meta === null) return refusal(503, 'starting');
    const stale = this.#contactAgeMs(now) > heartbeatIntervalMs * 2;
    return stale && this.#peerFailureDetector.anyHasContact(now)
      ? refusal(503, 'state service is out of reach')
      : { status: 200, body: null };
  }

  poll(id: string): Promise<Reply> {
    return this.#jobApi.poll(id);
  }

  submit(body: Buffer): Promise<Reply> {
    return this.#jobApi.submit(body);
  }

  cancel(id: string): Promise<Reply> {
    return this.#jobApi.cancel(id);
  }

  /** Null: replica groups are off, and there is no such request. */
  get rendezvous(): Rendezvous | null {
    return this.#rendezvous;
  }
}
