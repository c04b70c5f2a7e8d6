// What an owner writes into the key-value store, one transaction after the other, each on the condition that it still
// is the owner.
import { URGENCY, type Urgency } from '@gingerlock/clients';
import type { ClaimTable, OwnershipTerm } from '@gingerlock/core';
import type { ControllerContext } from '../controller/controller-context';
import { MembershipWrites } from './membership-writes';
import type { OwnerFeature } from './owner-feature';
import { TaskWrites } from './task-writes';
import type { Write } from './write';

/** Changes that are due, of one urgency: the rate limiter admits a transaction by it. */
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

  /** Writes what is to be written now, one transaction after the other; does nothing while that is under way. */
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

  /** Commits one transaction; false: there was nothing to write, or it was not committed. */
  async #writeOnce(): Promise<boolean> {
    const { context } = this;
    if (!this.isOwner() || !context.fresh()) return false;
    const { writes, urgency } = this.#dueWrites(context.clock.now());
    if (writes.length === 0) return false;
    const batch = this.#fittingWrites(writes);
    for (const write of batch) write.prepare?.();
    const conditions = [this.ownershipTerm.condition, ...batch.flatMap((write) => write.conditions)];
    const changes = batch.map((write) => write.change);
    const keys = changes.map((change) => ('put' in change ? change.put : change.remove));
    context.log.debug({ partitionId: this.partitionId, urgency, keys }, 'writing');
    const revision = await context.commitWithRetry(urgency, conditions, changes, () => this.ownershipTerm.isCurrent);
    // A conflict over one job fails the whole batch: the other jobs' tasks are planned again.
    if (revision === 0) for (const write of batch) write.failed?.();
    // The watch cache shows what was finished or returned by now, and the claim table has dropped it.
    return revision > 0 && this.ownershipTerm.isCurrent;
  }

  /** The most urgent kind of writes of which some are due. */
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

  /** As many of the writes, from the first on, as one transaction may hold. */
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
