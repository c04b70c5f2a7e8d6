/** A set of task indices as stored in the key-value store. */

/** A bit per task, with the lowest bit of each byte first. */
export class BitSet {
  constructor(public bytes: Uint8Array = new Uint8Array(0)) {}

  /** Whether the bit is set; bits beyond the end are not set. */
  has(bit: number): boolean {
    return (((this.bytes[bit >> 3] ?? 0) >> (bit & 7)) & 1) === 1;
  }

  /** Returns a copy in which the bit is set. */
  with(bit: number): BitSet {
    const bytes = new Uint8Array(Math.max(this.bytes.length, (bit >> 3) + 1));
    bytes.set(this.bytes);
    bytes[bit >> 3]! |= 1 << (bit & 7);
    return new BitSet(bytes);
  }
}
