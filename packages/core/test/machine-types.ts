// Generated machine types and their options, for the tests of scaling out.
import fc from 'fast-check';
import type { MachineType } from '@gingerlock/wire';
import type { MachineOption } from '../src/index';
import { CLUSTER_CONFIG } from './fixtures';

/** Zones in the order of the settings. */
export const ZONES = ['north', 'south', 'east'];

/** Settings of a cluster with these zones. */
export const clusterConfig = { ...CLUSTER_CONFIG, zones: ZONES };

/** Parameters of the property checks. */
export const RUNS = { numRuns: 500, seed: 31 };

const machineType = (name: string): fc.Arbitrary<MachineType> =>
  fc
    .record({
      size: fc.constantFrom(1, 2, 4),
      fetchGbPerS: fc.constantFrom(1, 2.5, 10),
      price: fc.double({ min: 0.5, max: 40, noNaN: true }),
      spotShare: fc.constantFrom(0.2, 0.5, 1.1),
      bootS: fc.constantFrom(0.5, 10, 60),
      zones: fc.subarray(ZONES, { minLength: 1 }),
    })
    .map(({ size, price, spotShare, ...rest }) => ({
      ...rest,
      name,
      cpus: size * 8,
      gpus: size * 2,
      memoryGb: size * 32,
      cacheGb: 100,
      price,
      spotPrice: price * spotShare,
    }));

/** Generates between one and `maxCount` machine types. */
export const anyTypes = (maxCount: number): fc.Arbitrary<MachineType[]> =>
  fc
    .integer({ min: 1, max: maxCount })
    .chain((count) => fc.tuple(...Array.from({ length: count }, (_, i) => machineType(`t-${i}`))));

/** All options of the types. */
export function allOptions(all: readonly MachineType[]): MachineOption[] {
  return all.flatMap((type) => type.zones.flatMap((zone) => [false, true].map((spot) => ({ type, zone, spot }))));
}
