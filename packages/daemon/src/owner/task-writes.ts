// Plans writes of a partition's tasks: those that are finished, and those that are returned to the leader because no
// machine of the partition can take them.
import {
  type ClaimTable,
  finishedPageFor,
  groupBy,
  type Job,
  mergeRanges,
  type TaskEntry,
  withoutTasks,
} from '@gingerlock/core';
import { finishedRecord, jobRecord, KEYS } from '@gingerlock/wire';
import { type ControllerContext, DISPLAY_LAG_MS } from '../controller/controller-context';
import type { Write } from './write';

/**
 * If the spare share of the write rate is below this, completed tasks wait for others in order to be written together.
 */
const MIN_SPARE_WRITE_SHARE = 0.9;

/** The longest such wait, in heartbeat intervals. */
const MAX_FINISH_WAIT_INTERVALS = 2;

/** Plans the changes of job records and finished pages of one ownership term. */
export class TaskWrites {
  /** Waiting tasks that no machine of the partition can take, by the last bin packing. */
  unschedulable: readonly TaskEntry[] = [];

  constructor(
    readonly context: ControllerContext,
    readonly partitionId: number,
    readonly claimTable: ClaimTable,
  ) {}

  /** Plans finished tasks first. A job's tasks are returned by a later transaction if it also has finished tasks. */
  plan(now: number): Write[] {
    const finishedByJob = this.claimTable.tasksToFinish(now, this.#maxFinishWaitMs());
    const returnableByJob = this.claimTable.returnable(this.unschedulable, now);
    const finishes = [...finishedByJob.values()].flatMap((tasks) => this.#planFinish(tasks[0]!.job, tasks));
    const returns = [...returnableByJob]
      .filter(([id]) => !finishedByJob.has(id))
      .flatMap(([, tasks]) => this.#planReturn(tasks[0]!.job, tasks));
    return [...finishes, ...returns];
  }

  /** How long a completed task may wait for others of its job before it is written. */
  #maxFinishWaitMs(): number {
    const { keyValueStore, clusterConfig } = this.context;
    const isRateShort = keyValueStore.options.rateLimiter.spareWriteShare() < MIN_SPARE_WRITE_SHARE;
    return isRateShort ? clusterConfig.heartbeatIntervalMs * MAX_FINISH_WAIT_INTERVALS : DISPLAY_LAG_MS / 2;
  }

  /** Plans writes of the finished tasks of one job; the write of the last ones closes the job. */
  #planFinish(job: Job, tasks: readonly TaskEntry[]): Write[] {
    if (job.finishedCount + tasks.length < job.spec.tasks) return this.#planFinishedPages(job, tasks);
    const key = KEYS.job(job.id);
    // The job's version as condition makes its cancellation and its completion exclude each other.
    const conditions = [{ key, version: job.version }];
    return [{ conditions, change: { put: key, value: jobRecord.write({ final: 'done' }) } }];
  }

  #planFinishedPages(job: Job, tasks: readonly TaskEntry[]): Write[] {
    const { clusterState, settings, watchCache } = this.context;
    const limits = { pageTasks: clusterState.meta!.pageTasks, valueBytes: settings.valueBytes };
    const finished = tasks.map(({ index }) => ({
      index,
      page: finishedPageFor(job, this.partitionId, index, limits),
    }));
    return [...groupBy(finished, ({ page }) => page.key)].map(([key, added]) => {
      const { first, bits } = added[0]!.page;
      const { bytes } = bits.withAll(added.map(({ index }) => index - first));
      return {
        conditions: [{ key, version: watchCache.version(key) }],
        change: { put: key, value: finishedRecord.write(bytes) },
      };
    });
  }

  /** Plans the return of as many of the tasks as leave a record that fits a value; plans nothing if no number does. */
  #planReturn(job: Job, tasks: readonly TaskEntry[]): Write[] {
    const { clock } = this.context;
    const byIndex = [...tasks].sort((a, b) => a.index - b.index);
    for (let count = byIndex.length; count > 0; count = Math.floor(count / 2)) {
      const returned = byIndex.slice(0, count);
      const value = this.#recordWithout(job, returned);
      if (!this.context.fitsValue(value)) continue;
      const key = KEYS.job(job.id);
      const write: Write = {
        conditions: [{ key, version: job.version }],
        change: { put: key, value },
        prepare: () => this.claimTable.beginReturn(returned, clock.now()),
        failed: () => this.claimTable.cancelReturn(returned, clock.now()),
      };
      return [write];
    }
    return [];
  }

  #recordWithout(job: Job, tasks: readonly TaskEntry[]): unknown {
    const { spec, acceptedAt, isCancelled: cancelled } = job;
    const returnedIndexes = new Set(tasks.map(({ index }) => index));
    const left = withoutTasks(job.assignedRanges, this.partitionId, returnedIndexes);
    // Finished tasks use no machine, so a cancelled job in which only they remain has nothing left to wait for.
    const assignedRanges = mergeRanges(left, (taskIndex) => job.isFinished(taskIndex));
    if (cancelled && assignedRanges.length === 0) return jobRecord.write({ final: 'cancelled' });
    const isCrashLooping = this.claimTable.marksCrashLoopOnReturn(job, tasks, this.context.clock.now());
    return jobRecord.write({ final: null, spec, acceptedAt, cancelled, isCrashLooping, assignedRanges });
  }
}
