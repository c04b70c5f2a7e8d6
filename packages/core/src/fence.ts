// What a new owner of a partition waits for: machines of the membership that may run tasks of an earlier owner.
import { type ClusterConfig, workerLeaseBoundMs } from './facts';

export class Fence {
  /** Machines that are not heard yet, by name, with their addresses. */
  readonly #unheard: Map<string, string>;
  #cleared = false;
  /** Machines that were not heard until the fencing period ended. */
  readonly #departed: string[] = [];

  constructor(
    readonly clusterConfig: ClusterConfig,
    membership: Iterable<readonly [string, string]>,
    /** When the fencing period ends, in steady milliseconds; a former owner's answer may bring it forward. */
    public until: number,
  ) {
    this.#unheard = new Map(membership);
  }

  get unheard(): ReadonlyMap<string, string> {
    return this.#unheard;
  }

  /** Whether no machine can hold a task of an earlier owner any more. */
  get cleared(): boolean {
    return this.#cleared;
  }

  /** The machine has reported under this owner, or is gone. */
  heard(name: string): void {
    this.#unheard.delete(name);
  }

  /**
   * Whether the partition is cleared from now on: no machine is left that may hold anything. `answeredAt`: when this owner last answered
   * the machine; null: it has not, or that lease has run out.
   */
  clear(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#cleared || !this.#isOver(now, answeredAt)) return false;
    this.#cleared = true;
    // They hold nothing any more: left in the membership, each later owner would wait for them once more.
    for (const name of this.#unheard.keys()) if (answeredAt(name) === null) this.#departed.push(name);
    this.#unheard.clear();
    return true;
  }

  #isOver(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#unheard.size === 0) return true;
    if (now < this.until) return false;
    // We ourselves may have kept a machine's lease alive without its ever taking our token.
    return [...this.#unheard.keys()].every((name) => {
      const answered = answeredAt(name);
      return answered === null || now > answered + workerLeaseBoundMs(this.clusterConfig);
    });
  }

  /** The machines, each once, that surely hold nothing since the fencing period. */
  takeDeparted(): string[] {
    return this.#departed.splice(0);
  }
}
