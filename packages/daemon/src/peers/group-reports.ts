// Reports on the members of replica groups, which owners publish to the leader.
import type { GroupReport, PartitionGroupReport } from '@gingerlock/replica-groups';
import { type PeerGroupReport, type PeerMessage, type PeerMessages, reportedCount } from '@gingerlock/peer';
import { GROUP_REASONS } from '@gingerlock/wire';
import { fragmentsOf, SenderReassemblers } from './fragments';
import { NewestByPartition } from './newest-by-partition';

/** Size of the numeric fields of one member, in bytes, rounded up. */
const MEMBER_BYTES = 24;

/** Size of the length fields of one group, in bytes, rounded up. */
const GROUP_BYTES = 16;

/** Encodes that there is no reason. */
const NO_REASON = -1;

function groupBytes({ job, members }: GroupReport): number {
  return GROUP_BYTES + Buffer.byteLength(job) + members.length * MEMBER_BYTES;
}

function toPeer({ job, generation, members }: GroupReport): PeerGroupReport {
  return {
    job,
    generation,
    members: members.map(({ reason, ...member }) => ({
      ...member,
      attempt: reportedCount(member.attempt),
      reason: reason === null ? NO_REASON : GROUP_REASONS.indexOf(reason),
    })),
  };
}

function fromPeer({ job, generation, members }: PeerGroupReport): GroupReport {
  return {
    job,
    generation,
    members: members.map(({ reason, ...member }) => ({ ...member, reason: GROUP_REASONS[reason] ?? null })),
  };
}

/** Splits a report into messages that each fit into a frame of the link. */
export function groupReportMessages(report: PartitionGroupReport, sequence: number, frameBytes: number): PeerMessage[] {
  return fragmentsOf(report, report.groups, groupBytes, sequence, frameBytes).map(({ fragment, items }) => ({
    kind: 'GroupReports',
    ...fragment,
    groups: items.map(toPeer),
  }));
}

/** A report with its groups by job. */
interface IndexedGroupReport extends PartitionGroupReport {
  readonly byJob: ReadonlyMap<string, GroupReport>;
}

/** The newest report of each partition, as received by the leader. */
export class GroupReports {
  readonly #newest = new NewestByPartition<IndexedGroupReport>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['GroupReports']>();

  /** Handles a fragment from another controller. */
  onFragment(from: string, fragment: PeerMessages['GroupReports']): void {
    const fragments = this.#reassemblers.add(from, fragment);
    if (fragments === null) return;
    const { partitionId, term, revision } = fragment;
    this.put({ partitionId, term, revision, groups: fragments.flatMap(({ groups }) => groups.map(fromPeer)) });
  }

  /** Stores a complete report unless a newer one is known. */
  put(report: PartitionGroupReport): void {
    this.#newest.put({ ...report, byJob: new Map(report.groups.map((group) => [group.job, group])) });
  }

  /**
   * Returns the report on the group by the owner of that term, made after it read the group's record at that version;
   * null if there is none. A group that serves well is not reported.
   */
  of(partitionId: number, term: number, job: string, version: number): GroupReport | null {
    const report = this.#newest.get(partitionId);
    if (report === undefined || report.term !== term || report.revision < version) return null;
    return report.byJob.get(job) ?? null;
  }
}
