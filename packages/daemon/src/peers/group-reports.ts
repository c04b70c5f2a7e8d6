// What owners tell the leader of the members of replica groups: one or several messages, and back.
import type { GroupReport, PartitionGroupReport } from '@gingerlock/replica-groups';
import type { PeerGroupReport, PeerMessage, PeerMessages } from '@gingerlock/peer';
import { GROUP_REASONS } from '@gingerlock/wire';
import { fragmentContents, SenderReassemblers } from './fragments';

/** Bytes of the numbers of one member, and of the lengths around one group, rounded up. */
const MEMBER_BYTES = 24;
const GROUP_BYTES = 16;

/** The number that stands for no reason. */
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

export function groupReportMessages(report: PartitionGroupReport, sequence: number, frameBytes: number): PeerMessage[] {
  const { partitionId, term, revision } = report;
  const contents = fragmentContents(report.groups, groupBytes, frameBytes);
  return contents.map((run, index) => ({
    kind: 'GroupReports',
    partitionId,
    term,
    revision,
    sequence,
    index,
    fragmentCount: contents.length,
    groups: run.map(toPeer),
  }));
}

/** The newest report of each partition. */
export class GroupReports {
  readonly #seen = new Map<number, PartitionGroupReport & { readonly byJob: ReadonlyMap<string, GroupReport> }>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['GroupReports']>();

  /** Takes a piece from another controller. */
  onFragment(from: string, fragment: PeerMessages['GroupReports']): void {
    const all = this.#reassemblers.add(from, fragment);
    if (all === null) return;
    const { partitionId, term, revision } = fragment;
    this.note({ partitionId, term, revision, groups: all.flatMap(({ groups }) => groups.map(fromPeer)) });
  }

  /** Takes a whole report, unless a later one is known. */
  note(report: PartitionGroupReport): void {
    const known = this.#seen.get(report.partitionId);
    if (known !== undefined && report.term < known.term) return;
    if (known !== undefined && report.term === known.term && report.revision < known.revision) return;
    this.#seen.set(report.partitionId, { ...report, byJob: new Map(report.groups.map((group) => [group.job, group])) });
  }

  /**
   * What the owner of that term tells of the group, once it has read the group's record at that version; null: nothing. Nothing is told of
   * a group that serves well.
   */
  of(partitionId: number, term: number, job: string, version: number): GroupReport | null {
    const report = this.#seen.get(partitionId);
    if (report === undefined || report.term !== term || report.revision < version) return null;
    return report.byJob.get(job) ?? null;
  }
}
