// How long it takes until a task runs on a machine, as assignment, placement and scaling out estimate it.
import type { MachineType } from '@gingerlock/wire';

/** How long a fetch is assumed to take if the type's rate is not known. */
const UNKNOWN_FETCH_MS = 60_000;

/** How long the fetch of an image takes on a machine of this type, in milliseconds, if nothing else is fetched. */
export function fetchMs(imageGb: number, isCached: boolean, type: MachineType | undefined): number {
  if (isCached) return 0;
  return type === undefined || type.fetchGbPerS <= 0 ? UNKNOWN_FETCH_MS : (imageGb / type.fetchGbPerS) * 1000;
}

/**
 * How long it takes until tasks that are stopped on a machine are known to be gone, in milliseconds: stops are sent
 * to the worker at once, and it sends a heartbeat with each change, but at most one every half second (PROTOCOL).
 */
export const STOP_MS = 500;

/** What stopping a service replica counts as, in milliseconds of waiting: more than any fetch. */
export const SERVICE_VICTIM_MS = 120_000;
