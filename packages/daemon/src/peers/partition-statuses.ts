// How the partitions stand, as their owners tell each other: what runs and what is free. Hints for the leader's assignment, for
// what users are shown and for new owners; nothing that safety rests on.
import type { SpareCapacity, PartitionStatus } from '@gingerlock/core';
import type { PeerMessages, PeerPartitionStatus } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from './peer-channel';
import { StatusReassembler, statusMessages } from './status-fragments';

export interface ReceivedStatus {
  readonly status: PartitionStatus;
  readonly at: number;
  readonly owner: string;
}

export class PartitionStatuses {
  readonly #seen = new Map<number, ReceivedStatus>();
  /** By sender and partition: a summary of which not all pieces have come yet. */
  readonly #reassemblers = new Map<string, StatusReassembler>();
  /** Numbers the summaries that this process sends in pieces. */
  #sequence = 0;

  all(): readonly ReceivedStatus[] {
    return [...this.#seen.values()];
  }

  of(partitionId: number): ReceivedStatus | undefined {
    return this.#seen.get(partitionId);
  }

  /** Takes what an owner tells, unless a later owner has told something. */
  onStatus(message: PeerPartitionStatus, now: number): void {
    const { owner, partitionId, term, revision, machines, missing } = message;
    if (term < (this.#seen.get(partitionId)?.status.term ?? 0)) return;
    const running = message.running.map((r) => [r.job, r.tasks] as const);
    this.#seen.set(partitionId, {
      status: { partitionId, term, revision, machines, missing, running },
      at: now,
      owner,
    });
  }

  /** Takes one piece; the summary counts once all of its pieces are there. */
  onFragment(from: string, fragment: PeerMessages['PartitionStatusFragment'], now: number): void {
    const key = `${from} ${fragment.partitionId}`;
    const reassembler = this.#reassemblers.get(key) ?? new StatusReassembler();
    this.#reassemblers.set(key, reassembler);
    const whole = reassembler.add(fragment);
    if (whole === null) return;
    this.#reassemblers.delete(key);
    this.onStatus(whole, now);
  }

  /** Notes how a partition of our own stands, and tells the given peers. */
  publish(owner: PartitionOwner, node: string, now: number, peers: PeerChannel, to: readonly string[]): void {
    const status = owner.status(now);
    this.#seen.set(owner.partitionId, { status, at: now, owner: node });
    const messages = statusMessages(status, node, ++this.#sequence, peers.link.frameBytes);
    for (const peer of to) peers.sendGroup(peer, messages);
  }

  /** Tells a peer that has just connected what was last heard of every partition. */
  sendAll(peers: PeerChannel, to: string): void {
    for (const { status, owner } of this.#seen.values()) {
      peers.sendGroup(to, statusMessages(status, owner, ++this.#sequence, peers.link.frameBytes));
    }
  }

  /** How many tasks of the job run, as far as we have heard. */
  runningTasks(job: string): number {
    let running = 0;
    for (const { status } of this.#seen.values()) {
      for (const [name, tasks] of status.running) if (name === job) running += tasks;
    }
    return running;
  }

  /** Free capacity on ordinary machines of all other partitions, told of since `since`. */
  spareCapacity(exceptPartitionId: number, since: number): SpareCapacity[] {
    return this.all()
      .filter((seen) => seen.status.partitionId !== exceptPartitionId && seen.at > since)
      .flatMap((seen) => seen.status.machines.filter((m) => m.takesWork && !m.spot && m.free.gpus + m.free.cpus > 0));
  }
}
