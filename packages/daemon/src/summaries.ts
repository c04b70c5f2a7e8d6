// How the partitions stand, as their owners tell each other: what runs and what is free. Hints for the leader's assignment, for
// what users are shown and for new owners; nothing that safety rests on.
import type { SpareCapacity, PartSummary } from '@gingerlock/core';
import type { PeerMessages, PeerSummary } from '@gingerlock/peer';
import type { PartitionOwner } from './owner';
import type { PeerChannel } from './peer-channel';
import { SummaryAssembly, summaryMessages } from './summary-pieces';

export interface SeenSummary {
  readonly summary: PartSummary;
  readonly at: number;
  readonly owner: string;
}

export class Summaries {
  readonly #seen = new Map<number, SeenSummary>();
  /** By sender and partition: a summary of which not all pieces have come yet. */
  readonly #assemblies = new Map<string, SummaryAssembly>();
  /** Numbers the summaries that this process sends in pieces. */
  #sequence = 0;

  all(): readonly SeenSummary[] {
    return [...this.#seen.values()];
  }

  of(partitionId: number): SeenSummary | undefined {
    return this.#seen.get(partitionId);
  }

  /** Takes what an owner tells, unless a later owner has told something. */
  onSummary(message: PeerSummary, now: number): void {
    const { owner, partitionId, term, revision, machines, missing } = message;
    if (term < (this.#seen.get(partitionId)?.summary.term ?? 0)) return;
    const running = message.running.map((r) => [r.job, r.tasks] as const);
    this.#seen.set(partitionId, {
      summary: { partitionId, term, revision, machines, missing, running },
      at: now,
      owner,
    });
  }

  /** Takes one piece; the summary counts once all of its pieces are there. */
  onPiece(from: string, piece: PeerMessages['SummaryPiece'], now: number): void {
    const key = `${from} ${piece.partitionId}`;
    const assembly = this.#assemblies.get(key) ?? new SummaryAssembly();
    this.#assemblies.set(key, assembly);
    const whole = assembly.add(piece);
    if (whole === null) return;
    this.#assemblies.delete(key);
    this.onSummary(whole, now);
  }

  /** Notes how a partition of our own stands, and tells the given peers. */
  publish(owner: PartitionOwner, node: string, now: number, peers: PeerChannel, to: readonly string[]): void {
    const summary = owner.summary(now);
    this.#seen.set(owner.partitionId, { summary, at: now, owner: node });
    const messages = summaryMessages(summary, node, ++this.#sequence, peers.link.frameBytes);
    for (const peer of to) peers.sendGroup(peer, messages);
  }

  /** Tells a peer that has just connected what was last heard of every partition. */
  sendAll(peers: PeerChannel, to: string): void {
    for (const { summary, owner } of this.#seen.values()) {
      peers.sendGroup(to, summaryMessages(summary, owner, ++this.#sequence, peers.link.frameBytes));
    }
  }

  /** How many tasks of the job run, as far as we have heard. */
  runningTasks(job: string): number {
    let running = 0;
    for (const { summary } of this.#seen.values()) {
      for (const [name, tasks] of summary.running) if (name === job) running += tasks;
    }
    return running;
  }

  /** Free capacity on ordinary machines of all other partitions, told of since `since`. */
  spareCapacity(exceptPartitionId: number, since: number): SpareCapacity[] {
    return this.all()
      .filter((seen) => seen.summary.partitionId !== exceptPartitionId && seen.at > since)
      .flatMap((seen) => seen.summary.machines.filter((m) => m.takesWork && !m.spot && m.free.gpus + m.free.cpus > 0));
  }
}
