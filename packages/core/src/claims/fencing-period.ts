/**
 * The time in which a new owner of a partition can not tell which tasks still run, and which machines keep it from
 * ending.
 */
import { type ClusterConfig, workerLeaseBoundMs } from '../cluster/cluster-config';

/**
 * A new owner's wait for machines that may run tasks of an earlier one. Until it is over, tasks that were assigned
 * earlier and are reported by no machine are not granted again. Pure: moments are arguments, in steady milliseconds.
 */
export class FencingPeriod {
  /** By name, with their addresses: machines that have not confirmed this owner's token yet. */
  readonly #unconfirmedMachines: Map<string, string>;
  #isOver = false;
  /** Machines that had not confirmed it when the fencing period ended. */
  readonly #expiredMachines: string[] = [];

  constructor(
    readonly clusterConfig: ClusterConfig,
    /** Names and addresses of the machines that an earlier owner has stored. */
    membership: Iterable<readonly [string, string]>,
    /** When the fencing period ends at the latest; the previous owner's answer may bring it forward. */
    public until: number,
  ) {
    this.#unconfirmedMachines = new Map(membership);
  }

  /** By name, with their addresses: machines that may run tasks of an earlier owner. */
  get unconfirmedMachines(): ReadonlyMap<string, string> {
    return this.#unconfirmedMachines;
  }

  /** Whether no machine can hold a task of an earlier owner any more. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** The machine has sent a heartbeat with this owner's token, or is gone. */
  confirm(name: string): void {
    this.#unconfirmedMachines.delete(name);
  }

  /**
   * Ends the fencing period if no machine is left that may hold tasks of an earlier owner; true: it has ended just now.
   * `answeredAt`: when this owner last answered the machine; null: it has not, or that lease has expired.
   */
  tryEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#isOver || !this.#canEnd(now, answeredAt)) return false;
    this.#isOver = true;
    // They hold nothing any more: left in the membership, each later owner would wait for them once more.
    for (const name of this.#unconfirmedMachines.keys()) {
      if (answeredAt(name) === null) this.#expiredMachines.push(name);
    }
    this.#unconfirmedMachines.clear();
    return true;
  }

  #canEnd(now: number, answeredAt: (name: string) => number | null): boolean {
    if (this.#unconfirmedMachines.size === 0) return true;
    if (now < this.until) return false;
    // This owner may itself have renewed a machine's lease though the machine never accepted its token.
    return [...this.#unconfirmedMachines.keys()].every((name) => {
      const lastAnsweredAt = answeredAt(name);
      return lastAnsweredAt === null || now > lastAnsweredAt + workerLeaseBoundMs(this.clusterConfig);
    });
  }

  /** Removes and returns the machines that were silent until the fencing period ended: each is returned once. */
  takeExpiredMachines(): string[] {
    return this.#expiredMachines.splice(0);
  }
}
