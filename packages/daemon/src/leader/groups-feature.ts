// Replica groups as a feature of the leader: forwards the hooks to `LeaderGroups`.
import type { UnschedulableDemand } from '@gingerlock/core';
import type { JobBatch } from './job-batch';
import {
  type AddedPlacements,
  type AssignmentOutcome,
  type AssignmentRules,
  type LeaderFeature,
} from './leader-feature';
import type { LeaderGroups } from './leader-groups';

/** The leader's hooks while replica groups are on. */
export class GroupsFeature implements LeaderFeature {
  constructor(readonly groups: LeaderGroups) {}

  begin(): void {
    this.groups.begin();
  }

  addChanges(batch: JobBatch): void {
    this.groups.addChanges(batch);
  }

  assignmentRules(): Partial<AssignmentRules> {
    return { groups: this.groups };
  }

  addPlacements(batch: JobBatch, { result, now }: AssignmentOutcome): AddedPlacements {
    const uses = this.groups.addReservations(batch, result.groups);
    this.groups.recordUnplaced(result, now);
    // The map is empty because the unschedulable demand contains no groups that were placed.
    return { uses, placedCountByJob: new Map() };
  }

  extraDemand(): readonly UnschedulableDemand[] {
    return this.groups.endingDemand();
  }

  addRemovals(): void {
    return;
  }

  committed(): void {
    this.groups.stored();
  }

  pinnedMachines(): Iterable<string> {
    return this.groups.pinnedMachines();
  }
}
