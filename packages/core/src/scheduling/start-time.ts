// Estimates of the time until a task runs on a machine, for assignment, placement and scale-out.
import type { MachineType } from '@gingerlock/wire';

/** The estimated duration of a fetch if the fetch rate of the machine type is not known. */
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

/** Cost of stopping a service replica, as milliseconds of waiting: more than any fetch takes. */
export const SERVICE_VICTIM_MS = 120_000;
