// Claim lists: the claims on each machine, which owners publish to the leader while borrowing is on.
import type { HeldTask, MachineClaims, PartitionClaims } from '@gingerlock/borrowing';
import type { ClaimTable, Machine } from '@gingerlock/core';
import { type PeerMessage, type PeerMessages, reportedCount } from '@gingerlock/peer';
import { fragmentsOf, SenderReassemblers } from './fragments';
import { NewestByPartition } from './newest-by-partition';

/** Size of the numeric fields of one task, in bytes, rounded up. */
const TASK_BYTES = 32;

/** Size of the length fields of one machine, in bytes. */
const MACHINE_BYTES = 8;

/** Returns the claims on the machines of a partition, as its owner knows them. */
export function claimsOf(table: ClaimTable, revision: number, now: number): PartitionClaims {
  const machines = [...table.machines.values()]
    .filter(({ claims }) => claims.size > 0)
    .map((machine) => ({ machine: machine.name, held: heldTasks(machine, now) }));
  return { partitionId: table.partitionId, term: table.term, revision, machines };
}

function heldTasks({ claims }: Machine, now: number): HeldTask[] {
  return [...claims.values()].map(({ name, claim }) => {
    const { attempt, stage, runningSince, stopGraceS } = claim!;
    const runMs = runningSince === null ? 0 : now - runningSince;
    return { task: name, attempt: reportedCount(attempt), stage, runMs, stopping: stopGraceS !== null };
  });
}

function machineBytes({ machine, held }: MachineClaims): number {
  const taskBytes = held.reduce((sum, { task: taskName }) => sum + TASK_BYTES + Buffer.byteLength(taskName), 0);
  return MACHINE_BYTES + Buffer.byteLength(machine) + taskBytes;
}

/** Splits a claim list into messages that each fit into a frame of the link. */
export function claimListMessages(claims: PartitionClaims, sequence: number, frameBytes: number): PeerMessage[] {
  return fragmentsOf(claims, claims.machines, machineBytes, sequence, frameBytes).map(({ fragment, items }) => ({
    kind: 'ClaimList',
    ...fragment,
    machines: items.map(({ machine, held }) => ({ machine, held: held.map((task) => ({ ...task })) })),
  }));
}

/** A claim list with the time when it was received. */
interface ReceivedClaims extends PartitionClaims {
  readonly receivedAt: number;
}

/** The newest claim list of each partition, as received by the leader. */
export class ClaimLists {
  readonly #newest = new NewestByPartition<ReceivedClaims>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['ClaimList']>();

  /** Handles a fragment from another controller. */
  onFragment(from: string, fragment: PeerMessages['ClaimList'], now: number): void {
    const fragments = this.#reassemblers.add(from, fragment);
    if (fragments === null) return;
    const { partitionId, term, revision } = fragment;
    this.put({ partitionId, term, revision, machines: fragments.flatMap(({ machines }) => machines) }, now);
  }

  /** Stores a complete claim list unless a newer one is known. */
  put(claims: PartitionClaims, now: number): void {
    this.#newest.put({ ...claims, receivedAt: now });
  }

  /** Returns the claim lists that were received at `since` or later. */
  since(since: number): PartitionClaims[] {
    return [...this.#newest.values()].filter(({ receivedAt }) => receivedAt >= since);
  }
}
