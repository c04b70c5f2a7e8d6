/** Numbers of the attempts to run tasks: unique over all terms of a partition, rising, and never used twice. */

/** Attempts of one term are numbered below this; a term times this is far below 2^53. */
export const ATTEMPTS_PER_TERM = 2 ** 20;

/** Once this share of a term's numbers is used, the partition is to be acquired anew, under another term. */
const NEW_TERM_SHARE = 0.75;

/** Hands out the attempt numbers of one term. */
export class AttemptNumbers {
  #used = 0;

  constructor(
    readonly term: number,
    /** How many numbers the term has; below `ATTEMPTS_PER_TERM` in tests alone. */
    readonly perTerm: number,
  ) {}

  /** Whether so many numbers are used that the next term should begin before they run out. */
  get needsNewTerm(): boolean {
    return this.#used > this.perTerm * NEW_TERM_SHARE;
  }

  /** Whether no number is left: one used again would be taken for an attempt of the next term. */
  get isExhausted(): boolean {
    return this.#used >= this.perTerm - 1;
  }

  /** The next number; the caller has made sure that one is left. */
  next(): number {
    return this.term * ATTEMPTS_PER_TERM + ++this.#used;
  }
}
