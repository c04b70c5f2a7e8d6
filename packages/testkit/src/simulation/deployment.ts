// What a simulated deployment is made of: its zones, machine types and clocks. A further deployment is further data.
import type { MachineType } from '@gingerlock/wire';

/** A kind of deployment. */
export interface Deployment {
  readonly zones: readonly string[];
  /** The zones of the controllers, one after the other; zones may have none. */
  readonly controllerZones: readonly string[];
  readonly types: readonly MachineType[];
  /** How far off a controller's time of day may be, in milliseconds. */
  readonly maxClockSkewMs: number;
  /** This share of the machines that are rented never comes up. */
  readonly neverUp: number;
  /** How long a fetch of an image takes by the rate of the machine's type; null: two seconds on any. */
  readonly fetch: 'by type' | null;
}

/** The usual zones. */
export const ZONES: readonly string[] = ['north', 'south', 'east'];

/** One machine type, a controller in each zone. */
export const ONE_TYPE: Deployment = {
  zones: ZONES,
  controllerZones: ZONES,
  types: [
    {
      name: 'box',
      cpus: 16,
      gpus: 4,
      memoryGb: 64,
      cacheGb: 100,
      fetchGbPerS: 10,
      price: 4,
      spotPrice: 1,
      bootS: 5,
      zones: [...ZONES],
    },
  ],
  maxClockSkewMs: 100,
  neverUp: 0,
  fetch: null,
};

const FOUR_ZONES = [...ZONES, 'west'];

/**
 * Two machine types, of which the one that is cheaper for each machine is dearer for each GPU and slower; a zone
 * without a controller; clocks that are off by a second; a few machines that never come up.
 */
export const TWO_TYPES: Deployment = {
  zones: FOUR_ZONES,
  controllerZones: ZONES,
  types: [
    {
      name: 'small',
      cpus: 8,
      gpus: 2,
      memoryGb: 32,
      cacheGb: 90,
      fetchGbPerS: 8,
      price: 2.2,
      spotPrice: 0.7,
      bootS: 6,
      zones: FOUR_ZONES,
    },
    {
      name: 'large',
      cpus: 16,
      gpus: 4,
      memoryGb: 64,
      cacheGb: 120,
      fetchGbPerS: 16,
      price: 4,
      spotPrice: 1,
      bootS: 3,
      zones: FOUR_ZONES,
    },
  ],
  maxClockSkewMs: 1000,
  neverUp: 0.01,
  fetch: 'by type',
};
