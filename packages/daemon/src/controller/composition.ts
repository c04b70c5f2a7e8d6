// Creates the modules of one controller in the order of their dependencies. Nothing runs before `Controller.start`.
import { type Clock, type Http, KeyValueStore, RateLimiter, WatchCache } from '@gingerlock/clients';
import type { PeerLink } from '@gingerlock/peer';
import { isGroupSpec } from '@gingerlock/replica-groups';
import { KEY_PREFIX } from '@gingerlock/wire';
import { JobApi } from '../api/job-api';
import { Rendezvous } from '../api/rendezvous';
import { AcquisitionOrder, type PeerLiveness } from '../ownership/acquisition-order';
import { OwnershipManager } from '../ownership/ownership-manager';
import { PartitionReleases } from '../ownership/partition-releases';
import { PreviousOwnerQueries } from '../ownership/previous-owners';
import { WorkerConnectivity } from '../ownership/worker-connectivity';
import { ClaimLists } from '../peers/claim-lists';
import { GroupReports } from '../peers/group-reports';
import { HeartbeatRelay } from '../peers/heartbeat-relay';
import { PartitionStatuses } from '../peers/partition-statuses';
import { PeerChannel } from '../peers/peer-channel';
import { PeerConfirmation } from '../peers/peer-confirmation';
import { PeerFailureDetector } from '../peers/peer-failure-detector';
import { RateSharing } from '../peers/rate-sharing';
import { StatusPublisher } from '../peers/status-publisher';
import type { Settings } from '../settings/settings';
import { ClusterState } from '../state/cluster-state';
import { Announcements } from './announcements';
import { ControllerContext, type ControllerLimits } from './controller-context';
import { HealthCheck } from './health';
import type { Log } from './log';
import { OwnedResources } from './owned-resources';
import { OwnerHeartbeats } from './owner-heartbeats';
import { OwnershipHandover } from './ownership-handover';
import { PartitionRouter } from './partition-router';
import { PeerDispatcher } from './peer-dispatcher';
import { peerMessageHandlers } from './peer-handlers';
import { StoreContact } from './store-contact';
import { StoreLeaseKeeper } from './store-lease-keeper';
import { WorkerEndpoint } from './worker-endpoint';
import { WorkTimer } from './work-timer';

/** The external dependencies of a controller. */
export interface ControllerPorts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly http: Http;
  readonly link: PeerLink;
  readonly log: Log;
  /** Overrides some of the default limits. */
  readonly limits?: Partial<ControllerLimits>;
}

/** Share of the store's request rates that all controllers together use. */
const STORE_RATE_SHARE = 0.95;

/** A request to the store fails after this many milliseconds, or after half a heartbeat interval if that is longer. */
const MIN_STORE_TIMEOUT_MS = 1000;

/** The watch cache reads at most this often in a heartbeat interval. */
const MAX_READS_PER_HEARTBEAT_INTERVAL = 15;

/** The watch cache uses at most one in this many of the requests that this controller may send to the store. */
const REQUESTS_PER_READ = 4;

/** Number of reads of the watch cache in a heartbeat interval when none is requested. */
const IDLE_READS_PER_HEARTBEAT_INTERVAL = 5;

/** Maximum age of a partition status that is used for spare capacity, in heartbeat intervals. */
const SPARE_CAPACITY_INTERVALS = 2;

/** The modules of one controller. */
export type ControllerModules = ReturnType<typeof composeController>;

/** Creates the modules of one controller. `process` identifies the process and changes when the controller restarts. */
export function composeController(ports: ControllerPorts, process: string) {
  const { settings, clock, link, http } = ports;
  const { clusterConfig, features } = settings;
  const { heartbeatIntervalMs } = clusterConfig;
  const base = composeBase(ports, process);
  const { context, owned, peers, statuses, keyValueStore, watchCache, rateLimiter } = base;
  const { claimLists, groupReports, peerFailureDetector } = base;
  const workerConnectivity = new WorkerConnectivity(clusterConfig, clock.now());
  const handover = new OwnershipHandover({ context, owned, statuses, claimLists, groupReports, http });
  const liveness: PeerLiveness = {
    isAlive: (node) => link.isAlive(node),
    wasSeen: (node) => peerFailureDetector.wasSeen(node),
    isHealthy: (node, forMs) => peerFailureDetector.isHealthy(node, forMs),
  };
  const order = new AcquisitionOrder({ settings, clock, clusterState: base.clusterState, peers: liveness });
  const ownership = new OwnershipManager(context, process, order, handover);
  const releases = new PartitionReleases({ context, ownership, order, peers: liveness, workerConnectivity });
  const confirmation = new PeerConfirmation(keyValueStore, watchCache, peers, heartbeatIntervalMs);
  const storeContact = new StoreContact(watchCache, confirmation);
  const heartbeats = new OwnerHeartbeats(context, owned, ownership, storeContact);
  const router = new PartitionRouter({ context, owned, statuses, workerConnectivity, heartbeats });
  const relay = new HeartbeatRelay(context, peers, router);
  const rateSharing = new RateSharing(rateLimiter, peers, clock, heartbeatIntervalMs);
  const previousOwners = new PreviousOwnerQueries(owned.ownersById, peers, heartbeatIntervalMs);
  const modules = { ...base, ownership, releases, confirmation, storeContact, relay, rateSharing, previousOwners };
  return {
    ...modules,
    publisher: new StatusPublisher(context, peers, statuses, claimLists, groupReports),
    workers: new WorkerEndpoint({ context, owned, heartbeats, relay, workerConnectivity }),
    health: new HealthCheck(context, storeContact, peerFailureDetector),
    jobApi: new JobApi(context, (id) => statuses.runningTasks(id)),
    /** Null if replica groups are off. */
    rendezvous: features.replicaGroups === null ? null : new Rendezvous(context, features.replicaGroups),
    dispatcher: new PeerDispatcher(peerMessageHandlers(modules), peerFailureDetector, context),
  };
}

