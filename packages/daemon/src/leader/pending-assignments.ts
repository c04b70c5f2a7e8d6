// Assignments that are committed and that the owners' statuses do not show yet: the free resources that a status gives
// do not account for them.
import type { PartitionStatus, PendingAssignment } from '@gingerlock/core';

/** The resources that one assigned task is going to use of a machine. */
export type PlannedUse = Omit<PendingAssignment, 'revision'>;

/** The pending assignments of one leader. */
export class PendingAssignments {
  #all: PendingAssignment[] = [];

  get all(): readonly PendingAssignment[] {
    return this.#all;
  }

  /** Keeps those whose partition has a status that is older than the assignment: every later status shows it. */
  dropShown(statuses: readonly PartitionStatus[]): void {
    this.#all = this.#all.filter((pending) =>
      statuses.some((status) => status.partitionId === pending.partitionId && status.revision < pending.revision),
    );
  }

  /** Adds what a transaction that was committed at `revision` has assigned. */
  add(uses: readonly PlannedUse[], revision: number): void {
    for (const use of uses) this.#all.push({ ...use, revision });
  }
}
