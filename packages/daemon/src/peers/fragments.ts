// Splits content that is too large for one frame of the link into fragments, one message each, and reassembles it.
import type { PartitionRevision } from './newest-by-partition';

/** Maximum estimated size of one message as a share of a frame; the estimates omit small fields. */
export const FRAME_SHARE = 0.5;

/** Splits a list into chunks whose estimated sizes stay within the limit; a larger item gets a chunk of its own. */
export function splitBySize<T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[][] {
  const chunks: T[][] = [];
  let remaining = 0;
  for (const item of items) {
    const size = sizeOf(item);
    if (chunks.length === 0 || size > remaining) {
      chunks.push([]);
      remaining = limit;
    }
    chunks.at(-1)!.push(item);
    remaining -= size;
  }
  return chunks;
}

/** The most fragments of one message: some ten times those of the largest fleet. A message that claims more is dropped. */
const MAX_FRAGMENTS = 64;

/** Identifies a fragment. Fragments of one message differ only in `index`. */
export interface Fragment {
  readonly term: number;
  readonly revision: number;
  /** Counts the messages of one kind that a process sends. */
  readonly sequence: number;
  readonly index: number;
  readonly fragmentCount: number;
}

/** A fragment of what an owner publishes about a partition. */
export interface PartitionFragment extends Fragment {
  readonly partitionId: number;
}

/** The identification of a fragment, and its items. */
export interface FragmentContent<T> {
  readonly fragment: PartitionFragment;
  readonly items: readonly T[];
}

/** Splits what is published about a partition. An empty list gives one empty fragment, so that it is published too. */
export function fragmentsOf<T>(
  { partitionId, term, revision }: PartitionRevision,
  items: readonly T[],
  sizeOf: (item: T) => number,
  sequence: number,
  frameBytes: number,
): FragmentContent<T>[] {
  const chunks = splitBySize(items, sizeOf, frameBytes * FRAME_SHARE);
  const contents = chunks.length === 0 ? [[]] : chunks;
  const fragmentCount = contents.length;
  return contents.map((chunk, index) => ({
    fragment: { partitionId, term, revision, sequence, index, fragmentCount },
    items: chunk,
  }));
}

/** Reassembles messages from one sender, one at a time: a fragment of another message discards the incomplete one. */
export class FragmentReassembler<P extends Fragment> {
  #first: P | null = null;
  readonly #byIndex = new Map<number, P>();

  /** Adds a fragment. Returns all fragments of its message in order once they are complete, otherwise null. */
  add(fragment: P): readonly P[] | null {
    if (fragment.fragmentCount < 1 || fragment.fragmentCount > MAX_FRAGMENTS) return null;
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

/** Reassembles messages from several senders, separately for each sender and partition. */
export class SenderReassemblers<P extends PartitionFragment> {
  /** Incomplete messages by sender and partition. */
  readonly #reassemblers = new Map<string, FragmentReassembler<P>>();

  /** Adds a fragment. Returns all fragments of its message in order once they are complete, otherwise null. */
  add(from: string, fragment: P): readonly P[] | null {
    const key = `${from} ${fragment.partitionId}`;
    const reassembler = this.#reassemblers.get(key) ?? new FragmentReassembler<P>();
    this.#reassemblers.set(key, reassembler);
    const all = reassembler.add(fragment);
    if (all !== null) this.#reassemblers.delete(key);
    return all;
  }
}
