// When and to whom a controller tells how its partitions stand.
import { LEADERSHIP } from '@gingerlock/wire';
import { type ClaimLists, claimListMessages, claimsOf } from './claim-lists';
import { type GroupReports, groupReportMessages } from './group-reports';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from './peer-channel';
import { DISPLAY_LAG_MS, type ControllerContext } from '../controller/controller-context';
import type { PartitionStatuses } from './partition-statuses';

/** Nothing is told more often than so many times in a report interval, and all of it so many times at the least. */
const MOST_PER_REPORT = 6;
const LEAST_PER_REPORT = 2;

/** How often in a report interval the leader is told what machines hold. */
const CLAIM_LISTS_PER_REPORT = 3;

export class StatusPublisher {
  #sentAt = -Infinity;
  #sentToAllAt = -Infinity;
  /** What the claim tables had changed by then. */
  #sentChanges = -1;
  /** Numbers the lists of claims that this process sends. */
  #claimListSequence = 0;
  #claimsSentAt = -Infinity;
  /** Numbers the reports on replica groups that this process sends. */
  #groupReportSequence = 0;

  constructor(
    readonly context: ControllerContext,
    readonly peers: PeerChannel,
    readonly statuses: PartitionStatuses,
    readonly claimLists: ClaimLists,
    readonly groupReports: GroupReports,
  ) {}

  /** Tells the peers how the partitions stand, if that is due; false: it is not. */
  publish(owners: readonly PartitionOwner[], contactAgeMs: number, now: number): boolean {
    const { clusterConfig, settings, clusterState, watchCache } = this.context;
    const changes = owners.reduce((sum, { claimTable }) => sum + claimTable.changes + 1, 0);
    const since = now - this.#sentAt;
    if (since < clusterConfig.heartbeatIntervalMs / MOST_PER_REPORT) return false;
    if (changes === this.#sentChanges && since < clusterConfig.heartbeatIntervalMs / LEAST_PER_REPORT) return false;
    this.#sentAt = now;
    this.#sentChanges = changes;
    // Small and wanted soonest: before the summaries, which may fill the way.
    this.peers.broadcast({ kind: 'PeerHeartbeat', contactAgeMs, revision: watchCache.revision });
    // The leader divides by them and needs every one; the others show users what runs, and know images should they take
    // the part over.
    const leaderNode = clusterState.owners.get(LEADERSHIP)?.record.node;
    const forAll = now - this.#sentToAllAt > Math.min(clusterConfig.heartbeatIntervalMs, DISPLAY_LAG_MS / 2);
    if (forAll) this.#sentToAllAt = now;
    const to = this.peers.link.nodes.filter((node) => forAll || node === leaderNode);
    for (const owner of owners) this.statuses.publish(owner, settings.node, now, this.peers, to);
    this.#publishClaims(owners, now);
    this.#publishGroupReports(owners, now);
    return true;
  }

  /** Tells the leader how the members of replica groups are, if it takes that. */
  #publishGroupReports(owners: readonly PartitionOwner[], now: number): void {
    const leadershipHold = this.context.clusterState.holds.get(LEADERSHIP)?.record;
    const { features, node } = this.context.settings;
    if (features.replicaGroups === null || leadershipHold?.takesGroupReports !== true) return;
    const { frameBytes } = this.peers.link;
    for (const { groups, claimTable } of owners) {
      const report = groups!.report(claimTable, now);
      if (leadershipHold.node === node) this.groupReports.note(report);
      else
        this.peers.sendGroup(leadershipHold.node, groupReportMessages(report, ++this.#groupReportSequence, frameBytes));
    }
  }

  /** Tells the leader what the machines of our parts hold, if it takes that. */
  #publishClaims(owners: readonly PartitionOwner[], now: number): void {
    const leadershipHold = this.context.clusterState.holds.get(LEADERSHIP)?.record;
    const { features, node, clusterConfig } = this.context.settings;
    if (features.borrowing === null || leadershipHold?.takesClaimLists !== true) return;
    if (now - this.#claimsSentAt < clusterConfig.heartbeatIntervalMs / CLAIM_LISTS_PER_REPORT) return;
    this.#claimsSentAt = now;
    const { frameBytes } = this.peers.link;
    for (const { claimTable } of owners) {
      const claims = claimsOf(claimTable, this.context.watchCache.revision, now);
      if (leadershipHold.node === node) this.claimLists.note(claims, now);
      else this.peers.sendGroup(leadershipHold.node, claimListMessages(claims, ++this.#claimListSequence, frameBytes));
    }
  }
}
