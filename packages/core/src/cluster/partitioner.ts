// Which partition a machine belongs to.

/** A stable hash (FNV-1a) below 2^32. */
export function hashName(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  // The last bytes of names that count up differ least; mixing spreads them.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x2c1b3c6d);
  hash ^= hash >>> 12;
  return hash >>> 0;
}

/**
 * Which part each machine belongs to: by a hash of its name, among the parts that have their homes in its zone. A zone
 * that is cut off so has an owner inside that goes on answering. Where no part is at home, all share the machines.
 */
export class Partitioner {
  readonly #all: readonly number[];
  readonly #byZone = new Map<string, number[]>();

  constructor(
    readonly count: number,
    readonly zones: readonly string[] = [],
  ) {
    this.#all = Array.from({ length: count }, (_, partitionId) => partitionId);
    for (const partitionId of this.#all) {
      const zone = zones[partitionId];
      if (zone === undefined) continue;
      const partitionIds = this.#byZone.get(zone);
      if (partitionIds === undefined) this.#byZone.set(zone, [partitionId]);
      else partitionIds.push(partitionId);
    }
  }

  /** The parts that share the machines of a zone. */
  partitionsOf(zone: string): readonly number[] {
    return this.#byZone.get(zone) ?? this.#all;
  }

  partitionOf(machine: string, zone: string): number {
    const partitionIds = this.partitionsOf(zone);
    return partitionIds[hashName(machine) % partitionIds.length]!;
  }
}
