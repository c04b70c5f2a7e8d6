// Assigns machines to partitions. All controllers have to compute the same partition, also during a rolling upgrade, so
// the hash must not change.

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** An odd factor that spreads the low bits over the high ones. */
const MIX_FACTOR = 0x2c1b3c6d;

/** A stable 32-bit hash of a text: FNV-1a with its bits mixed. */
export function hashName(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  // Numbered names differ only in their last characters, which change few bits; mixing spreads these.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, MIX_FACTOR);
  hash ^= hash >>> 12;
  return hash >>> 0;
}

/**
 * Assigns each machine to a partition by a hash of its name, among the partitions whose home is the machine's zone: in
 * a zone that is cut off, an owner inside the zone can continue to answer. The machines of a zone that is home to no
 * partition are shared among all partitions.
 */
export class Partitioner {
  readonly #allPartitionIds: readonly number[];
  readonly #partitionIdsByZone = new Map<string, number[]>();

  constructor(
    /** Number of partitions. */
    readonly count: number,
    /** Home zones by partition id; partitions beyond the end of the array have none. */
    readonly zones: readonly string[] = [],
  ) {
    this.#allPartitionIds = Array.from({ length: count }, (_, partitionId) => partitionId);
    for (const partitionId of this.#allPartitionIds) {
      const zone = zones[partitionId];
      if (zone === undefined) continue;
      const partitionIds = this.#partitionIdsByZone.get(zone);
      if (partitionIds === undefined) this.#partitionIdsByZone.set(zone, [partitionId]);
      else partitionIds.push(partitionId);
    }
  }

  /** The partitions that share the machines of a zone. */
  partitionsOf(zone: string): readonly number[] {
    return this.#partitionIdsByZone.get(zone) ?? this.#allPartitionIds;
  }

  /** The partition that a machine belongs to. */
  partitionOf(machine: string, zone: string): number {
    const partitionIds = this.partitionsOf(zone);
    return partitionIds[hashName(machine) % partitionIds.length]!;
  }
}
