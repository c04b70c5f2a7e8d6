// Keeps the newest of the values that owners publish for each partition.

/** The partition, ownership term and revision of the owner's watch cache for which a value was published. */
export interface PartitionRevision {
  readonly partitionId: number;
  readonly term: number;
  readonly revision: number;
}

function isOlder(one: PartitionRevision, other: PartitionRevision): boolean {
  return one.term < other.term || (one.term === other.term && one.revision < other.revision);
}

/** The newest value of each partition, by term and revision; messages may arrive in any order. */
export class NewestByPartition<T extends PartitionRevision> {
  readonly #newest = new Map<number, T>();

  /** Stores a value unless a newer one is known. */
  put(value: T): void {
    const known = this.#newest.get(value.partitionId);
    if (known !== undefined && isOlder(value, known)) return;
    this.#newest.set(value.partitionId, value);
  }

  get(partitionId: number): T | undefined {
    return this.#newest.get(partitionId);
  }

  values(): Iterable<T> {
    return this.#newest.values();
  }
}
