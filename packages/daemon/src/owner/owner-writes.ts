// Commits an owner's writes to the key-value store, one transaction at a time, each on the condition that it is still
// the owner.
import { URGENCY, type Urgency } from '@gingerlock/clients';
import type { ClaimTable, OwnershipTerm } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import { MembershipWrites } from './membership-writes';
import type { OwnerFeature } from './owner-feature';
import { TaskWrites } from './task-writes';
import type { Write } from './write';

/** Writes that are due, all of the urgency by which the rate limiter admits their transaction. */
interface DueWrites {
  readonly writes: readonly Write[];
  readonly urgency: Urgency;
}

/** Plans and commits the writes of one ownership term. */
export class OwnerWrites {
  readonly membership: MembershipWrites;
  readonly tasks: TaskWrites;
  #isWriting = false;

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    readonly ownershipTerm: OwnershipTerm,
    claimTable: ClaimTable,
    readonly features: readonly OwnerFeature[],
    readonly isOwner: () => boolean,
  ) {
    this.membership = new MembershipWrites(context, partitionId, claimTable);
    this.tasks = new TaskWrites(context, partitionId, claimTable);
  }

  /** Commits the writes that are due, one transaction after the other; does nothing while another call is doing so. */
  async run(): Promise<void> {
    if (this.#isWriting) return;
    this.#isWriting = true;
    try {
      for (let hasMore = true; hasMore;) hasMore = await this.#writeOnce();
    } catch (error) {
      this.context.log.error({ partitionId: this.partitionId, error: String(error) }, 'write failed');
    } finally {
      this.#isWriting = false;
    }
  }

  /** Commits one transaction. Returns whether it was committed and the term has not ended since. */
  async #writeOnce(): Promise<boolean> {
    const { context } = this;
    if (!this.isOwner() || !context.isFresh()) return false;
    const { writes, urgency } = this.#dueWrites(context.clock.now());
    if (writes.length === 0) return false;
    const batch = this.#fittingWrites(writes);
    for (const write of batch) write.prepare?.();
    const conditions = [this.ownershipTerm.condition, ...batch.flatMap((write) => write.conditions)];
    const changes = batch.map((write) => write.change);
    const keys = changes.map((change) => ('put' in change ? change.put : change.remove));
    context.log.debug({ partitionId: this.partitionId, urgency, keys }, 'committing transaction');
    const revision = await context.commitWithRetry(urgency, conditions, changes, () => this.ownershipTerm.isCurrent);
    // A conflict over one job fails the whole batch: the other jobs' tasks are planned again.
    if (revision === 0) for (const write of batch) write.failed?.();
    // By now the watch cache shows the finished and returned tasks, and the claim table has dropped them.
    return revision > 0 && this.ownershipTerm.isCurrent;
  }

  /** Returns the due writes of the most urgent kind that has any. */
  #dueWrites(now: number): DueWrites {
    this.membership.markKnownMembers();
    const additions = this.membership.planAdditions();
    if (additions.length > 0) return { writes: additions, urgency: URGENCY.accept };
    const removals = this.features.flatMap((feature) => feature.removals());
    const finishes = [...removals, ...this.tasks.plan(now)];
    if (finishes.length > 0) return { writes: finishes, urgency: URGENCY.finish };
    this.membership.dropObsoleteRemovals();
    return { writes: this.membership.planRemovals(), urgency: URGENCY.rest };
  }

  /** Returns the first writes, as many as fit in one transaction. */
  #fittingWrites(writes: readonly Write[]): Write[] {
    const sizeLimit = this.context.transactionSizeLimit();
    sizeLimit.add([this.ownershipTerm.condition], []);
    const fitting: Write[] = [];
    for (const write of writes) {
      if (!sizeLimit.add(write.conditions, [write.change])) break;
      fitting.push(write);
    }
    return fitting;
  }
}
