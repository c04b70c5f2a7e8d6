// Report space: the bytes that the reports of workers have left for further tasks. Owners publish it beside their
// statuses, whose format earlier versions share and which therefore doesn't contain it.
import type { MachineStatus, PartitionStatus, Resources } from '@gingerlock/core';
import type { PeerMachineStatus, PeerMessage, PeerMessages, PeerReportSpace, PeerResources } from '@gingerlock/peer';
import { MAX_REPORTED_TASKS_BYTES } from '@gingerlock/wire';
import { fragmentsOf, SenderReassemblers } from './fragments';
import { NewestByPartition, type PartitionRevision } from './newest-by-partition';

/** A machine is published once it uses more than an eighth of its report space, which few machines ever do. */
const MAX_UNPUBLISHED_BYTES = Math.floor(MAX_REPORTED_TASKS_BYTES / 8);

/** What counts as free on a machine that is not published, or whose owner is of an earlier version. */
const FREE_IF_UNPUBLISHED = MAX_REPORTED_TASKS_BYTES - MAX_UNPUBLISHED_BYTES;

/** Size of the numbers of one machine, in bytes, rounded up. */
const MACHINE_BYTES = 32;

function isPublished({ takesWork, free, byPriority }: MachineStatus): boolean {
  const used = byPriority.reduce((sum, { reportBytes }) => sum + reportBytes, 0);
  return used > MAX_UNPUBLISHED_BYTES || (takesWork && free.reportBytes < FREE_IF_UNPUBLISHED);
}

function spaceOf({ name, free, byPriority }: MachineStatus): PeerReportSpace {
  return { machine: name, free: free.reportBytes, byPriority: byPriority.map(({ reportBytes }) => reportBytes) };
}

/** Publishes the report space of the machines of the partitions owned here. */
export class ReportSpacePublisher {
  /** By partition: the last ownership term in which a machine was published. */
  readonly #termByPartition = new Map<number, number>();

  /**
   * Returns messages, each of which fits into a frame of the link, with the report space of the status's machines; none
   * as long as no machine has been published in the ownership term.
   */
  messages(status: PartitionStatus, sequence: number, frameBytes: number): PeerMessage[] {
    const spaces = status.machines.filter(isPublished).map(spaceOf);
    if (spaces.length > 0) this.#termByPartition.set(status.partitionId, status.term);
    if (this.#termByPartition.get(status.partitionId) !== status.term) return [];
    const sizeOf = ({ machine }: PeerReportSpace): number => MACHINE_BYTES + Buffer.byteLength(machine);
    return fragmentsOf(status, spaces, sizeOf, sequence, frameBytes).map(({ fragment, items }) => ({
      kind: 'ReportSpace',
      ...fragment,
      machines: [...items],
    }));
  }
}

/** The published machines of one partition. */
interface PartitionReportSpace extends PartitionRevision {
  readonly byMachine: ReadonlyMap<string, PeerReportSpace>;
}

/** The newest report space of each partition, as published by the owners on other controllers. */
export class ReportSpaces {
  readonly #newest = new NewestByPartition<PartitionReportSpace>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['ReportSpace']>();

  /** Handles a fragment from another controller. */
  onFragment(from: string, fragment: PeerMessages['ReportSpace']): void {
    const fragments = this.#reassemblers.add(from, fragment);
    if (fragments === null) return;
    const { partitionId, term, revision } = fragment;
    const machines = fragments.flatMap((part) => part.machines);
    this.#newest.put({
      partitionId,
      term,
      revision,
      byMachine: new Map(machines.map((space) => [space.machine, space])),
    });
  }

  /**
   * Adds the report space to machines of a status of the owner with that term, and returns them. The decoded machines
   * are completed in place, since statuses are large and arrive often.
   */
  addTo(machines: readonly PeerMachineStatus[], partitionId: number, term: number): MachineStatus[] {
    const published = this.#newest.get(partitionId);
    const byMachine = published?.term === term ? published.byMachine : null;
    return machines.map((machine) => {
      const space = byMachine?.get(machine.name);
      return Object.assign(machine, {
        free: withReportBytes(machine.free, space?.free ?? FREE_IF_UNPUBLISHED),
        byPriority: machine.byPriority.map((used, priority) => withReportBytes(used, space?.byPriority[priority] ?? 0)),
      });
    });
  }
}

/** Returns decoded resources with their report space. */
export function withReportBytes({ cpus, gpus, memoryGb }: PeerResources, reportBytes: number): Resources {
  return { cpus, gpus, memoryGb, reportBytes };
}
