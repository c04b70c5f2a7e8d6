// The machines that replica groups need, by the assignments of the last moments.

/**
 * Remembers for how long machines are needed after an assignment that needed them. The view of a single assignment has
 * gaps: a group that has just come to wait has no members any more and no machines chosen for it yet, and a partition
 * that has just changed hands shows its machines only once they have sent a heartbeat to its new owner.
 */
export class NeededMachines {
  /** By name of the machine: until when it is needed. */
  readonly #neededUntilByMachine = new Map<string, number>();

  /** @param keptMs for how long machines count as needed after an assignment: a machine unseen for longer is lost */
  constructor(readonly keptMs: number) {}

  /** Takes in machines that an assignment needed. */
  add(machines: Iterable<string>, now: number): void {
    for (const machine of machines) this.#neededUntilByMachine.set(machine, now + this.keptMs);
  }

  /** The names of the machines that are needed. */
  at(now: number): string[] {
    for (const [machine, until] of this.#neededUntilByMachine)
      if (until <= now) this.#neededUntilByMachine.delete(machine);
    return [...this.#neededUntilByMachine.keys()];
  }
}