/** Creates the modules that all others depend on: clients, cluster state, context, and the state of the peers. */
function composeBase(ports: ControllerPorts, process: string) {
  const { settings, clock, log, link, http } = ports;
  const { clusterConfig, features } = settings;
  const owned = new OwnedResources();
  const statuses = new PartitionStatuses();
  const clusterState = new ClusterState((spec) => isGroupSpec(features.replicaGroups, spec), owned);
  const peers = new PeerChannel(link, process);
  const workTimer = new WorkTimer(clock);
  const store = composeStore(ports, clusterState, workTimer);
  const announcements = new Announcements(peers, store.watchCache);
  const spareCapacityMaxAgeMs = clusterConfig.heartbeatIntervalMs * SPARE_CAPACITY_INTERVALS;
  const context = new ControllerContext({
    settings,
    clock,
    log,
    http,
    keyValueStore: store.keyValueStore,
    watchCache: store.watchCache,
    clusterState,
    storeLease: store.leaseKeeper,
    announcements,
    workTimer,
    spareCapacity: (exceptPartitionId) =>
      statuses.spareCapacity(exceptPartitionId, clock.now() - spareCapacityMaxAgeMs),
    ...(ports.limits === undefined ? {} : { limits: ports.limits }),
  });
  return {
    ...store,
    owned,
    statuses,
    clusterState,
    peers,
    context,
    claimLists: new ClaimLists(),
    groupReports: new GroupReports(),
    peerFailureDetector: new PeerFailureDetector(link, clock, clusterConfig.heartbeatIntervalMs),
  };
}

/** Creates the clients of the key-value store, limited to this controller's share of the store's request rates. */
function composeStore(
  { settings, clock, http, log }: ControllerPorts,
  clusterState: ClusterState,
  workTimer: WorkTimer,
) {
  const { clusterConfig } = settings;
  const { heartbeatIntervalMs } = clusterConfig;
  const share = STORE_RATE_SHARE / clusterConfig.controllerCount;
  const rateLimiter = new RateLimiter(clock, settings.storeRequestsPerS * share, settings.storeWritesPerS * share);
  const keyValueStore = new KeyValueStore({
    http,
    addr: settings.state,
    rateLimiter,
    clock,
    timeoutMs: Math.max(heartbeatIntervalMs / 2, MIN_STORE_TIMEOUT_MS),
  });
  const watchCache = new WatchCache({
    keyValueStore,
    clock,
    prefix: KEY_PREFIX,
    minIntervalMs: Math.max(
      heartbeatIntervalMs / MAX_READS_PER_HEARTBEAT_INTERVAL,
      (REQUESTS_PER_READ * 1000) / (settings.storeRequestsPerS * share),
    ),
    idleIntervalMs: heartbeatIntervalMs / IDLE_READS_PER_HEARTBEAT_INTERVAL,
    applyChanges: (apply) => {
      try {
        workTimer.run('changes of the store', () => clusterState.batch(apply));
      } catch (error) {
        log.error({ error: String(error) }, 'urgency of jobs not propagated');
      }
    },
    onChange: (key, value, version) => {
      try {
        clusterState.apply(key, value, version);
      } catch (error) {
        log.error({ key, error: String(error) }, 'unreadable record');
      }
    },
    onError: (error) => log.info({ error: String(error) }, 'store read failed'),
  });
  const leaseKeeper = new StoreLeaseKeeper({ clusterConfig, clock, keyValueStore, log });
  return { rateLimiter, keyValueStore, watchCache, leaseKeeper };
}
