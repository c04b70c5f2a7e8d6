// How long it takes until a task runs on a machine, as assignment, placement and renting estimate it. All times in milliseconds.
import type { MachineType } from '@gingerlock/wire';

/** For so long a fetch is thought to take where the rate is not known. */
const UNKNOWN_FETCH_MS = 60_000;

/** How long the fetch of an image takes on a machine of this type, if nothing else is fetched. */
export function fetchMs(imageGb: number, cached: boolean, type: MachineType | undefined): number {
  if (cached) return 0;
  return type === undefined || type.fetchGbPerS <= 0 ? UNKNOWN_FETCH_MS : (imageGb / type.fetchGbPerS) * 1000;
}

/**
 * How long it takes until what was stopped on a machine is known to be gone: stops go to the worker directly, and it
 * reports a change at once, but not more often than every half second, says the protocol.
 */
export const STOP_MS = 500;

/** Stopping a replica counts like this much waiting: more than any fetch. */
export const SERVICE_VICTIM_MS = 120_000;
