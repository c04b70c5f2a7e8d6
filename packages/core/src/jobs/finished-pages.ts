/** The pages in which the numbers of finished tasks are stored, and which of them a newly finished task goes into. */
import { KEYS } from '@gingerlock/wire';
import { BitSet } from './bit-set';

/** One stored value of finished tasks of one job at one partition. */
export interface FinishedPage {
  readonly key: string;
  /** The task of the first bit. */
  readonly first: number;
  readonly bits: BitSet;
  /** Version of the stored value. */
  readonly version: number;
}

/** What a page's value takes beside its base64 text. */
const PAGE_OVERHEAD_BYTES = 16;

/** Bytes that the padding of base64 may take. */
const BASE64_PADDING_BYTES = 4;

/** A page has at least so many tasks, however small the limit on values is. */
const MIN_PAGE_TASKS = 64;

/** How many tasks fit into one page of at most `valueBytes`: six bits in each character of base64. */
export function pageCapacity(valueBytes: number): number {
  const tasks = Math.max(MIN_PAGE_TASKS, Math.floor(valueBytes - PAGE_OVERHEAD_BYTES - BASE64_PADDING_BYTES) * 6);
  return tasks - (tasks % 8);
}

/**
 * The page into which a finished task is written, with the bits that it has now. Pages are as long as the first
 * controller of the deployment fixed them in `meta`, maybe by a larger limit on values than there is now. Tasks of a
 * page that lie beyond what fits now, and all further tasks of a page that was stored larger, go into pages that begin
 * at any task.
 */
export function finishedPageFor(
  job: { readonly id: string; readonly pages: ReadonlyMap<string, FinishedPage> },
  partitionId: number,
  taskIndex: number,
  limits: { readonly pageTasks: number; readonly valueBytes: number },
): { readonly key: string; readonly first: number; readonly bits: BitSet } {
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
