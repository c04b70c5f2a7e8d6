// Splits partition statuses of any size into messages that each fit into a frame of the link, and reassembles them.
import type { PartitionStatus } from '@gingerlock/core';
import {
  type PeerMachineStatus,
  type PeerMessage,
  type PeerMessages,
  type PeerPartitionStatus,
  reportedCount,
} from '@gingerlock/peer';
import { FRAME_SHARE, FragmentReassembler, splitBySize } from './fragments';

/** Size of the numbers, flags and list lengths of one machine, in bytes, rounded up; a number takes eight. */
const MACHINE_BYTES = 80;

/** Size of the three numbers of a `Resources` value, in bytes. */
const RESOURCES_BYTES = 24;

/** Size of one running job without its name, in bytes. */
const RUNNING_BYTES = 12;

/** Size of the length prefix of a string, in bytes. */
const LENGTH_BYTES = 2;

type RunningJob = PeerPartitionStatus['running'][number];

function machineBytes(machine: PeerMachineStatus): number {
  const texts = [machine.name, machine.type, machine.zone, ...machine.images];
  const textBytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text) + LENGTH_BYTES, 0);
  return MACHINE_BYTES + textBytes + RESOURCES_BYTES * (machine.byPriority.length + 1);
}

function runningBytes({ job }: RunningJob): number {
  return RUNNING_BYTES + Buffer.byteLength(job);
}

/** Returns one message with the whole status if it fits into a frame, otherwise fragments. */
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
    agentEpoch: reportedCount(machine.agentEpoch),
    byPriority: [...machine.byPriority],
    images: [...machine.images],
  }));
  const running = status.running.map(([job, tasks]) => ({ job, tasks }));
  const limit = frameBytes * FRAME_SHARE;
  const machineChunks = splitBySize(machines, machineBytes, limit);
  const runningChunks = splitBySize(running, runningBytes, limit);
  if (machineChunks.length <= 1 && runningChunks.length <= 1)
    return [{ kind: 'PartitionStatus', ...head, machines, running }];
  const contents = [
    ...machineChunks.map((chunk) => ({ machines: chunk, running: [] })),
    ...runningChunks.map((chunk) => ({ machines: [], running: chunk })),
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

/** Joins the fragments of a status: `all` has all of them in order, `fragment` is the one that arrived last. */
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

  /** Adds a fragment. Returns the status once all of its fragments have arrived, otherwise null. */
  add(fragment: PeerMessages['PartitionStatusFragment']): PeerPartitionStatus | null {
    const all = this.#fragments.add(fragment);
    return all === null ? null : statusFrom(fragment, all);
  }
}
