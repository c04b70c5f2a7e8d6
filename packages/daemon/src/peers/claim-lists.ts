// What machines hold, as owners tell the leader while borrowing is on: one or several messages, and back.
import type { HeldTask, MachineClaims, PartitionClaims } from '@gingerlock/borrowing';
import type { ClaimTable } from '@gingerlock/core';
import type { PeerMessage, PeerMessages } from '@gingerlock/peer';
import { fragmentContents, SenderReassemblers } from './fragments';

/** Bytes of the numbers of one task, rounded up. */
const TASK_BYTES = 32;

/** Bytes of the lengths around one machine. */
const MACHINE_BYTES = 8;

/** What the machines of the partition hold, as its owner knows it. */
export function claimsOf(table: ClaimTable, revision: number, now: number): PartitionClaims {
  const machines: MachineClaims[] = [];
  for (const machine of table.machines.values()) {
    if (machine.claims.size === 0) continue;
    const held = [...machine.claims.values()].map(({ name, claim }): HeldTask => {
      const { attempt, stage, runningSince, stopGraceS } = claim!;
      const runMs = runningSince === null ? 0 : now - runningSince;
      return { task: name, attempt, stage, runMs, stopping: stopGraceS !== null };
    });
    machines.push({ machine: machine.name, held });
  }
  return { partitionId: table.partitionId, term: table.term, revision, machines };
}

function machineBytes({ machine, held }: MachineClaims): number {
  const taskBytes = held.reduce((sum, { task: taskName }) => sum + TASK_BYTES + Buffer.byteLength(taskName), 0);
  return MACHINE_BYTES + Buffer.byteLength(machine) + taskBytes;
}

export function claimListMessages(claims: PartitionClaims, sequence: number, frameBytes: number): PeerMessage[] {
  const { partitionId, term, revision } = claims;
  const contents = fragmentContents(claims.machines, machineBytes, frameBytes);
  return contents.map((run, index) => ({
    kind: 'ClaimList',
    partitionId,
    term,
    revision,
    sequence,
    index,
    fragmentCount: contents.length,
    machines: run.map(({ machine, held }) => ({ machine, held: held.map((task) => ({ ...task })) })),
  }));
}

interface SeenClaims {
  readonly claims: PartitionClaims;
  readonly at: number;
}

/** The newest list of each partition. */
export class ClaimLists {
  readonly #seen = new Map<number, SeenClaims>();
  readonly #reassemblers = new SenderReassemblers<PeerMessages['ClaimList']>();

  /** Takes a piece from another controller. */
  onFragment(from: string, fragment: PeerMessages['ClaimList'], now: number): void {
    const all = this.#reassemblers.add(from, fragment);
    if (all === null) return;
    const { partitionId, term, revision } = fragment;
    this.note({ partitionId, term, revision, machines: all.flatMap((p) => p.machines) }, now);
  }

  /** Takes a whole list, unless a later one is known. */
  note(claims: PartitionClaims, now: number): void {
    const known = this.#seen.get(claims.partitionId)?.claims;
    if (known !== undefined && (claims.term < known.term || isOlder(claims, known))) return;
    this.#seen.set(claims.partitionId, { claims, at: now });
  }

  /** The lists that were told since `since`. */
  since(since: number): PartitionClaims[] {
    return [...this.#seen.values()].filter((seen) => seen.at >= since).map((seen) => seen.claims);
  }
}

function isOlder(claims: PartitionClaims, than: PartitionClaims): boolean {
  return claims.term === than.term && claims.revision < than.revision;
}
