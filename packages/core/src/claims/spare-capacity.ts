/** Machines with free resources, as partitions report them to each other. */
import type { Resources } from '../cluster/resources';

/** Free resources of a machine to which a replica might be relocated. */
export interface SpareCapacity {
  /** Name of the machine type. */
  readonly type: string;
  readonly zone: string;
  /** Whether the machine is a spot instance. */
  readonly spot: boolean;
  readonly free: Resources;
  /** The images that the machine is believed to have. */
  readonly images: readonly string[];
}
