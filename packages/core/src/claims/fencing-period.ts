/**
 * The fencing period of a partition, in which its new owner cannot tell which earlier tasks still run, and the machines
 * that prolong it.
 */
import { type ClusterConfig, workerLeaseBoundMs } from '../cluster/cluster-config';

/**
 * A new owner's wait for machines that may run tasks of an earlier owner. Until it is over, tasks that were assigned
 * earlier and that no machine has reported are not granted again. Pure: times are arguments, in steady milliseconds.
 */
export class FencingPeriod {
  /** Addresses of the machines that have not confirmed this owner's token yet, by name. */
  readonly #unconfirmedMachines: Map<string, string>;
  #isOver = false;
  /** Names of machines that had not confirmed this owner's token when the fencing period ended. */
  readonly #expiredMachines: string[] = [];

  constructor(
    readonly clusterConfig: ClusterConfig,
    /** Names and addresses of the machines in the membership that an earlier owner stored. */
    membership: Iterable<readonly [string, string]>,
    /** When the fencing period ends at the latest, see `#canEnd`; the previous owner's answer may shorten it. */
    public until: number,
  ) {
    this.#unconfirmedMachines = new Map(membership);
  }

  /** Addresses of the machines that may run tasks of an earlier owner, by name. */
  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#unconfirmedMachines;
  }

  /** Whether no machine can hold an unreported task of an earlier owner any more. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Records that the machine has sent a heartbeat with this owner's token, or is gone. */
  confirm(name: string): void {
    this.#unconfirmedMachines.delete(name);
  }

  /**
   * Ends the fencing period if no machine is left that may hold unreported tasks of an earlier owner. Returns true if
   * this call ended it. `answeredAt`: when this owner last answered the machine; null if it never did, or if that lease
   * has expired.
   */
  tryEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#isOver || !this.#canEnd(now, answeredAt)) return false;
    this.#isOver = true;
    // These machines hold no task any more. If they stayed in the membership, each later owner would wait for them
    // again.
    for (const name of this.#unconfirmedMachines.keys()) {
      if (answeredAt(name) === null) this.#expiredMachines.push(name);
    }
    this.#unconfirmedMachines.clear();
    return true;
  }

  #canEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#unconfirmedMachines.size === 0) return true;
    if (now < this.until) return false;
    // This owner may have renewed the lease of a machine that never accepted its token.
    return [...this.#unconfirmedMachines.keys()].every((name) => {
      const lastAnsweredAt = answeredAt(name);
      return lastAnsweredAt === null || now > lastAnsweredAt + workerLeaseBoundMs(this.clusterConfig);
    });
  }

  /**
   * Removes and returns the machines that were silent until the fencing period ended, so that each is returned once.
   */
  takeExpiredMachines(): string[] {
    return this.#expiredMachines.splice(0);
  }
}
