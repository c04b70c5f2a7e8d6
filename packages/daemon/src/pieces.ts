// Content that is too large for one frame of the link, cut into pieces and put together again.

/** Share of a frame that the estimated size of one message may take: the estimates leave out small things. */
export const FRAME_SHARE = 0.5;

/** Splits a list into runs whose estimated sizes stay within the limit; an item that is larger stands alone. */
export function splitBySize<T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[][] {
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

/** What names a piece: all of one whole have the same numbers but for `index`. */
export interface Piece {
  readonly term: number;
  readonly revision: number;
  readonly sequence: number;
  readonly index: number;
  readonly pieces: number;
}

/** Puts the pieces together that one controller sends, in order; the first of another whole makes it begin anew. */
export class PieceAssembly<P extends Piece> {
  #first: P | null = null;
  readonly #pieces = new Map<number, P>();

  /** Takes a piece; returns all pieces of the whole once they are there. */
  add(piece: P): readonly P[] | null {
    if (this.#first === null || !isOfSame(this.#first, piece)) {
      this.#first = piece;
      this.#pieces.clear();
    }
    if (piece.index >= 0 && piece.index < piece.pieces) this.#pieces.set(piece.index, piece);
    if (this.#pieces.size < piece.pieces) return null;
    return [...this.#pieces.values()].sort((a, b) => a.index - b.index);
  }
}

function isOfSame(a: Piece, b: Piece): boolean {
  return a.term === b.term && a.revision === b.revision && a.sequence === b.sequence && a.pieces === b.pieces;
}

/** The runs of content that go into one message each: one at the least, so that nothing is told too. */
export function contentsOf<T>(items: readonly T[], sizeOf: (item: T) => number, frameBytes: number): T[][] {
  const runs = splitBySize(items, sizeOf, frameBytes * FRAME_SHARE);
  return runs.length === 0 ? [[]] : runs;
}

/** What several controllers send in pieces, of several partitions each. */
export class SenderAssemblies<P extends Piece & { readonly partitionId: number }> {
  /** By sender and partition: a whole of which not all pieces have come yet. */
  readonly #assemblies = new Map<string, PieceAssembly<P>>();

  /** Takes a piece; returns all pieces of the whole once they are there. */
  add(from: string, piece: P): readonly P[] | null {
    const key = `${from} ${piece.partitionId}`;
    const assembly = this.#assemblies.get(key) ?? new PieceAssembly<P>();
    this.#assemblies.set(key, assembly);
    const all = assembly.add(piece);
    if (all !== null) this.#assemblies.delete(key);
    return all;
  }
}
