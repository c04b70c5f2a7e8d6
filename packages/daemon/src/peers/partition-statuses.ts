// The statuses of all partitions, as their owners publish them: what runs and what is free. Hints for the leader's
// assignment, for what users are shown and for new owners; no safety rests on them.
import type { SpareCapacity, PartitionStatus } from '@gingerlock/core';
import type { PeerMessages, PeerPartitionStatus } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from './peer-channel';
import { SenderReassemblers } from './fragments';
import { statusFrom, statusMessages } from './status-fragments';

/** A status with when and from whom it came. */
export interface ReceivedStatus {
  readonly status: PartitionStatus;
  readonly at: number;
  /** The controller that owns the partition. */
  readonly owner: string;
}

/** The last status of each partition, of our own partitions too. */
export class PartitionStatuses {
  readonly #received = new Map<number, ReceivedStatus>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['PartitionStatusFragment']>();
  /** Numbers the statuses that this process sends. */
  #sequence = 0;

  /** The last status of every partition of which one has come. */
  all(): readonly ReceivedStatus[] {
    return [...this.#received.values()];
  }

  /** The last status of the partition; undefined: none has come. */
  of(partitionId: number): ReceivedStatus | undefined {
    return this.#received.get(partitionId);
  }

  /** Takes an owner's status, unless one of a later owner is known. */
  onStatus(message: PeerPartitionStatus, now: number): void {
    const { owner, partitionId, term, revision, machines, missing } = message;
    if (term < (this.#received.get(partitionId)?.status.term ?? 0)) return;
    const running = message.running.map(({ job, tasks }) => [job, tasks] as const);
    this.#received.set(partitionId, {
      status: { partitionId, term, revision, machines, missing, running },
      at: now,
      owner,
    });
  }

  /** Takes a fragment; the status counts once all of its fragments have come. */
  onFragment(from: string, fragment: PeerMessages['PartitionStatusFragment'], now: number): void {
    const all = this.#reassemblers.add(from, fragment);
    if (all !== null) this.onStatus(statusFrom(fragment, all), now);
  }

  /** Takes the status of a partition of our own, and sends it to the given peers. */
  publish(owner: PartitionOwner, node: string, now: number, peers: PeerChannel, to: readonly string[]): void {
    const status = owner.status(now);
    this.#received.set(owner.partitionId, { status, at: now, owner: node });
    const messages = statusMessages(status, node, ++this.#sequence, peers.link.frameBytes);
    for (const peer of to) peers.sendGroup(peer, messages);
  }

  /** Sends a peer that has just connected the last status of every partition. */
  sendAll(peers: PeerChannel, to: string): void {
    for (const { status, owner } of this.#received.values()) {
      peers.sendGroup(to, statusMessages(status, owner, ++this.#sequence, peers.link.frameBytes));
    }
  }

  /** How many tasks of the job run, by the last statuses. */
  runningTasks(job: string): number {
    let running = 0;
    for (const { status } of this.#received.values()) {
      for (const [name, tasks] of status.running) if (name === job) running += tasks;
    }
    return running;
  }

  /** Free capacity on ordinary machines of all other partitions, by statuses that came after `since`. */
  spareCapacity(exceptPartitionId: number, since: number): SpareCapacity[] {
    return this.all()
      .filter(({ status, at }) => status.partitionId !== exceptPartitionId && at > since)
      .flatMap(({ status }) => status.machines)
      .filter(({ takesWork, spot, free }) => takesWork && !spot && free.gpus + free.cpus > 0);
  }
}
