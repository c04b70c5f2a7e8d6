/** Attempt numbers: they increase, and are unique across all ownership terms of a partition. */

/** Size of the range of attempt numbers of one term; a term times this stays far below 2^53. */
export const ATTEMPTS_PER_TERM = 2 ** 20;

/** Once this share of a term's numbers is used, the partition should be acquired again under a new term. */
const NEW_TERM_SHARE = 0.75;

/** Hands out the attempt numbers of one term. */
export class AttemptNumbers {
  #used = 0;

  constructor(
    readonly term: number,
    /** How many attempt numbers the term has; only tests use fewer than `ATTEMPTS_PER_TERM`. */
    readonly attemptsPerTerm: number,
  ) {}

  /** Whether so many numbers are used that a new term should begin before they run out. */
  get needsNewTerm(): boolean {
    return this.#used > this.attemptsPerTerm * NEW_TERM_SHARE;
  }

  /** Whether no number is left: a further one would lie in the range of the next term. */
  get isExhausted(): boolean {
    return this.#used >= this.attemptsPerTerm - 1;
  }

  /** Returns the next number; the caller has checked `isExhausted`. */
  next(): number {
    return this.term * ATTEMPTS_PER_TERM + ++this.#used;
  }
}
