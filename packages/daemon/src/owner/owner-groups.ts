// The owner's part in replica groups: what its claim table asks of them, and what its leader is told.
import type { ClaimTable, TaskEntry } from '@gingerlock/core';
import { PartitionGroups, type PartitionGroupReport } from '@gingerlock/replica-groups';
import type { ControllerContext } from '../controller/controller-context';

export class OwnerGroups {
  readonly members: PartitionGroups;

  constructor(readonly context: ControllerContext) {
    this.members = new PartitionGroups(context.clusterState.groups);
  }

  attach(table: ClaimTable): void {
    this.members.table = table;
  }

  /** A job or the record of its group has changed. */
  changed(): void {
    this.members.sync();
  }

  /** Returns the members that are to be told to stop now. */
  step(): readonly TaskEntry[] {
    return this.members.step();
  }

  report({ partitionId, term }: ClaimTable, now: number): PartitionGroupReport {
    return { partitionId, term, revision: this.context.watchCache.revision, groups: this.members.reports(now) };
  }
}
