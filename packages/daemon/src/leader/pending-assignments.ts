// Committed assignments that the owners' statuses do not reflect yet: the free resources in a status do not account for
// them.
import type { PartitionStatus, PendingAssignment } from '@gingerlock/core';

/** The resources that one assigned task will use on a machine. */
export type PlannedUse = Omit<PendingAssignment, 'revision'>;

/** The pending assignments of one leader. */
export class PendingAssignments {
  #all: PendingAssignment[] = [];

  get all(): readonly PendingAssignment[] {
    return this.#all;
  }

  /** Keeps the assignments that are newer than the status of their partition; a later status reflects them. */
  dropReflected(statuses: readonly PartitionStatus[]): void {
    const revisionByPartition = new Map(statuses.map(({ partitionId, revision }) => [partitionId, revision]));
    this.#all = this.#all.filter(
      ({ partitionId, revision }) => (revisionByPartition.get(partitionId) ?? Infinity) < revision,
    );
  }

  /** Adds the assignments of a transaction that was committed at `revision`. */
  add(uses: readonly PlannedUse[], revision: number): void {
    for (const use of uses) this.#all.push({ ...use, revision });
  }
}
