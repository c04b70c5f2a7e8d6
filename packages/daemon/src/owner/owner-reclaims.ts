// Borrowing at the owner of a partition: carries out the reclaims that the leader has decided on, and removes the
// records of those that have ended.
import { PartitionReclaims, type Reclaim } from '@gingerlock/borrowing';
import type { ClaimTable, TaskEntry } from '@gingerlock/core';
import { KEYS } from '@gingerlock/wire';
import type { ControllerContext } from '../controller/controller-context';
import type { OwnerFeature } from './owner-feature';
import type { Write } from './write';

/** The owner's hooks while borrowing is on. */
export class OwnerReclaims implements OwnerFeature {
  readonly reservations: PartitionReclaims;
  /** With borrowing on, only reclaims stop tasks in favour of others. */
  readonly claimTableOptions = { preempts: false };

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
  ) {
    this.reservations = new PartitionReclaims({
      stateChanged: (reclaim, detail) => this.#logTransition(reclaim, detail),
    });
  }

  attach(table: ClaimTable): void {
    this.reservations.table = table;
  }

  jobChanged(): void {
    return;
  }

  /** Returns the victims to stop now. */
  step(table: ClaimTable, now: number): readonly TaskEntry[] {
    const { clusterState, clock } = this.context;
    const records = new Map([...clusterState.reclaimsOf(this.partitionId)].map(([id, { record }]) => [id, record]));
    this.reservations.sync(records);
    const stopped = this.reservations.step(table, clock.wallNow(), now);
    if (stopped.length > 0) table.noteChange();
    return stopped;
  }

  /** Plans the removal of each ended reclaim's record, on condition that it has not changed. */
  removals(): readonly Write[] {
    const stored = this.context.clusterState.reclaimsOf(this.partitionId);
    return this.reservations.finished.flatMap(({ id }) => {
      const entry = stored.get(id);
      if (entry === undefined) return [];
      const key = KEYS.reclaim(this.partitionId, id);
      return { conditions: [{ key, version: entry.version }], change: { remove: key } };
    });
  }

  #logTransition({ id, record, state }: Reclaim, detail: Record<string, unknown>): void {
    const { machine, job, reason } = record;
    const reclaim = KEYS.reclaim(this.partitionId, id);
    this.context.log.info({ reclaim, job, machine, tasks: record.tasks.length, reason, ...detail }, `reclaim ${state}`);
  }
}
