// Summaries of partitions of any size as messages that each fit a frame of the link, and back.
import type { MachineRoom, PartSummary } from '@gingerlock/core';
import type { PeerMachineRoom, PeerMessage, PeerMessages, PeerSummary } from '@gingerlock/peer';

/** Share of a frame that the estimated size of one message may take: the estimate leaves out small things. */
const FRAME_SHARE = 0.5;

/** Bytes of the numbers and flags of one machine, rounded up: eight for each number, and lengths before texts and lists. */
const MACHINE_BYTES = 80;

/** Bytes of the three numbers of an amount. */
const AMOUNTS_BYTES = 24;

/** Bytes of one job that runs, beside its name. */
const RUNNING_BYTES = 12;

/** Bytes of the length that stands before a text. */
const LENGTH_BYTES = 2;

type Running = PeerSummary['running'][number];

function machineBytes(machine: MachineRoom): number {
  const texts = [machine.name, machine.type, machine.zone, ...machine.images];
  const textBytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text) + LENGTH_BYTES, 0);
  return MACHINE_BYTES + textBytes + AMOUNTS_BYTES * (machine.byRank.length + 1);
}

function runningBytes({ job }: Running): number {
  return RUNNING_BYTES + Buffer.byteLength(job);
}

/** Splits a list into runs whose estimated sizes stay within the limit; an item that is larger stands alone. */
function splitBySize<T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[][] {
  const runs: T[][] = [];
  let room = 0;
  for (const item of items) {
    const size = sizeOf(item);
    if (runs.length === 0 || size > room) {
      runs.push([]);
      room = limit;
    }
    runs.at(-1)!.push(item);
    room -= size;
  }
  return runs;
}

/** One message with all of it where that fits a frame, as ever; otherwise several pieces. */
export function summaryMessages(
  summary: PartSummary,
  owner: string,
  sequence: number,
  frameBytes: number,
): PeerMessage[] {
  const { part, term, revision, missing } = summary;
  const head = { owner, part, term, revision, missing };
  const machines: PeerMachineRoom[] = summary.machines.map((machine) => ({
    ...machine,
    byRank: [...machine.byRank],
    images: [...machine.images],
  }));
  const running = summary.running.map(([job, tasks]) => ({ job, tasks }));
  const limit = frameBytes * FRAME_SHARE;
  const machineRuns = splitBySize(machines, machineBytes, limit);
  const runningRuns = splitBySize(running, runningBytes, limit);
  if (machineRuns.length <= 1 && runningRuns.length <= 1) return [{ kind: 'Summary', ...head, machines, running }];
  const contents = [
    ...machineRuns.map((run) => ({ machines: run, running: [] })),
    ...runningRuns.map((run) => ({ machines: [], running: run })),
  ];
  const pieces = contents.length;
  return contents.map((content, index) => ({ kind: 'SummaryPiece', ...head, sequence, index, pieces, ...content }));
}

/** Puts the pieces of summaries together that one controller sends, in order; the first of another summary makes it begin anew. */
export class SummaryAssembly {
  #first: PeerMessages['SummaryPiece'] | null = null;
  readonly #pieces = new Map<number, PeerMessages['SummaryPiece']>();

  /** Takes a piece; returns the summary once all of its pieces are there. */
  add(piece: PeerMessages['SummaryPiece']): PeerSummary | null {
    if (this.#first === null || !isOfSame(this.#first, piece)) {
      this.#first = piece;
      this.#pieces.clear();
    }
    if (piece.index >= 0 && piece.index < this.#first.pieces) this.#pieces.set(piece.index, piece);
    if (this.#pieces.size < this.#first.pieces) return null;
    const all = [...this.#pieces.values()].sort((a, b) => a.index - b.index);
    const { owner, part, term, revision, missing } = this.#first;
    const machines = all.flatMap((p) => p.machines);
    const running = all.flatMap((p) => p.running);
    return { owner, part, term, revision, missing, machines, running };
  }
}

type Identity = Pick<PeerMessages['SummaryPiece'], 'owner' | 'term' | 'revision' | 'sequence' | 'pieces'>;

function isOfSame(a: Identity, b: Identity): boolean {
  return (
    a.owner === b.owner &&
    a.term === b.term &&
    a.revision === b.revision &&
    a.sequence === b.sequence &&
    a.pieces === b.pieces
  );
}
