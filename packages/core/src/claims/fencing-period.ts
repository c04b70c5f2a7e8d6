// What a new owner of a partition waits for: machines of the membership that may run tasks of an earlier owner.
import { type ClusterConfig, workerLeaseBoundMs } from '../cluster/cluster-config';

export class FencingPeriod {
  /** Machines that are not heard yet, by name, with their addresses. */
  readonly #unconfirmedMachines: Map<string, string>;
  #isOver = false;
  /** Machines that were not heard until the fencing period ended. */
  readonly #expiredMachines: string[] = [];

  constructor(
    readonly clusterConfig: ClusterConfig,
    membership: Iterable<readonly [string, string]>,
    /** When the fencing period ends, in steady milliseconds; a former owner's answer may bring it forward. */
    public until: number,
  ) {
    this.#unconfirmedMachines = new Map(membership);
  }

  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#unconfirmedMachines;
  }

  /** Whether no machine can hold a task of an earlier owner any more. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** The machine has reported under this owner, or is gone. */
  confirm(name: string): void {
    this.#unconfirmedMachines.delete(name);
  }

  /**
   * Whether the partition is cleared from now on: no machine is left that may hold anything. `answeredAt`: when this owner last answered
   * the machine; null: it has not, or that lease has run out.
   */
  tryEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#isOver || !this.#canEnd(now, answeredAt)) return false;
    this.#isOver = true;
    // They hold nothing any more: left in the membership, each later owner would wait for them once more.
    for (const name of this.#unconfirmedMachines.keys())
      if (answeredAt(name) === null) this.#expiredMachines.push(name);
    this.#unconfirmedMachines.clear();
    return true;
  }

  #canEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#unconfirmedMachines.size === 0) return true;
    if (now < this.until) return false;
    // We ourselves may have kept a machine's lease alive without its ever taking our token.
    return [...this.#unconfirmedMachines.keys()].every((name) => {
      const answered = answeredAt(name);
      return answered === null || now > answered + workerLeaseBoundMs(this.clusterConfig);
    });
  }

  /** The machines, each once, that surely hold nothing since the fencing period. */
  takeExpiredMachines(): string[] {
    return this.#expiredMachines.splice(0);
  }
}
