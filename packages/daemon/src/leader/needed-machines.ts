// The machines that replica groups needed in recent assignments.

/**
 * Counts machines as needed for a while after an assignment that needed them, because a single assignment may miss
 * some: a group that has just begun to wait has no members any more and no machines chosen for it yet, and a new owner
 * of a partition reports a machine only after a heartbeat from it.
 */
export class NeededMachines {
  /** By machine name: until when the machine counts as needed. */
  readonly #neededUntilByMachine = new Map<string, number>();

  /** @param retentionMs how long a machine counts as needed after an assignment; a machine unseen for longer is lost */
  constructor(readonly retentionMs: number) {}

  /** Adds machines that an assignment needed. */
  add(machines: Iterable<string>, now: number): void {
    for (const machine of machines) this.#neededUntilByMachine.set(machine, now + this.retentionMs);
  }

  /** The names of the machines that are needed. */
  at(now: number): string[] {
    for (const [machine, until] of this.#neededUntilByMachine)
      if (until <= now) this.#neededUntilByMachine.delete(machine);
    return [...this.#neededUntilByMachine.keys()];
  }
}
