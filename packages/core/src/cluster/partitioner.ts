// Which partition a machine belongs to. All controllers have to come to the same answer, also in a rolling upgrade: the
// hash must not change.

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** An odd constant that spreads low bits over the high ones. */
const MIX_FACTOR = 0x2c1b3c6d;

/** A stable hash of a text, below 2^32: FNV-1a with its bits mixed. */
export function hashName(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  // Names that count up differ in their last characters, which change few bits: mixing spreads them.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, MIX_FACTOR);
  hash ^= hash >>> 12;
  return hash >>> 0;
}

/**
 * Which partition each machine belongs to: by a hash of its name, among the partitions that have their home in its
 * zone, so that a zone that is cut off has an owner inside which goes on answering. In a zone that is home to none,
 * all partitions share the machines.
 */
export class Partitioner {
  readonly #allPartitionIds: readonly number[];
  readonly #partitionIdsByZone = new Map<string, number[]>();

  constructor(
    /** How many partitions there are. */
    readonly count: number,
    /** By partition: its home zone. A partition without one has no home. */
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
