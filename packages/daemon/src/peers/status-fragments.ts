// Statuses of partitions, of any size, as messages that each fit a frame of the link, and back.
import type { MachineStatus, PartitionStatus } from '@gingerlock/core';
import type { PeerMachineStatus, PeerMessage, PeerMessages, PeerPartitionStatus } from '@gingerlock/peer';
import { FRAME_SHARE, FragmentReassembler, splitBySize } from './fragments';

/** Bytes of the numbers and flags of one machine, rounded up: eight for each number, and the lengths of its lists. */
const MACHINE_BYTES = 80;

/** Bytes of the three numbers of resources. */
const RESOURCES_BYTES = 24;

/** Bytes of one running job, beside its name. */
const RUNNING_BYTES = 12;

/** Bytes of the length that stands before a text. */
const LENGTH_BYTES = 2;

type RunningJob = PeerPartitionStatus['running'][number];

function machineBytes(machine: MachineStatus): number {
  const texts = [machine.name, machine.type, machine.zone, ...machine.images];
  const textBytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text) + LENGTH_BYTES, 0);
  return MACHINE_BYTES + textBytes + RESOURCES_BYTES * (machine.byPriority.length + 1);
}

function runningBytes({ job }: RunningJob): number {
  return RUNNING_BYTES + Buffer.byteLength(job);
}

/** One message with the whole status if that fits a frame, otherwise fragments. */
export function statusMessages(
  status: PartitionStatus,
  owner: string,
  sequence: number,
  frameBytes: number,
): PeerMessage[] {
  const { partitionId, term, revision, missing } = status;
  const head = { owner, partitionId, term, revision, missing };
  const machines: PeerMachineStatus[] = status.machines.map((machine) => ({
    ...machine,
    byPriority: [...machine.byPriority],
    images: [...machine.images],
  }));
  const running = status.running.map(([job, tasks]) => ({ job, tasks }));
  const limit = frameBytes * FRAME_SHARE;
  const machineRuns = splitBySize(machines, machineBytes, limit);
  const runningRuns = splitBySize(running, runningBytes, limit);
  if (machineRuns.length <= 1 && runningRuns.length <= 1)
    return [{ kind: 'PartitionStatus', ...head, machines, running }];
  const contents = [
    ...machineRuns.map((run) => ({ machines: run, running: [] })),
    ...runningRuns.map((run) => ({ machines: [], running: run })),
  ];
  const fragmentCount = contents.length;
  return contents.map((content, index) => ({
    kind: 'PartitionStatusFragment',
    ...head,
    sequence,
    index,
    fragmentCount,
    ...content,
  }));
}

/** The status of which `fragment` came last and `all` are all fragments, in order. */
export function statusFrom(
  { owner, partitionId, term, revision, missing }: PeerMessages['PartitionStatusFragment'],
  all: readonly PeerMessages['PartitionStatusFragment'][],
): PeerPartitionStatus {
  const machines = all.flatMap((fragment) => fragment.machines);
  const running = all.flatMap((fragment) => fragment.running);
  return { owner, partitionId, term, revision, missing, machines, running };
}

/** Reassembles the statuses of one partition that one controller sends. */
export class StatusReassembler {
  readonly #fragments = new FragmentReassembler<PeerMessages['PartitionStatusFragment']>();

  /** Takes a fragment; returns the status once all of its fragments are there. */
  add(fragment: PeerMessages['PartitionStatusFragment']): PeerPartitionStatus | null {
    const all = this.#fragments.add(fragment);
    return all === null ? null : statusFrom(fragment, all);
  }
}
