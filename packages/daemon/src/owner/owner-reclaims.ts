// The owner's part in borrowing: carries the reclaims of one partition out and has the records of those that are over removed.
import { PartitionReclaims, type Reclaim } from '@gingerlock/borrowing';
import type { ClaimTable, TaskEntry } from '@gingerlock/core';
import { type Change, type Condition, KEYS } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';

/** The removal of one record, if it is still the one that was carried out. */
export interface ReclaimRemoval {
  readonly conditions: readonly Condition[];
  readonly change: Change;
}

export class OwnerReclaims {
  readonly reservations: PartitionReclaims;

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
  ) {
    this.reservations = new PartitionReclaims({ moved: (reclaim, detail) => this.#logTransition(reclaim, detail) });
  }

  attach(table: ClaimTable): void {
    this.reservations.table = table;
  }

  /** Returns the tasks that are to be told to stop now. */
  step(table: ClaimTable, now: number): readonly TaskEntry[] {
    const { clusterState, clock } = this.context;
    const records = new Map([...clusterState.reclaimsOf(this.partitionId)].map(([id, { record }]) => [id, record]));
    this.reservations.sync(records);
    const stopped = this.reservations.step(table, clock.wall(), now);
    if (stopped.length > 0) table.noteChange();
    return stopped;
  }

  removals(): ReclaimRemoval[] {
    const known = this.context.clusterState.reclaimsOf(this.partitionId);
    return this.reservations.over.flatMap(({ id }) => {
      const stored = known.get(id);
      if (stored === undefined) return [];
      const key = KEYS.reclaim(this.partitionId, id);
      return { conditions: [{ key, version: stored.version }], change: { remove: key } };
    });
  }

  #logTransition({ id, record, state }: Reclaim, detail: Record<string, unknown>): void {
    const { machine, job, reason } = record;
    const reclaim = KEYS.reclaim(this.partitionId, id);
    this.context.log.info({ reclaim, job, machine, tasks: record.tasks.length, reason, ...detail }, `reclaim ${state}`);
  }
}
