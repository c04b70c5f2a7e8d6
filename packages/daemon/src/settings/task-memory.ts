// How many tasks a controller can keep in memory, whose size the platform and the command line of the process limit.

/** Memory that an owner needs for one task with its claim and its entry in a report, in bytes. */
const TASK_BYTES = 600;

/** Share of the heap that tasks may take: one controller may own all partitions, and lead. */
const HEAP_SHARE = 0.3;

/** Share of a controller's memory that tasks may take; a process needs memory beside its heap. */
const MEMORY_SHARE = 1 / 5;

/**
 * Returns how many tasks a controller can keep. `heapBytes`: limit of its heap, Infinity if there is none. `ramMb`: its
 * memory in megabytes, undefined if not known.
 */
export function maxTasksInMemory(heapBytes: number, ramMb = Infinity): number {
  const bytes = Math.min(heapBytes * HEAP_SHARE, ramMb * 1e6 * MEMORY_SHARE);
  return Math.floor(bytes / TASK_BYTES);
}
