// Decides when and to whom a controller publishes its partition statuses, claim lists and group reports.
import { LEADERSHIP } from '@gingerlock/wire';
import type { PeerMessage } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import { DISPLAY_LAG_MS, type ControllerContext } from '../controller/controller-context';
import { type ClaimLists, claimListMessages, claimsOf } from './claim-lists';
import { type GroupReports, groupReportMessages } from './group-reports';
import type { PeerChannel } from './peer-channel';
import type { PartitionStatuses, StatusReceivers } from './partition-statuses';

/** Statuses are published at most this many times in a heartbeat interval, however often something changes. */
const MAX_PER_HEARTBEAT = 6;

/** Statuses are published at least this many times in a heartbeat interval, even if nothing changes. */
const MIN_PER_HEARTBEAT = 2;

/** Claim lists are sent to the leader this many times in a heartbeat interval. */
const CLAIM_LISTS_PER_HEARTBEAT = 3;

/** Publishes what peers need to know about the partitions of one controller, which may be the leader itself. */
export class StatusPublisher {
  #sentAt = -Infinity;
  #sentToAllAt = -Infinity;
  /** The number of changes of all claim tables when statuses were last sent. */
  #sentChanges = -1;
  #claimsSentAt = -Infinity;
  /** Number of the last claim list that this process sent. */
  #claimListSequence = 0;
  /** Number of the last group report that this process sent. */
  #groupReportSequence = 0;

  constructor(
    readonly context: ControllerContext,
    readonly peers: PeerChannel,
    readonly statuses: PartitionStatuses,
    readonly claimLists: ClaimLists,
    readonly groupReports: GroupReports,
  ) {}

  /**
   * Publishes the partitions' statuses if that is due; returns whether it was. `contactAgeMs`: time since the last read
   * of the store.
   */
  publish(owners: readonly PartitionOwner[], contactAgeMs: number, now: number): boolean {
    const { settings, watchCache } = this.context;
    const changes = owners.reduce((sum, { claimTable }) => sum + claimTable.changes + 1, 0);
    if (!this.#isDue(changes, now)) return false;
    this.#sentAt = now;
    this.#sentChanges = changes;
    // The heartbeat is small and urgent, so it is sent before the statuses, which may fill the connection.
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
   * Returns the peers that get the statuses now. The leader gets every status, since it assigns tasks by them. The
   * other controllers get them less often: they show users what runs, and learn the cached images for a failover.
   */
  #statusReceivers(now: number): StatusReceivers {
    const { clusterConfig, clusterState } = this.context;
    const leaderNode = clusterState.owners.get(LEADERSHIP)?.record.node;
    const isDueForAll = now - this.#sentToAllAt > Math.min(clusterConfig.heartbeatIntervalMs, DISPLAY_LAG_MS / 2);
    if (isDueForAll) this.#sentToAllAt = now;
    const nodes = this.peers.link.nodes.filter((node) => isDueForAll || node === leaderNode);
    return { nodes, takesReportSpace: (node) => this.#takesReportSpace(node) };
  }

  /** Whether a controller accepts report space. One that owns nothing is not known to do so, and has no use for it. */
  #takesReportSpace(node: string): boolean {
    const holds = [...this.context.clusterState.holds.values()];
    return holds.some(({ record }) => record.node === node && record.takesReportSpace === true);
  }

  /** Publishes the claim lists to the leader if it accepts them. */
  #publishClaims(owners: readonly PartitionOwner[], now: number): void {
    const { clusterState, settings, clusterConfig, watchCache } = this.context;
    const leadershipHold = clusterState.holds.get(LEADERSHIP)?.record;
    if (settings.features.borrowing === null || leadershipHold?.takesClaimLists !== true) return;
    if (now - this.#claimsSentAt < clusterConfig.heartbeatIntervalMs / CLAIM_LISTS_PER_HEARTBEAT) return;
    this.#claimsSentAt = now;
    for (const { claimTable } of owners) {
      const claims = claimsOf(claimTable, watchCache.revision, now);
      this.#publishToLeader(leadershipHold.node, {
        storeLocally: () => this.claimLists.put(claims, now),
        messages: (frameBytes) => claimListMessages(claims, ++this.#claimListSequence, frameBytes),
      });
    }
  }

  /** Publishes reports on the members of replica groups to the leader if it accepts them. */
  #publishGroupReports(owners: readonly PartitionOwner[], now: number): void {
    const leadershipHold = this.context.clusterState.holds.get(LEADERSHIP)?.record;
    if (leadershipHold?.takesGroupReports !== true) return;
    for (const { groups, claimTable } of owners) {
      if (groups === null) continue;
      const report = groups.report(claimTable, now);
      this.#publishToLeader(leadershipHold.node, {
        storeLocally: () => this.groupReports.put(report),
        messages: (frameBytes) => groupReportMessages(report, ++this.#groupReportSequence, frameBytes),
      });
    }
  }

  /** Calls `storeLocally` if this controller is the leader; otherwise sends the messages to the leader. */
  #publishToLeader(
    leaderNode: string,
    content: { readonly storeLocally: () => void; readonly messages: (frameBytes: number) => PeerMessage[] },
  ): void {
    if (leaderNode === this.context.settings.node) content.storeLocally();
    else this.peers.sendBatch(leaderNode, content.messages(this.peers.link.frameBytes));
  }
}
