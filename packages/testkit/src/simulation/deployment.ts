// Describes simulated deployments as data: their zones, machine types and clocks.
import type { MachineType } from '@gingerlock/wire';

/** The zones, machine types and clocks of a deployment. */
export interface Deployment {
  readonly zones: readonly string[];
  /** The zones to which controllers are assigned in turn; a zone may have no controller. */
  readonly controllerZones: readonly string[];
  readonly types: readonly MachineType[];
  /** The largest offset of a controller's wall clock, in milliseconds. */
  readonly maxClockSkewMs: number;
  /** The share of rented machines that never come up. */
  readonly neverUp: number;
  /** `'by type'`: image fetches run at the rate of the machine's type; null: every fetch takes two seconds. */
  readonly fetch: 'by type' | null;
}

/** The zones of most simulated deployments. */
export const ZONES: readonly string[] = ['north', 'south', 'east'];

/** The only machine type of most deployments, in each zone. */
export const BOX_TYPE: MachineType = {
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
};

/** A deployment with one machine type and a controller in each zone. */
export const ONE_TYPE: Deployment = {
  zones: ZONES,
  controllerZones: ZONES,
  types: [BOX_TYPE],
  maxClockSkewMs: 100,
  neverUp: 0,
  fetch: null,
};

const FOUR_ZONES = [...ZONES, 'west'];

/**
 * A deployment with two machine types, a zone without a controller, wall clocks that are off by up to a second, and a
 * few machines that never come up. The type with the lower price per machine costs more per GPU, and boots and fetches
 * images more slowly.
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
