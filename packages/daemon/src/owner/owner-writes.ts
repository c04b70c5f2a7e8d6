// What an owner writes into the state service: the membership, finished tasks, tasks that it gives back.
import {
  type BitSet,
  type ClaimTable,
  finishedPageFor,
  type Job,
  mergeRanges,
  type TaskEntry,
  type OwnershipTerm,
  withoutTasks,
} from '@gingerlock/core';
import { URGENCY } from '@gingerlock/clients';
import { type Change, type Condition, finishedRecord, jobRecord, KEYS, membershipRecord } from '@gingerlock/wire';
import type { OwnerReclaims } from './owner-reclaims';
import { DISPLAY_LAG_MS, type ControllerContext } from '../controller/controller-context';

/** A change of one key with the conditions it needs, and what to do before it is sent. */
interface Write {
  readonly conditions: readonly Condition[];
  readonly change: Change;
  readonly prepare?: () => void;
  /** The change was surely not carried out and can't be any more. */
  readonly failed?: () => void;
}

/** While less than this share of the changes that may go at once is left, completed tasks wait for others to join them. */
const MIN_SPARE_WRITE_SHARE = 0.9;

/** How long at the most they then wait, in report intervals. */
const SHORT_FINISH_INTERVALS = 2;

export class OwnerWrites {
  #writing = false;
  /** Waiting tasks that no machine of the partition can take, by the last packing. */
  unschedulable: readonly TaskEntry[] = [];
  /** Machines whose names leave the membership. */
  readonly membershipRemovals = new Set<string>();

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    readonly ownershipTerm: OwnershipTerm,
    readonly claimTable: ClaimTable,
    /** Null: borrowing is off. */
    readonly reclaims: OwnerReclaims | null,
    readonly isOwner: () => boolean,
  ) {}

  /** Writes what is to be written now, one transaction after the other; does nothing while that is under way. */
  async run(): Promise<void> {
    if (this.#writing) return;
    this.#writing = true;
    try {
      for (let more = true; more;) more = await this.#writeOnce();
    } catch (error) {
      this.context.log.error({ partitionId: this.partitionId, error: String(error) }, 'write failed');
    } finally {
      this.#writing = false;
    }
  }

  /** How long a completed task may wait for others of its job before it is written. */
  #finishPatienceMs(): number {
    const { keyValueStore, clusterConfig } = this.context;
    const isShort = keyValueStore.options.rateLimiter.spareWriteShare() < MIN_SPARE_WRITE_SHARE;
    return isShort ? clusterConfig.heartbeatIntervalMs * SHORT_FINISH_INTERVALS : DISPLAY_LAG_MS / 2;
  }

  #writes(now: number): { writes: Write[]; urgency: (typeof URGENCY)[keyof typeof URGENCY] } {
    const { clusterState, watchCache } = this.context;
    const writes: Write[] = [];
    const membership = clusterState.membership(this.partitionId);
    for (const m of this.claimTable.machines.values()) {
      if (!m.hasCurrentToken || m.answeredAt === null || m.isMember || this.membershipRemovals.has(m.name)) continue;
      if (membership.has(m.name)) {
        // Heard only after the fencing period, or again before its removal: no change of that is under way here.
        this.claimTable.setMember(m.name, true);
        continue;
      }
      // A name goes into the membership before its first grant, so that a new owner knows to ask for it.
      const key = KEYS.membership(this.partitionId, m.name);
      writes.push({
        conditions: [{ key, version: watchCache.version(key) }],
        change: { put: key, value: membershipRecord.write(m.addr) },
      });
    }
    if (writes.length > 0) return { writes, urgency: URGENCY.accept };
    if (this.reclaims !== null) writes.push(...this.reclaims.removals());
    const touched = new Set<string>();
    for (const [id, tasks] of this.claimTable.tasksToFinish(now, this.#finishPatienceMs())) {
      touched.add(id);
      writes.push(...this.#finish(tasks[0]!.job, tasks));
    }
    for (const [id, tasks] of this.claimTable.returnable(this.unschedulable, now)) {
      if (touched.has(id)) continue;
      const write = this.#returnTasks(tasks[0]!.job, tasks);
      if (write !== null) writes.push(write);
    }
    if (writes.length === 0) {
      for (const name of this.membershipRemovals) {
        const machine = this.claimTable.machines.get(name);
        // It has come back, or has no entry any more.
        if ((machine !== undefined && machine.answeredAt !== null) || !membership.has(name)) {
          this.membershipRemovals.delete(name);
          continue;
        }
        const key = KEYS.membership(this.partitionId, name);
        writes.push({
          conditions: [{ key, version: watchCache.version(key) }],
          change: { remove: key },
          prepare: () => this.claimTable.setMember(name, false),
          // Still there: a machine that has come back meanwhile was never given work again.
          failed: () => this.claimTable.setMember(name, membership.has(name)),
        });
      }
      return { writes, urgency: URGENCY.rest };
    }
    return { writes, urgency: URGENCY.finish };
  }

  /** Gives back as many of the tasks as the record without them fits into a value; null: it fits with none. */
  #returnTasks(job: Job, tasks: readonly TaskEntry[]): Write | null {
    const byIndex = [...tasks].sort((a, b) => a.index - b.index);
    for (let count = byIndex.length; count > 0; count = Math.floor(count / 2)) {
      const returned = byIndex.slice(0, count);
      const value = this.#recordWithout(job, returned);
      if (!this.context.fitsValue(value)) continue;
      const key = KEYS.job(job.id);
      return {
        conditions: [{ key, version: job.version }],
        change: { put: key, value },
        prepare: () => this.claimTable.beginReturn(returned, this.context.clock.now()),
        failed: () => this.claimTable.cancelReturn(returned, this.context.clock.now()),
      };
    }
    return null;
  }

  #recordWithout(job: Job, tasks: readonly TaskEntry[]): unknown {
    const { spec, acceptedAt, cancelled } = job;
    const left = withoutTasks(job.assignedRanges, this.partitionId, new Set(tasks.map((s) => s.index)));
    // Finished tasks are off their machines: of a cancelled job nothing is left to wait for when only they remain.
    const assignedRanges = mergeRanges(left, (taskIndex) => job.isFinished(taskIndex));
    if (cancelled && assignedRanges.length === 0) return jobRecord.write({ final: 'cancelled' });
    const isCrashLooping = this.claimTable.marksCrashLoopOnReturn(job, tasks, this.context.clock.now());
    return jobRecord.write({ final: null, spec, acceptedAt, cancelled, isCrashLooping, assignedRanges });
  }

  /** Writes the finished tasks of one job; the last ones close it. */
  #finish(job: Job, tasks: readonly TaskEntry[]): Write[] {
    if (job.finishedCount + tasks.length >= job.spec.tasks) {
      const key = KEYS.job(job.id);
      // Against this version: a cancellation and the end exclude each other.
      return [
        {
          conditions: [{ key, version: job.version }],
          change: { put: key, value: jobRecord.write({ final: 'done' }) },
        },
      ];
    }
    const limits = {
      pageTasks: this.context.clusterState.meta!.pageTasks,
      valueBytes: this.context.settings.valueBytes,
    };
    const pages = new Map<string, BitSet>();
    for (const task of tasks) {
      const { key, first, bits } = finishedPageFor(job, this.partitionId, task.index, limits);
      pages.set(key, (pages.get(key) ?? bits).with(task.index - first));
    }
    return [...pages].map(([key, bits]) => {
      return {
        conditions: [{ key, version: this.context.watchCache.version(key) }],
        change: { put: key, value: finishedRecord.write(bits.bytes) },
      };
    });
  }

  async #writeOnce(): Promise<boolean> {
    const { context } = this;
    if (!this.isOwner() || !context.fresh()) return false;
    const { writes, urgency } = this.#writes(context.clock.now());
    if (writes.length === 0) return false;
    const batch = this.#fittingWrites(writes);
    for (const w of batch) w.prepare?.();
    const conditions = [this.ownershipTerm.condition, ...batch.flatMap((w) => w.conditions)];
    const changes = batch.map((w) => w.change);
    context.log.debug(
      { partitionId: this.partitionId, urgency, keys: changes.map((c) => ('put' in c ? c.put : c.remove)) },
      'writing',
    );
    const done = await context.commitWithRetry(urgency, conditions, changes, () => this.ownershipTerm.isCurrent);
    // A conflict over one job fails the whole batch: the others' tasks, too, are still here.
    if (done === 0) for (const w of batch) w.failed?.();
    // What is finished or given back shows in the replica, and leaves the claim table with it.
    return done > 0 && this.ownershipTerm.isCurrent;
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
