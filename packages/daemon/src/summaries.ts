// How the partitions stand, as their owners tell each other: what runs and what is free. Hints for the leader's assignment, for
// what users are shown and for new owners; nothing that safety rests on.
import type { SpareCapacity, PartSummary } from '@gingerlock/core';
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import type { PartOwner } from './owner';
import type { PeerChannel } from './peer-channel';

export interface SeenSummary {
  readonly summary: PartSummary;
  readonly at: number;
  readonly owner: string;
}

export class Summaries {
  readonly #seen = new Map<number, SeenSummary>();

  all(): readonly SeenSummary[] {
    return [...this.#seen.values()];
  }

  of(part: number): SeenSummary | undefined {
    return this.#seen.get(part);
  }

  /** Takes what an owner tells, unless a later owner has told something. */
  onSummary(message: PeerMessages['Summary'], now: number): void {
    const { owner, part, term, revision, machines, missing } = message;
    if (term < (this.#seen.get(part)?.summary.term ?? 0)) return;
    const running = message.running.map((r) => [r.job, r.tasks] as const);
    this.#seen.set(part, { summary: { part, term, revision, machines, missing, running }, at: now, owner });
  }

  /** Notes how a partition of our own stands, and tells the given peers. */
  publish(owner: PartOwner, node: string, now: number, peers: PeerChannel, to: readonly string[]): void {
    const summary = owner.summary(now);
    this.#seen.set(owner.part, { summary, at: now, owner: node });
    const message = summaryMessage(summary, node);
    for (const peer of to) peers.send(peer, message);
  }

  /** Tells a peer that has just connected what was last heard of every partition. */
  sendAll(peers: PeerChannel, to: string): void {
    for (const { summary, owner } of this.#seen.values()) peers.send(to, summaryMessage(summary, owner));
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
  spareCapacity(exceptPart: number, since: number): SpareCapacity[] {
    return this.all()
      .filter((seen) => seen.summary.part !== exceptPart && seen.at > since)
      .flatMap((seen) => seen.summary.machines.filter((m) => m.takesWork && !m.spot && m.free.gpus + m.free.cpus > 0));
  }
}

function summaryMessage(summary: PartSummary, owner: string): PeerMessage {
  return {
    kind: 'Summary',
    owner,
    part: summary.part,
    term: summary.term,
    revision: summary.revision,
    machines: summary.machines.map((m) => ({ ...m, byRank: [...m.byRank], images: [...m.images] })),
    missing: summary.missing,
    running: summary.running.map(([job, tasks]) => ({ job, tasks })),
  };
}
