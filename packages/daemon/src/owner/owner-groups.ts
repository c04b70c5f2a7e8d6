// Replica groups at the owner of a partition: the rules that its claim table applies to members, and the report on
// members that is sent to the leader.
import type { ClaimTable, TaskEntry } from '@gingerlock/core';
import { PartitionGroups, type PartitionGroupReport } from '@gingerlock/replica-groups';
import type { ControllerContext } from '../controller/controller-context';
import type { OwnerFeature } from './owner-feature';
import type { Write } from './write';

/** The owner's hooks while replica groups are on. */
export class OwnerGroups implements OwnerFeature {
  readonly members: PartitionGroups;

  constructor(readonly context: ControllerContext) {
    this.members = new PartitionGroups(context.clusterState.groups);
  }

  get reservations(): PartitionGroups {
    return this.members;
  }

  get claimTableOptions(): OwnerFeature['claimTableOptions'] {
    return { members: this.members };
  }

  attach(table: ClaimTable): void {
    this.members.table = table;
    this.members.sync();
  }

  jobChanged(id: string): void {
    if (this.context.clusterState.groups.has(id)) this.members.sync();
  }

  /** Returns the members to stop now because their generation ends. */
  step(): readonly TaskEntry[] {
    return this.members.step();
  }

  removals(): readonly Write[] {
    return [];
  }

  /** Returns the current state of the partition's members. */
  report({ partitionId, term }: ClaimTable, now: number): PartitionGroupReport {
    return { partitionId, term, revision: this.context.watchCache.revision, groups: this.members.reports(now) };
  }
}
