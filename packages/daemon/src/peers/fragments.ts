// Content that is too large for one frame of the link: split into fragments that are sent as one message each, and
// reassembled.
import type { PartitionRevision } from './newest-by-partition';

/** Share of a frame that the estimated size of one message may take: the estimates leave out small things. */
export const FRAME_SHARE = 0.5;

/** Splits a list into runs whose estimated sizes stay within the limit; an item that is larger stands alone. */
export function splitBySize<T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[][] {
  const runs: T[][] = [];
  let remaining = 0;
  for (const item of items) {
    const size = sizeOf(item);
    if (runs.length === 0 || size > remaining) {
      runs.push([]);
      remaining = limit;
    }
    runs.at(-1)!.push(item);
    remaining -= size;
  }
  return runs;
}

/** What identifies a fragment: those of one message have the same numbers but for `index`. */
export interface Fragment {
  readonly term: number;
  readonly revision: number;
  /** Numbers the messages of one process. */
  readonly sequence: number;
  readonly index: number;
  readonly fragmentCount: number;
}

/** A fragment of what an owner publishes of a partition. */
export interface PartitionFragment extends Fragment {
  readonly partitionId: number;
}

/** The numbers of a fragment, and the items that it holds. */
export interface FragmentContent<T> {
  readonly fragment: PartitionFragment;
  readonly items: readonly T[];
}

/** Splits what is published of a partition; there is one fragment at least, so that an empty list is published too. */
export function fragmentsOf<T>(
  { partitionId, term, revision }: PartitionRevision,
  items: readonly T[],
  sizeOf: (item: T) => number,
  sequence: number,
  frameBytes: number,
): FragmentContent<T>[] {
  const runs = splitBySize(items, sizeOf, frameBytes * FRAME_SHARE);
  const contents = runs.length === 0 ? [[]] : runs;
  const fragmentCount = contents.length;
  return contents.map((run, index) => ({
    fragment: { partitionId, term, revision, sequence, index, fragmentCount },
    items: run,
  }));
}

/**
 * Reassembles messages from one sender, one at a time: the first fragment of another message drops those of the one
 * before.
 */
export class FragmentReassembler<P extends Fragment> {
  #first: P | null = null;
  readonly #byIndex = new Map<number, P>();

  /** Takes a fragment; returns all of its message, in order, once they are there. */
  add(fragment: P): readonly P[] | null {
    if (this.#first === null || !isSameMessage(this.#first, fragment)) {
      this.#first = fragment;
      this.#byIndex.clear();
    }
    if (fragment.index >= 0 && fragment.index < fragment.fragmentCount) this.#byIndex.set(fragment.index, fragment);
    if (this.#byIndex.size < fragment.fragmentCount) return null;
    return [...this.#byIndex.values()].sort((a, b) => a.index - b.index);
  }
}

function isSameMessage(a: Fragment, b: Fragment): boolean {
  return (
    a.term === b.term && a.revision === b.revision && a.sequence === b.sequence && a.fragmentCount === b.fragmentCount
  );
}

/** Reassembles messages from several senders, of several partitions each. */
export class SenderReassemblers<P extends PartitionFragment> {
  /** By sender and partition: a message of which not all fragments have come yet. */
  readonly #reassemblers = new Map<string, FragmentReassembler<P>>();

  /** Takes a fragment; returns all of its message, in order, once they are there. */
  add(from: string, fragment: P): readonly P[] | null {
    const key = `${from} ${fragment.partitionId}`;
    const reassembler = this.#reassemblers.get(key) ?? new FragmentReassembler<P>();
    this.#reassemblers.set(key, reassembler);
    const all = reassembler.add(fragment);
    if (all !== null) this.#reassemblers.delete(key);
    return all;
  }
}
