// Finds the candidate with the lowest cost again and again while the costs of a few candidates change.
import TinyQueue from 'tinyqueue';

/** How candidates are compared. Costs are in milliseconds; Infinity excludes a candidate until it is refreshed. */
export interface CandidateCosts<Candidate> {
  /** A lower bound of the cost that is cheap to calculate. */
  readonly lowerBound: (candidate: Candidate) => number;
  /** The cost, for candidates whose lower bound is the lowest. */
  readonly exact: (candidate: Candidate) => number;
}

/** One valuation of a candidate. A later one of the same candidate makes it obsolete. */
interface Valuation<Candidate> {
  readonly candidate: Candidate;
  /** Position of the candidate in the input; the first one wins a tie. */
  readonly order: number;
  readonly cost: number;
  readonly isExact: boolean;
}

/** A candidate and its cost. */
export interface Lowest<Candidate> {
  readonly candidate: Candidate;
  readonly order: number;
  readonly cost: number;
}

/** A priority queue of candidates by cost. Finding the best one again does not look at all of them. */
export class LowestCostQueue<Candidate> {
  readonly #queue: TinyQueue<Valuation<Candidate>>;
  readonly #latest = new Map<Candidate, Valuation<Candidate>>();

  constructor(
    candidates: Iterable<Candidate>,
    readonly costs: CandidateCosts<Candidate>,
  ) {
    const valuations: Valuation<Candidate>[] = [];
    let order = 0;
    for (const candidate of candidates) {
      const valuation = { candidate, order: order++, cost: costs.lowerBound(candidate), isExact: false };
      this.#latest.set(candidate, valuation);
      if (valuation.cost < Infinity) valuations.push(valuation);
    }
    this.#queue = new TinyQueue(valuations, (a, b) => a.cost - b.cost || a.order - b.order);
  }

  /** The candidate with the lowest cost, the first one on a tie; undefined if no candidate has a finite cost. */
  best(): Lowest<Candidate> | undefined {
    for (let top = this.#queue.peek(); top !== undefined; top = this.#queue.peek()) {
      if (this.#latest.get(top.candidate) !== top) this.#queue.pop();
      else if (top.isExact) return top;
      else {
        this.#queue.pop();
        this.#value(top.candidate, top.order, this.costs.exact(top.candidate), true);
      }
    }
    return undefined;
  }

  /** Values a candidate again, because its cost may have changed. */
  refresh(candidate: Candidate): void {
    const { order } = this.#latest.get(candidate)!;
    this.#value(candidate, order, this.costs.lowerBound(candidate), false);
  }

  #value(candidate: Candidate, order: number, cost: number, isExact: boolean): void {
    const valuation = { candidate, order, cost, isExact };
    this.#latest.set(candidate, valuation);
    if (cost < Infinity) this.#queue.push(valuation);
  }
}
