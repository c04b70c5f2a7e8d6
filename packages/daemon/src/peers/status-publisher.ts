// When and to whom a controller publishes the statuses of its partitions, and what its leader needs beside them.
import { LEADERSHIP } from '@gingerlock/wire';
import type { PeerMessage } from '@gingerlock/peer';
import { type ClaimLists, claimListMessages, claimsOf } from './claim-lists';
import { type GroupReports, groupReportMessages } from './group-reports';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from './peer-channel';
import { DISPLAY_LAG_MS, type ControllerContext } from '../controller/controller-context';
import type { PartitionStatuses } from './partition-statuses';

/** Statuses are published so many times in a heartbeat interval at most, however often something changes. */
const MAX_PER_HEARTBEAT = 6;

/** Statuses are published so many times in a heartbeat interval at least, though nothing changes. */
const MIN_PER_HEARTBEAT = 2;

/** How often in a heartbeat interval the leader is sent lists of claims. */
const CLAIM_LISTS_PER_HEARTBEAT = 3;

/** Publishes for one controller; the leader may be this controller itself. */
export class StatusPublisher {
  #sentAt = -Infinity;
  #sentToAllAt = -Infinity;
  /** The number of changes of all claim tables when statuses were sent last. */
  #sentChanges = -1;
  #claimsSentAt = -Infinity;
  /** Numbers the lists of claims that this process sends. */
  #claimListSequence = 0;
  /** Numbers the reports on replica groups that this process sends. */
  #groupReportSequence = 0;

  constructor(
    readonly context: ControllerContext,
    readonly peers: PeerChannel,
    readonly statuses: PartitionStatuses,
    readonly claimLists: ClaimLists,
    readonly groupReports: GroupReports,
  ) {}

  /**
   * Publishes the partitions' statuses, if that is due; false: it is not. `contactAgeMs`: time since the store was
   * read.
   */
  publish(owners: readonly PartitionOwner[], contactAgeMs: number, now: number): boolean {
    const { settings, watchCache } = this.context;
    const changes = owners.reduce((sum, { claimTable }) => sum + claimTable.changes + 1, 0);
    if (!this.#isDue(changes, now)) return false;
    this.#sentAt = now;
    this.#sentChanges = changes;
    // It is small and urgent: sent before the statuses, which may fill the connection.
    this.peers.broadcast({ kind: 'PeerHeartbeat', contactAgeMs, revision: watchCache.revision });
    const receivers = this.#statusReceivers(now);
    for (const owner of owners) this.statuses.publish(owner, settings.node, now, this.peers, receivers);
    this.#publishClaims(owners, now);
    this.#publishGroupReports(owners, now);
    return true;
  }

  #isDue(changes: number, now: number): boolean {
    const { heartbeatIntervalMs } = this.context.clusterConfig;
    const sinceMs = now - this.#sentAt;
    if (sinceMs < heartbeatIntervalMs / MAX_PER_HEARTBEAT) return false;
    return changes !== this.#sentChanges || sinceMs >= heartbeatIntervalMs / MIN_PER_HEARTBEAT;
  }

  /**
   * The leader assigns tasks by the statuses and gets every one. The other controllers show users by them what runs,
   * and take cached images from them at a failover: they get one from time to time.
   */
  #statusReceivers(now: number): string[] {
    const { clusterConfig, clusterState } = this.context;
    const leaderNode = clusterState.owners.get(LEADERSHIP)?.record.node;
    const isForAll = now - this.#sentToAllAt > Math.min(clusterConfig.heartbeatIntervalMs, DISPLAY_LAG_MS / 2);
    if (isForAll) this.#sentToAllAt = now;
    return this.peers.link.nodes.filter((node) => isForAll || node === leaderNode);
  }

  /** Publishes what machines hold to the leader, if it takes that. */
  #publishClaims(owners: readonly PartitionOwner[], now: number): void {
    const { clusterState, settings, clusterConfig, watchCache } = this.context;
    const leadershipHold = clusterState.holds.get(LEADERSHIP)?.record;
    if (settings.features.borrowing === null || leadershipHold?.takesClaimLists !== true) return;
    if (now - this.#claimsSentAt < clusterConfig.heartbeatIntervalMs / CLAIM_LISTS_PER_HEARTBEAT) return;
    this.#claimsSentAt = now;
    for (const { claimTable } of owners) {
      const claims = claimsOf(claimTable, watchCache.revision, now);
      this.#publishToLeader(leadershipHold.node, {
        take: () => this.claimLists.note(claims, now),
        messages: (frameBytes) => claimListMessages(claims, ++this.#claimListSequence, frameBytes),
      });
    }
  }

  /** Publishes how the members of replica groups are to the leader, if it takes that. */
  #publishGroupReports(owners: readonly PartitionOwner[], now: number): void {
    const leadershipHold = this.context.clusterState.holds.get(LEADERSHIP)?.record;
    if (leadershipHold?.takesGroupReports !== true) return;
    for (const { groups, claimTable } of owners) {
      if (groups === null) continue;
      const report = groups.report(claimTable, now);
      this.#publishToLeader(leadershipHold.node, {
        take: () => this.groupReports.note(report),
        messages: (frameBytes) => groupReportMessages(report, ++this.#groupReportSequence, frameBytes),
      });
    }
  }

  /** `take` is called if this controller is the leader; otherwise the messages are sent. */
  #publishToLeader(
    leaderNode: string,
    content: { readonly take: () => void; readonly messages: (frameBytes: number) => PeerMessage[] },
  ): void {
    if (leaderNode === this.context.settings.node) content.take();
    else this.peers.sendGroup(leaderNode, content.messages(this.peers.link.frameBytes));
  }
}
