/** The pages that store the indices of finished tasks, and the choice of the page for a newly finished task. */
import { KEYS } from '@gingerlock/wire';
import { BitSet } from './bit-set';

/** A stored value that holds finished tasks of one job at one partition. */
export interface FinishedPage {
  readonly key: string;
  /** Task index of the first bit. */
  readonly first: number;
  readonly bits: BitSet;
  /** Version of the stored value. */
  readonly version: number;
}

/** Bytes of a page's value in addition to its base64 text. */
const PAGE_OVERHEAD_BYTES = 16;

/** Maximum bytes of base64 padding. */
const BASE64_PADDING_BYTES = 4;

/** A page holds at least this many tasks, however small the limit on values is. */
const MIN_PAGE_TASKS = 64;

/** How many tasks fit into a page of at most `valueBytes` bytes, with six bits per base64 character. */
export function pageCapacity(valueBytes: number): number {
  const tasks = Math.max(MIN_PAGE_TASKS, Math.floor(valueBytes - PAGE_OVERHEAD_BYTES - BASE64_PADDING_BYTES) * 6);
  return tasks - (tasks % 8);
}

/** The page of a task: its key, the task index of its first bit, and its current bits. */
export type PageOfTask = Omit<FinishedPage, 'version'>;

/**
 * Returns the page into which a finished task is written, with its current bits. The first controller of a deployment
 * stores the length of regular pages in `meta`; it may have had a larger limit on values. If a task lies beyond the
 * current capacity of its regular page, or the stored page is already larger than the capacity, the task goes into an
 * overflow page, which can begin at any multiple of the capacity.
 */
export function finishedPageFor(
  job: { readonly id: string; readonly pages: ReadonlyMap<string, FinishedPage> },
  partitionId: number,
  taskIndex: number,
  limits: { readonly pageTasks: number; readonly valueBytes: number },
): PageOfTask {
  const capacity = pageCapacity(limits.valueBytes);
  const page = Math.floor(taskIndex / limits.pageTasks);
  const key = KEYS.finished(job.id, partitionId, page);
  const stored = job.pages.get(key)?.bits ?? new BitSet();
  const first = page * limits.pageTasks;
  if (taskIndex - first < capacity && stored.bytes.length * 8 <= capacity) return { key, first, bits: stored };
  const overflowFirst = taskIndex - (taskIndex % capacity);
  const overflowKey = KEYS.finishedFrom(job.id, partitionId, overflowFirst);
  return { key: overflowKey, first: overflowFirst, bits: job.pages.get(overflowKey)?.bits ?? new BitSet() };
}
