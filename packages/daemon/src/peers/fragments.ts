// Content that is too large for one frame of the link, cut into pieces and put together again.

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

/** What names a piece: all of one whole have the same numbers but for `index`. */
export interface Fragment {
  readonly term: number;
  readonly revision: number;
  readonly sequence: number;
  readonly index: number;
  readonly fragmentCount: number;
}

/** Puts the pieces together that one controller sends, in order; the first of another whole makes it begin anew. */
export class FragmentReassembler<P extends Fragment> {
  #first: P | null = null;
  readonly #fragments = new Map<number, P>();

  /** Takes a piece; returns all pieces of the whole once they are there. */
  add(fragment: P): readonly P[] | null {
    if (this.#first === null || !isSameMessage(this.#first, fragment)) {
      this.#first = fragment;
      this.#fragments.clear();
    }
    if (fragment.index >= 0 && fragment.index < fragment.fragmentCount) this.#fragments.set(fragment.index, fragment);
    if (this.#fragments.size < fragment.fragmentCount) return null;
    return [...this.#fragments.values()].sort((a, b) => a.index - b.index);
  }
}

function isSameMessage(a: Fragment, b: Fragment): boolean {
  return (
    a.term === b.term && a.revision === b.revision && a.sequence === b.sequence && a.fragmentCount === b.fragmentCount
  );
}

/** The runs of content that go into one message each: one at the least, so that nothing is told too. */
export function fragmentContents<T>(items: readonly T[], sizeOf: (item: T) => number, frameBytes: number): T[][] {
  const runs = splitBySize(items, sizeOf, frameBytes * FRAME_SHARE);
  return runs.length === 0 ? [[]] : runs;
}

/** What several controllers send in pieces, of several partitions each. */
export class SenderReassemblers<P extends Fragment & { readonly partitionId: number }> {
  /** By sender and partition: a whole of which not all pieces have come yet. */
  readonly #reassemblers = new Map<string, FragmentReassembler<P>>();

  /** Takes a piece; returns all pieces of the whole once they are there. */
  add(from: string, fragment: P): readonly P[] | null {
    const key = `${from} ${fragment.partitionId}`;
    const reassembler = this.#reassemblers.get(key) ?? new FragmentReassembler<P>();
    this.#reassemblers.set(key, reassembler);
    const all = reassembler.add(fragment);
    if (all !== null) this.#reassemblers.delete(key);
    return all;
  }
}
