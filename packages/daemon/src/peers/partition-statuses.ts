// The statuses of all partitions, as published by their owners: running tasks and free capacity. They are hints for the
// leader's assignment, for users and for new owners; no safety property depends on them.
import type { SpareCapacity, PartitionStatus } from '@gingerlock/core';
import type { PeerMessages, PeerPartitionStatus } from '@gingerlock/peer';
import type { PartitionOwner } from '../owner/partition-owner';
import type { PeerChannel } from './peer-channel';
import { SenderReassemblers } from './fragments';
import { ReportSpacePublisher, ReportSpaces, withReportBytes } from './report-space';
import { statusFrom, statusMessages } from './status-fragments';

/** A status with its time of arrival and its owner. */
export interface ReceivedStatus {
  readonly status: PartitionStatus;
  readonly at: number;
  /** The controller that owns the partition. */
  readonly owner: string;
}

/** The controllers that get statuses. */
export interface StatusReceivers {
  readonly nodes: readonly string[];
  /** Whether the controller accepts report space. Versions that do not know it would close the connection. */
  takesReportSpace(node: string): boolean;
}

/** The last status of each partition, including those owned here. */
export class PartitionStatuses {
  readonly #received = new Map<number, ReceivedStatus>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['PartitionStatusFragment']>();
  readonly #reportSpaces = new ReportSpaces();
  readonly #reportSpacePublisher = new ReportSpacePublisher();
  /** Number of the last status that this process sent. */
  #sequence = 0;

  /** Returns the last status of every partition that has one. */
  all(): readonly ReceivedStatus[] {
    return [...this.#received.values()];
  }

  /** Returns the last status of the partition; undefined if none has arrived. */
  of(partitionId: number): ReceivedStatus | undefined {
    return this.#received.get(partitionId);
  }

  /** Stores a status unless one of a later ownership term is known. */
  onStatus(message: PeerPartitionStatus, now: number): void {
    const { owner, partitionId, term, revision } = message;
    if (term < (this.#received.get(partitionId)?.status.term ?? 0)) return;
    const machines = this.#reportSpaces.addTo(message.machines, partitionId, term);
    const missing = withReportBytes(message.missing, 0);
    const running = message.running.map(({ job, tasks }) => [job, tasks] as const);
    this.#received.set(partitionId, {
      status: { partitionId, term, revision, machines, missing, running },
      at: now,
      owner,
    });
  }

  /** Handles a fragment; the status is stored once all of its fragments have arrived. */
  onFragment(from: string, fragment: PeerMessages['PartitionStatusFragment'], now: number): void {
    const all = this.#reassemblers.add(from, fragment);
    if (all !== null) this.onStatus(statusFrom(fragment, all), now);
  }

  /** Handles a fragment of a partition's report space, which the next status of its owner is completed with. */
  onReportSpace(from: string, fragment: PeerMessages['ReportSpace']): void {
    this.#reportSpaces.onFragment(from, fragment);
  }

  /** Stores the status of a partition owned here, and sends it to the given peers. */
  publish(owner: PartitionOwner, node: string, now: number, peers: PeerChannel, to: StatusReceivers): void {
    const status = owner.status(now);
    this.#received.set(owner.partitionId, { status, at: now, owner: node });
    const { frameBytes } = peers.link;
    const messages = statusMessages(status, node, ++this.#sequence, frameBytes);
    const spaceMessages = this.#reportSpacePublisher.messages(status, this.#sequence, frameBytes);
    for (const peer of to.nodes) {
      const takesSpace = spaceMessages.length > 0 && to.takesReportSpace(peer);
      peers.sendBatch(peer, takesSpace ? [...spaceMessages, ...messages] : messages);
    }
  }

  /** Sends the last status of every partition to a peer that has just connected. */
  sendAll(peers: PeerChannel, to: string): void {
    for (const { status, owner } of this.#received.values()) {
      peers.sendBatch(to, statusMessages(status, owner, ++this.#sequence, peers.link.frameBytes));
    }
  }

  /** Returns how many tasks of the job run according to the last statuses. */
  runningTasks(job: string): number {
    let running = 0;
    for (const { status } of this.#received.values()) {
      for (const [name, tasks] of status.running) if (name === job) running += tasks;
    }
    return running;
  }

  /** Returns the free capacity on ordinary machines of all other partitions, from statuses received after `since`. */
  spareCapacity(exceptPartitionId: number, since: number): SpareCapacity[] {
    return this.all()
      .filter(({ status, at }) => status.partitionId !== exceptPartitionId && at > since)
      .flatMap(({ status }) => status.machines)
      .filter(({ takesWork, spot, free }) => takesWork && !spot && free.gpus + free.cpus > 0);
  }
}
