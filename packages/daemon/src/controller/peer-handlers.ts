// The handlers of messages from other controllers, one for each kind of message.
import { LEADERSHIP } from '@gingerlock/wire';
import type { OwnershipManager } from '../ownership/ownership-manager';
import type { PreviousOwnerQueries } from '../ownership/previous-owners';
import type { ClaimLists } from '../peers/claim-lists';
import type { GroupReports } from '../peers/group-reports';
import type { HeartbeatRelay } from '../peers/heartbeat-relay';
import type { PartitionStatuses } from '../peers/partition-statuses';
import type { PeerChannel } from '../peers/peer-channel';
import type { PeerConfirmation } from '../peers/peer-confirmation';
import type { PeerFailureDetector } from '../peers/peer-failure-detector';
import type { RateSharing } from '../peers/rate-sharing';
import type { ControllerContext } from './controller-context';
import type { OwnedResources } from './owned-resources';
import type { PeerMessageHandlers } from './peer-dispatcher';
import type { StoreContact } from './store-contact';

/** No deployment has more partitions: there are as many as controllers, whose number the settings limit. */
const MAX_PARTITIONS = 1000;

/** The modules that the handlers use. */
export interface PeerHandlerModules {
  readonly context: ControllerContext;
  readonly owned: OwnedResources;
  readonly peers: PeerChannel;
  readonly peerFailureDetector: PeerFailureDetector;
  readonly storeContact: StoreContact;
  readonly statuses: PartitionStatuses;
  readonly claimLists: ClaimLists;
  readonly groupReports: GroupReports;
  readonly rateSharing: RateSharing;
  readonly confirmation: PeerConfirmation;
  readonly ownership: OwnershipManager;
  readonly previousOwners: PreviousOwnerQueries;
  readonly relay: HeartbeatRelay;
}

/** Creates the handlers of all kinds of messages. */
export function peerMessageHandlers(modules: PeerHandlerModules): PeerMessageHandlers {
  return {
    ...clusterHandlers(modules),
    ...statusHandlers(modules),
    ...ownershipHandlers(modules),
    ...sharingHandlers(modules),
  };
}

type ClusterKinds = 'Hello' | 'PeerHeartbeat' | 'RevisionHint' | 'JobCancelled' | 'MachineDirectives';

function clusterHandlers(modules: PeerHandlerModules): Pick<PeerMessageHandlers, ClusterKinds> {
  const { context, owned, peers, statuses, peerFailureDetector } = modules;
  const { watchCache, clusterState } = context;
  return {
    // The peer may have just started: it learns from the last partition statuses which images the machines have cached.
    Hello: (from) => statuses.sendAll(peers, from),
    PeerHeartbeat: (from, { contactAgeMs, revision }, now) => {
      peerFailureDetector.recordContact(from, contactAgeMs, now);
      watchCache.hint(revision);
    },
    RevisionHint: (_from, { revision }) => watchCache.hint(revision),
    // Stopping tasks is safe even without contact with the store. No bound relies on the message: it may be lost.
    JobCancelled: (_from, { job }) => clusterState.markCancelled(job),
    MachineDirectives: (_from, { term, drain, gone }) => {
      if (clusterState.owners.get(LEADERSHIP)?.record.term === term) owned.applyDirectives(drain, gone);
    },
  };
}

type StatusKinds = 'PartitionStatus' | 'PartitionStatusFragment' | 'ReportSpace' | 'ClaimList' | 'GroupReports';

function statusHandlers(modules: PeerHandlerModules): Pick<PeerMessageHandlers, StatusKinds> {
  const { context, owned, statuses, claimLists, groupReports } = modules;
  const { features } = context.settings;
  return {
    PartitionStatus: (_from, message, now) => {
      if (isPartition(message) && !owned.owns(message.partitionId)) statuses.onStatus(message, now);
    },
    PartitionStatusFragment: (from, message, now) => {
      if (isPartition(message) && !owned.owns(message.partitionId)) statuses.onFragment(from, message, now);
    },
    ReportSpace: (from, message) => {
      if (isPartition(message)) statuses.onReportSpace(from, message);
    },
    ClaimList: (from, message, now) => {
      if (features.borrowing !== null && isPartition(message)) claimLists.onFragment(from, message, now);
    },
    GroupReports: (from, message) => {
      if (features.replicaGroups !== null && isPartition(message)) groupReports.onFragment(from, message);
    },
  };
}

/** Whether the message is about a partition that can exist: what is kept for each must not grow without end. */
function isPartition({ partitionId }: { readonly partitionId: number }): boolean {
  return partitionId >= 0 && partitionId < MAX_PARTITIONS;
}

type OwnershipKinds = 'OwnershipQuery' | 'OwnershipAnswer' | 'Relay' | 'RelayAnswer';

function ownershipHandlers(modules: PeerHandlerModules): Pick<PeerMessageHandlers, OwnershipKinds> {
  const { context, peers, ownership, previousOwners, relay } = modules;
  return {
    OwnershipQuery: (from, { id, partitionId, term }) => {
      const owns = ownership.ownsAfterQuery(partitionId, term);
      peers.send(from, { kind: 'OwnershipAnswer', id, owns });
    },
    OwnershipAnswer: (from, message, now) => previousOwners.onAnswer(from, message, now, context.clock.wallNow()),
    Relay: (from, message) => relay.onRelay(from, message),
    RelayAnswer: (_from, message) => relay.onAnswer(message),
  };
}

type SharingKinds = 'BudgetRequest' | 'BudgetGrant' | 'ConfirmationRequest' | 'Confirmation';

function sharingHandlers(modules: PeerHandlerModules): Pick<PeerMessageHandlers, SharingKinds> {
  const { rateSharing, confirmation, storeContact } = modules;
  return {
    BudgetRequest: (from, message) => rateSharing.onRequest(from, message),
    BudgetGrant: (from, message) => rateSharing.onGrant(from, message),
    ConfirmationRequest: (from, message, now) => confirmation.onRequest(from, message, storeContact.ageMs(now)),
    Confirmation: (from, message) => confirmation.onAnswer(from, message),
  };
}
